//! What one host knows of servers that crashed, and of the requests that they were running.
//!
//! Facts join as sets: one that is told twice, late or by several hosts adds nothing. The positions of facts count in the order in which this
//! host came to know them, and say nothing to others but what they have been told.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    suspects::{Suspect, Suspects},
};

/// How long a request stays suspect after the last crash under it.
pub const SUSPICION_TTL: Duration = Duration::from_secs(10 * 60);

/// How long a request is refused after the last crash under it. Then [`QUARANTINE_THRESHOLD`](crate::suspects::QUARANTINE_THRESHOLD) further crashes are needed, in case it
/// was fixed.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(60 * 60);

/// Requests that are kept. Those with the fewest crashes are evicted first, then the oldest.
pub const MAX_CASES: usize = 1024;

/// Facts that are kept of one request; more of them would change nothing.
const MOST_OF_ONE: usize = 16;

/// Successes of one caller count as the same within this time. A fact bears its age, so that each hop makes it seem later by the time that
/// it was on its way.
const SAME_WITHIN: Duration = Duration::from_secs(1);

/// How many facts a host has come to know before another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition(pub u64);

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A server crashed while it ran it.
    Crashed {
        /// The life of the server.
        server: ServerId,
        /// Whose attempt it was.
        caller: IpAddr,
    },
    /// It succeeded. Earlier crashes under this caller's attempts no longer count.
    ///
    /// Evidence is scoped to the caller, so that one caller's success clears nothing of another's.
    Succeeded {
        /// Whose attempt it was.
        caller: IpAddr,
    },
    /// An operator allowed it. No earlier crash counts any more.
    Allowed,
}

/// Something that happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// The request.
    pub request: Fingerprint,
    /// What happened.
    pub outcome: Outcome,
    /// When, by the clock of this host.
    pub at: Instant,
}

/// A fact as it leaves a host: clocks of hosts have nothing in common, so it bears its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedFact {
    /// The request.
    pub request: Fingerprint,
    /// What happened.
    pub outcome: Outcome,
    /// How long ago.
    pub age: Duration,
}

impl AgedFact {
    /// The fact, by a clock at `now`; `None` if the clock does not reach back to it.
    pub fn at(self, now: Instant) -> Option<Fact> {
        let Self { request, outcome, age } = self;
        Some(Fact { request, outcome, at: now.checked_sub(age)? })
    }
}

impl Fact {
    /// The fact as it leaves this host at `now`.
    pub fn aged(self, now: Instant) -> AgedFact {
        let Self { request, outcome, at } = self;
        AgedFact { request, outcome, age: now.saturating_duration_since(at) }
    }
}

/// Where a fact comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// This host saw it.
    Observed,
    /// Another host told it.
    Peer(HostId),
    /// It was read from the store.
    Store,
}

#[derive(Debug, Clone)]
struct Noted {
    at: Instant,
    position: LogPosition,
    source: Source,
}

#[derive(Debug, Default)]
struct Case {
    crashes: BTreeMap<(ServerId, IpAddr), Noted>,
    /// Crashes that were cleared. The life of a server ends once, so none of them is another one.
    voided: BTreeSet<(ServerId, IpAddr)>,
    /// Since when what a caller's attempts had shown no longer counts; `None` stands for all callers.
    cleared: BTreeMap<Option<IpAddr>, Noted>,
}

