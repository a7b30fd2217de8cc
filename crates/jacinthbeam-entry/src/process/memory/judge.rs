//! Whether the memory of a slot that the cell's hosts hold is all there was.

use std::net::SocketAddr;

use jacinthbeam_peer::message::{Claim, KnownSlot};
use jacinthbeam_types::prelude::*;

/// Where the memory of a slot is to be found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Nobody owned the slot before.
    Fresh,
    /// The slot stays with its server, whose attendant has changed.
    Kept {
        /// Token of the attendant before.
        before: Token,
        /// Whether nobody owned the slot before this server.
        founded: bool,
    },
    /// A record gave the slot to the server.
    From {
        /// The owner before, or the same server in an earlier life; `None` if it is not known.
        server: Option<ServerId>,
        /// The hosts of that server's cell.
        hosts: Vec<SocketAddr>,
    },
}

/// One host's word on a slot.
#[derive(Debug, Clone)]
pub struct Word {
    /// The host; `None` for this one.
    pub host: Option<SocketAddr>,
    /// What it knows.
    pub known: KnownSlot,
}

/// What the words on a slot amount to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Judgement {
    /// Another host has a later claim; this one must not send anything.
    Overtaken,
    /// Nothing was remembered.
    Empty,
    /// These hosts hold all that was remembered.
    Covered(Vec<Option<SocketAddr>>),
    /// Nobody who answered holds all of it.
    Lost,
}

/// Judges a slot by the words of all hosts that answered.
///
/// The last claim under which anything can have been sent must be covered by one of them. Claims are made known to all live
/// hosts before they are used, so the last one is the highest that anybody has heard of, unless its
/// holder says that it was not used. `unused_before`: the host that held the token before says so of that token.
pub fn judge(own: &Claim, source: &Source, words: &[Word], unused_before: bool) -> Judgement {
    let unused: Vec<&Claim> = words.iter().filter_map(|word| word.known.unused.as_ref()).collect();
    let heard = words.iter().flat_map(|word| [&word.known.highest, &word.known.covered]);
    let heard: Vec<&Claim> = heard.flatten().filter(|claim| *claim != own).collect();
    if heard.iter().any(|claim| *claim > own) {
        return Judgement::Overtaken;
    }
    let before = match source {
        Source::Kept { before, .. } => Some(*before),
        Source::Fresh | Source::From { .. } => None,
    };
    let is_vouched =
        |claim: &Claim| unused_before && Some(claim.token) == before && claim.server == own.server;
    let last =
        heard.iter().filter(|claim| !unused.contains(*claim) && !is_vouched(claim)).max().copied();
    match source {
        Source::Fresh => return Judgement::Empty,
        // Who attended it last is known from the server itself. If nobody has heard of that one's claim, its keeper and its successor are both lost.
        Source::Kept { before, founded } => {
            let is_before = |claim: &&Claim| claim.token == *before && claim.server == own.server;
            if !unused_before && !heard.iter().any(is_before) {
                return Judgement::Lost;
            }
            if last.is_none() && *founded {
                return Judgement::Empty;
            }
        }
        // An older stretch of ownership may be covered while the last one is unheard of.
        Source::From { server, .. } => {
            if server.is_none() || last.map(|claim| &claim.server) != server.as_ref() {
                return Judgement::Lost;
            }
        }
    }
    let covers = |word: &&Word| last.is_some() && word.known.covered.as_ref() == last;
    let hosts: Vec<Option<SocketAddr>> =
        words.iter().filter(covers).map(|word| word.host).collect();
    if hosts.is_empty() { Judgement::Lost } else { Judgement::Covered(hosts) }
}
