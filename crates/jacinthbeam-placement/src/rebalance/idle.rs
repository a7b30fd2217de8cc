//! Underloaded servers ask for load, after the work stealing of Cilk-NOW (Blumofe and Lisiecki,
//! 1997): who has too little asks one other chosen at random, and asks another one next time if it
//! gets nothing.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use crate::{
    draft::{Draft, mean, room},
    planned::Why,
    policy::Policy,
    view::{Load, View},
};

/// Request of an underloaded server's attendant for a slot of another server.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The server that has too little.
    pub to: ServerId,
    /// Its expected load.
    pub load: Load,
    /// How much it may gain.
    pub room: Load,
    /// The server whose attendant is asked.
    pub from: ServerId,
}

/// At most one request for each attended server with too little load, to the attendant of a server
/// drawn at random.
///
/// A server counts as underloaded as far below the mean as one must be above it to be relieved.
pub fn ask(view: &View, policy: &Policy, now: Instant, rng: &mut fastrand::Rng) -> Vec<Ask> {
    let mean = mean(view, policy, now);
    let line = mean.times(2.0 - policy.start);
    let mut asks = Vec::new();
    for (to, server) in &view.servers {
        if !server.attended || !server.standing.is_active() || server.expected() >= line {
            continue;
        }
        let room = room(server.standing, mean, policy, now) - server.expected();
        let others =
            view.servers.iter().filter(|(id, other)| *id != to && other.standing.is_active());
        let Some((from, _)) = rng.choice(others.collect::<Vec<_>>()) else { continue };
        if room > Load(0.0) {
            asks.push(Ask { to: to.clone(), load: server.expected(), room, from: from.clone() });
        }
    }
    asks
}

pub(super) fn give<'a>(draft: &mut Draft<'a>, asks: &'a [Ask]) {
    let overloaded = draft.overloaded(1.0);
    for Ask { to, load, room, from } in asks {
        if is_known_inactive(draft, to) || !overloaded.contains(&from) {
            continue;
        }
        draft.set_expected(to, *load);
        draft.take(from, to, *room, Why::Asked);
    }
}

/// The asker may have been evicted, or begun to leave, since it asked.
fn is_known_inactive(draft: &Draft<'_>, server: &ServerId) -> bool {
    draft.view.servers.get(server).is_some_and(|server| !server.standing.is_active())
}
