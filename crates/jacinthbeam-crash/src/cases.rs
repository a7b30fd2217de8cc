//! What one host knows of servers that ended, and of the requests that they were running.
//!
//! Facts join as sets: one that is told twice, late or by several hosts adds nothing. The positions of facts count in the order in which this
//! host came to know them, and say nothing to others but what they have been told.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    suspects::{PROOF, Suspect, Suspects},
};

/// Doubt about a request ends so long after the last server that ended under it: by then what ended that server may be gone.
pub const DOUBTED_FOR: Duration = Duration::from_secs(10 * 60);

/// A request is refused for so long after the last server that ended under it. Then it may end [`PROOF`] more, in case it was mended.
pub const REFUSED_FOR: Duration = Duration::from_secs(60 * 60);

/// Requests that are kept. Those under which fewest servers have ended are left out first, then the oldest.
pub const MOST_CASES: usize = 1024;

/// Facts that are kept of one request; more of them would change nothing.
const MOST_OF_ONE: usize = 16;

/// How many facts a host has come to know before another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position(pub u64);

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// A server that was running it has ended.
    Ended {
        /// The life of the server.
        server: ServerId,
        /// Whose attempt it was.
        caller: IpAddr,
    },
    /// It ran to a good end, or an operator lets it through. What was seen before no longer counts against it.
    Cleared,
}

/// Something that happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// The request.
    pub request: Fingerprint,
    /// What happened.
    pub what: What,
    /// When, by the clock of this host.
    pub at: Instant,
}

#[derive(Debug, Clone)]
struct Noted {
    at: Instant,
    position: Position,
    /// The host that told it; `None` if it was seen here.
    from: Option<HostId>,
}

#[derive(Debug, Default)]
struct Case {
    ended: BTreeMap<(ServerId, IpAddr), Noted>,
    cleared: Option<Noted>,
}

impl Case {
    fn suspect(&self) -> Option<Suspect> {
        let times = self.ended.values().map(|noted| noted.at);
        Some(Suspect {
            callers: self.ended.keys().map(|(_, caller)| *caller).collect(),
            servers: self.ended.keys().map(|(server, _)| server.clone()).collect(),
            first: times.clone().min()?,
            last: times.max()?,
        })
    }

    fn servers(&self) -> usize {
        self.suspect().map_or(0, |suspect| suspect.servers.len())
    }

    fn last(&self) -> Option<Instant> {
        self.ended.values().chain(&self.cleared).map(|noted| noted.at).max()
    }

    fn is_over(&self, now: Instant) -> bool {
        let kept = if self.servers() >= PROOF { REFUSED_FOR } else { DOUBTED_FOR };
        self.last().is_none_or(|last| now.saturating_duration_since(last) >= kept)
    }

    fn notes(&self) -> impl Iterator<Item = (What, &Noted)> {
        let ended = self.ended.iter().map(|((server, caller), noted)| {
            (What::Ended { server: server.clone(), caller: *caller }, noted)
        });
        ended.chain(self.cleared.iter().map(|noted| (What::Cleared, noted)))
    }
}

/// All facts that one host keeps.
#[derive(Debug, Default)]
pub struct Cases {
    of: BTreeMap<Fingerprint, Case>,
    end: Position,
}

impl Cases {
    /// The position of the next fact.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Takes a fact that the host `from` told, or that was seen here. Returns whether it adds anything.
    pub fn take(&mut self, fact: Fact, from: Option<&HostId>, now: Instant) -> bool {
        let case = self.of.entry(fact.request).or_default();
        let noted = Noted { at: fact.at, position: self.end, from: from.cloned() };
        let adds = match fact.what {
            What::Ended { server, caller } => case.add_ended(server, caller, noted),
            What::Cleared => case.clear(noted),
        };
        if case.is_over(now) {
            self.of.remove(&fact.request);
            return false;
        }
        if adds {
            self.end.0 += 1;
            self.make_room();
        }
        adds
    }

    fn make_room(&mut self) {
        if self.of.len() <= MOST_CASES {
            return;
        }
        let least = self.of.iter().min_by_key(|(_, case)| (case.servers(), case.last()));
        if let Some(least) = least.map(|(request, _)| *request) {
            self.of.remove(&least);
        }
    }

    /// Forgets what has stood for long enough. Returns whether there was any.
    pub fn forget(&mut self, now: Instant) -> bool {
        let before = self.of.len();
        self.of.retain(|_, case| !case.is_over(now));
        self.of.len() != before
    }

    /// What came to be known at `from` or later and was not told by the host `to`: so many facts at the most, in their order, and the
    /// position after the last of them.
    pub fn since(&self, from: Position, to: Option<&HostId>, most: usize) -> (Vec<Fact>, Position) {
        if from >= self.end {
            return (Vec::new(), self.end);
        }
        let mut newer = BTreeMap::new();
        for (request, case) in &self.of {
            let new = case.notes().filter(|(_, noted)| {
                noted.position >= from && (to.is_none() || noted.from.as_ref() != to)
            });
            newer.extend(new.map(|(what, noted)| {
                (noted.position, Fact { request: *request, what, at: noted.at })
            }));
        }
        let end = newer.keys().nth(most).copied().unwrap_or(self.end);
        (newer.into_values().take(most).collect(), end)
    }

    /// The requests that are in doubt or refused.
    pub fn suspects(&self) -> Suspects {
        let of = self.of.iter().filter_map(|(request, case)| Some((*request, case.suspect()?)));
        Suspects { of: of.collect() }
    }
}

impl Case {
    fn add_ended(&mut self, server: ServerId, caller: IpAddr, noted: Noted) -> bool {
        let is_void = self.cleared.as_ref().is_some_and(|cleared| noted.at <= cleared.at);
        let is_known = self.ended.contains_key(&(server.clone(), caller));
        if is_void || is_known || self.ended.len() >= MOST_OF_ONE {
            return false;
        }
        self.ended.insert((server, caller), noted);
        true
    }

    fn clear(&mut self, noted: Noted) -> bool {
        if self.cleared.as_ref().is_some_and(|cleared| noted.at <= cleared.at) {
            return false;
        }
        self.ended.retain(|_, ended| ended.at > noted.at);
        self.cleared = Some(noted);
        true
    }
}