impl Case {
    fn suspect(&self) -> Option<Suspect> {
        let times = self.crashes.values().map(|noted| noted.at);
        Some(Suspect {
            callers: self.crashes.keys().map(|(_, caller)| *caller).collect(),
            servers: self.crashes.keys().map(|(server, _)| server.clone()).collect(),
            first_crash: times.clone().min()?,
            last_crash: times.max()?,
            attempts: self.crashes.len(),
            last_cleared: self.cleared.values().map(|noted| noted.at).max(),
        })
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    fn servers(&self) -> usize {
        self.suspect().map_or(0, |suspect| suspect.servers.len())
    }

    fn last(&self) -> Option<Instant> {
        self.crashes.values().chain(self.cleared.values()).map(|noted| noted.at).max()
    }

    fn is_over(&self, now: Instant) -> bool {
        let is_refused = self.suspect().is_some_and(|suspect| suspect.is_quarantined());
        let kept = if is_refused { QUARANTINE_TTL } else { SUSPICION_TTL };
        self.last().is_none_or(|last| now.saturating_duration_since(last) >= kept)
    }

    fn notes(&self) -> impl Iterator<Item = (Outcome, &Noted)> {
        let crashed = self.crashes.iter().map(|((server, caller), noted)| {
            (Outcome::Crashed { server: server.clone(), caller: *caller }, noted)
        });
        let cleared = self.cleared.iter().map(|(of, noted)| {
            (of.map_or(Outcome::Allowed, |caller| Outcome::Succeeded { caller }), noted)
        });
        crashed.chain(cleared)
    }
}

/// All facts that one host keeps.
#[derive(Debug, Default)]
pub struct Cases {
    of: BTreeMap<Fingerprint, Case>,
    end: LogPosition,
}

impl Cases {
    /// The position of the next fact.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Takes a fact. Returns whether it adds anything.
    pub fn merge(&mut self, fact: Fact, source: Source, now: Instant) -> bool {
        self.merge_all([fact], &source, now)
    }

    /// Takes facts that come together. Returns whether any of them adds anything.
    ///
    /// Only all facts of a request say for how long it is kept.
    pub fn merge_all(
        &mut self,
        facts: impl IntoIterator<Item = Fact>,
        source: &Source,
        now: Instant,
    ) -> bool {
        let mut changed = BTreeSet::new();
        for fact in facts {
            let request = fact.request;
            if self.add(fact, source.clone()) {
                changed.insert(request);
            }
        }
        changed.retain(|request| !self.drop_if_over(request, now));
        self.make_room();
        !changed.is_empty()
    }

    fn drop_if_over(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let is_over = self.of.get(request).is_none_or(|case| case.is_over(now));
        if is_over {
            self.of.remove(request);
        }
        is_over
    }

    fn add(&mut self, fact: Fact, source: Source) -> bool {
        let case = self.of.entry(fact.request).or_default();
        let noted = Noted { at: fact.at, position: self.end, source };
        let adds = match fact.outcome {
            Outcome::Crashed { server, caller } => case.add_crash(server, caller, noted),
            Outcome::Succeeded { caller } => case.clear(Some(caller), noted),
            Outcome::Allowed => case.clear(None, noted),
        };
        if case.is_empty() {
            self.of.remove(&fact.request);
        }
        self.end.0 += u64::from(adds);
        adds
    }

    fn make_room(&mut self) {
        while self.of.len() > MAX_CASES {
            let least = self.of.iter().min_by_key(|(_, case)| (case.servers(), case.last()));
            let Some(least) = least.map(|(request, _)| *request) else { return };
            self.of.remove(&least);
        }
    }

    /// Forgets what has stood for long enough. Returns whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.of.len();
        self.of.retain(|_, case| !case.is_over(now));
        self.of.len() != before
    }

    /// What came to be known at `from` or later and was not told by the host `to`: so many facts at the most, in their order, and the
    /// position after the last of them.
    pub fn since(
        &self,
        from: LogPosition,
        to: Option<&HostId>,
        most: usize,
    ) -> (Vec<Fact>, LogPosition) {
        if from >= self.end {
            return (Vec::new(), self.end);
        }
        let mut newer = BTreeMap::new();
        for (request, case) in &self.of {
            let new = case.notes().filter(|(_, noted)| {
                let told_by = match &noted.source {
                    Source::Peer(host) => Some(host),
                    Source::Observed | Source::Store => None,
                };
                noted.position >= from && (to.is_none() || told_by != to)
            });
            newer.extend(new.map(|(outcome, noted)| {
                (noted.position, Fact { request: *request, outcome, at: noted.at })
            }));
        }
        let end = newer.keys().nth(most).copied().unwrap_or(self.end);
        (newer.into_values().take(most).collect(), end)
    }

    /// Servers, by their lives, that crashed under a request since it was last cleared.
    pub fn servers(&self, request: &Fingerprint) -> usize {
        self.of.get(request).map_or(0, Case::servers)
    }

    /// Facts of the requests under which most servers crashed, then of the latest: so many at the most.
    pub fn strongest_facts(&self, most: usize) -> Vec<Fact> {
        let mut cases: Vec<(&Fingerprint, &Case)> = self.of.iter().collect();
        cases.sort_by_cached_key(|(_, case)| Reverse((case.servers(), case.last())));
        let facts = cases.into_iter().flat_map(|(request, case)| {
            case.notes().map(|(outcome, noted)| Fact { request: *request, outcome, at: noted.at })
        });
        facts.take(most).collect()
    }

    /// The requests that are in doubt or refused.
    pub fn suspects(&self) -> Suspects {
        let of = self.of.iter().filter_map(|(request, case)| Some((*request, case.suspect()?)));
        Suspects { of: of.collect() }
    }
}

impl Case {
    fn add_crash(&mut self, server: ServerId, caller: IpAddr, noted: Noted) -> bool {
        let crash = (server, caller);
        let is_known = self.crashes.contains_key(&crash) || self.voided.contains(&crash);
        if self.is_void(caller, noted.at) || is_known {
            return false;
        }
        if self.crashes.len() >= MOST_OF_ONE && !self.drop_last_before(noted.at) {
            return false;
        }
        self.crashes.insert(crash, noted);
        true
    }

    /// Makes room for a crash at `at`, if that is the last one: the first and the last are what counts. Returns whether it is.
    fn drop_last_before(&mut self, at: Instant) -> bool {
        let last = self.crashes.iter().max_by_key(|(_, noted)| noted.at);
        let last = last.filter(|(_, noted)| noted.at < at).map(|(of, _)| of.clone());
        last.is_some_and(|last| self.crashes.remove(&last).is_some())
    }

    /// Whether what this caller's attempts had shown at a moment no longer counts.
    fn is_void(&self, caller: IpAddr, at: Instant) -> bool {
        let cleared = [None, Some(caller)].into_iter().filter_map(|of| self.cleared.get(&of));
        cleared.into_iter().any(|cleared| at <= cleared.at)
    }

    fn clear(&mut self, of: Option<IpAddr>, noted: Noted) -> bool {
        let known = self.cleared.get(&of).map(|cleared| cleared.at);
        let is_full = self.cleared.len() >= MOST_OF_ONE && known.is_none();
        // What an operator says always has room.
        if known.is_some_and(|at| noted.at <= at) || (is_full && of.is_some()) {
            return false;
        }
        let clears = self.void_crashes(of, noted.at);
        if !clears && known.is_some_and(|at| noted.at < at + SAME_WITHIN) {
            return false;
        }
        self.cleared.insert(of, noted);
        true
    }

    /// Takes away the crashes up to `at` under attempts of a caller, or of all. Returns whether there were any.
    fn void_crashes(&mut self, of: Option<IpAddr>, at: Instant) -> bool {
        let is_void = |(_, caller): &(ServerId, IpAddr), crash: &mut Noted| {
            crash.at <= at && of.is_none_or(|of| of == *caller)
        };
        let voided: Vec<_> = self.crashes.extract_if(.., is_void).map(|(crash, _)| crash).collect();
        let clears = !voided.is_empty();
        self.voided.extend(voided);
        while self.voided.len() > MOST_OF_ONE {
            self.voided.pop_first();
        }
        clears
    }
}
