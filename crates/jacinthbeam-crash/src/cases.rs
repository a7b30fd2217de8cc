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
const MAX_FACTS_PER_REQUEST: usize = 16;

/// Successes of one caller count as the same within this time. A fact bears its age, so that each hop makes it seem later by the time that
/// it was on its way.
const SUCCESS_DEDUP_WINDOW: Duration = Duration::from_secs(1);

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
struct Entry {
    at: Instant,
    position: LogPosition,
    source: Source,
}

#[derive(Debug, Default)]
struct Case {
    crashes: BTreeMap<(ServerId, IpAddr), Entry>,
    /// Crashes that were cleared. The life of a server ends once, so none of them is another one.
    voided: BTreeSet<(ServerId, IpAddr)>,
    /// Since when what a caller's attempts had shown no longer counts; `None` stands for all callers.
    cleared: BTreeMap<Option<IpAddr>, Entry>,
}

impl Case {
    fn suspect(&self) -> Option<Suspect> {
        let times = self.crashes.values().map(|entry| entry.at);
        Some(Suspect {
            callers: self.crashes.keys().map(|(_, caller)| *caller).collect(),
            servers: self.crashes.keys().map(|(server, _)| server.clone()).collect(),
            first_crash: times.clone().min()?,
            last_crash: times.max()?,
            attempts: self.crashes.len(),
            last_cleared: self.cleared.values().map(|entry| entry.at).max(),
        })
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    fn servers(&self) -> usize {
        self.suspect().map_or(0, |suspect| suspect.servers.len())
    }

    fn last(&self) -> Option<Instant> {
        self.crashes.values().chain(self.cleared.values()).map(|entry| entry.at).max()
    }

    fn is_expired(&self, now: Instant) -> bool {
        let is_quarantined = self.suspect().is_some_and(|suspect| suspect.is_quarantined());
        let ttl = if is_quarantined { QUARANTINE_TTL } else { SUSPICION_TTL };
        self.last().is_none_or(|last| now.saturating_duration_since(last) >= ttl)
    }

    fn facts(&self) -> impl Iterator<Item = (Outcome, &Entry)> {
        let crashed = self.crashes.iter().map(|((server, caller), entry)| {
            (Outcome::Crashed { server: server.clone(), caller: *caller }, entry)
        });
        let cleared = self.cleared.iter().map(|(scope, entry)| {
            (scope.map_or(Outcome::Allowed, |caller| Outcome::Succeeded { caller }), entry)
        });
        crashed.chain(cleared)
    }
}

/// All facts that one host keeps.
#[derive(Debug, Default)]
pub struct Cases {
    by_request: BTreeMap<Fingerprint, Case>,
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
        changed.retain(|request| !self.remove_if_expired(request, now));
        self.evict_excess();
        !changed.is_empty()
    }

    fn remove_if_expired(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let is_expired = self.by_request.get(request).is_none_or(|case| case.is_expired(now));
        if is_expired {
            self.by_request.remove(request);
        }
        is_expired
    }

    fn add(&mut self, fact: Fact, source: Source) -> bool {
        let case = self.by_request.entry(fact.request).or_default();
        let entry = Entry { at: fact.at, position: self.end, source };
        let is_new = match fact.outcome {
            Outcome::Crashed { server, caller } => case.add_crash(server, caller, entry),
            Outcome::Succeeded { caller } => case.clear(Some(caller), entry),
            Outcome::Allowed => case.clear(None, entry),
        };
        if case.is_empty() {
            self.by_request.remove(&fact.request);
        }
        self.end.0 += u64::from(is_new);
        is_new
    }

    fn evict_excess(&mut self) {
        while self.by_request.len() > MAX_CASES {
            let least =
                self.by_request.iter().min_by_key(|(_, case)| (case.servers(), case.last()));
            let Some(least) = least.map(|(request, _)| *request) else { return };
            self.by_request.remove(&least);
        }
    }

    /// Forgets what has stood for long enough. Returns whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.by_request.len();
        self.by_request.retain(|_, case| !case.is_expired(now));
        self.by_request.len() != before
    }

    /// What came to be known at `from` or later and was not told by the host `to`: so many facts at the most, in their order, and the
    /// position after the last of them.
    pub fn since(
        &self,
        from: LogPosition,
        to: Option<&HostId>,
        limit: usize,
    ) -> (Vec<Fact>, LogPosition) {
        if from >= self.end {
            return (Vec::new(), self.end);
        }
        let mut newer = BTreeMap::new();
        for (request, case) in &self.by_request {
            let new = case.facts().filter(|(_, entry)| {
                let sender = match &entry.source {
                    Source::Peer(host) => Some(host),
                    Source::Observed | Source::Store => None,
                };
                entry.position >= from && (to.is_none() || sender != to)
            });
            newer.extend(new.map(|(outcome, entry)| {
                (entry.position, Fact { request: *request, outcome, at: entry.at })
            }));
        }
        let end = newer.keys().nth(limit).copied().unwrap_or(self.end);
        (newer.into_values().take(limit).collect(), end)
    }

    /// Servers, by their lives, that crashed under a request since it was last cleared.
    pub fn servers(&self, request: &Fingerprint) -> usize {
        self.by_request.get(request).map_or(0, Case::servers)
    }

    /// Facts of the requests under which most servers crashed, then of the latest: so many at the most.
    pub fn strongest_facts(&self, limit: usize) -> Vec<Fact> {
        let mut cases: Vec<(&Fingerprint, &Case)> = self.by_request.iter().collect();
        cases.sort_by_cached_key(|(_, case)| Reverse((case.servers(), case.last())));
        let facts = cases.into_iter().flat_map(|(request, case)| {
            case.facts().map(|(outcome, entry)| Fact { request: *request, outcome, at: entry.at })
        });
        facts.take(limit).collect()
    }

    /// The requests that are in doubt or refused.
    pub fn suspects(&self) -> Suspects {
        let by_request =
            self.by_request.iter().filter_map(|(request, case)| Some((*request, case.suspect()?)));
        Suspects { by_request: by_request.collect() }
    }
}

impl Case {
    fn add_crash(&mut self, server: ServerId, caller: IpAddr, entry: Entry) -> bool {
        let crash = (server, caller);
        let is_known = self.crashes.contains_key(&crash) || self.voided.contains(&crash);
        if self.is_cleared(caller, entry.at) || is_known {
            return false;
        }
        if self.crashes.len() >= MAX_FACTS_PER_REQUEST && !self.evict_last_before(entry.at) {
            return false;
        }
        self.crashes.insert(crash, entry);
        true
    }

    /// Makes room for a crash at `at`, if that is the last one: the first and the last are what counts. Returns whether it is.
    fn evict_last_before(&mut self, at: Instant) -> bool {
        let last = self.crashes.iter().max_by_key(|(_, entry)| entry.at);
        let last = last.filter(|(_, entry)| entry.at < at).map(|(crash, _)| crash.clone());
        last.is_some_and(|last| self.crashes.remove(&last).is_some())
    }

    /// Whether what this caller's attempts had shown at a moment no longer counts.
    fn is_cleared(&self, caller: IpAddr, at: Instant) -> bool {
        let cleared = [None, Some(caller)].into_iter().filter_map(|scope| self.cleared.get(&scope));
        cleared.into_iter().any(|cleared| at <= cleared.at)
    }

    fn clear(&mut self, scope: Option<IpAddr>, entry: Entry) -> bool {
        let known = self.cleared.get(&scope).map(|cleared| cleared.at);
        let is_full = self.cleared.len() >= MAX_FACTS_PER_REQUEST && known.is_none();
        // What an operator says always has room.
        if known.is_some_and(|at| entry.at <= at) || (is_full && scope.is_some()) {
            return false;
        }
        let clears = self.void_crashes(scope, entry.at);
        if !clears && known.is_some_and(|at| entry.at < at + SUCCESS_DEDUP_WINDOW) {
            return false;
        }
        self.cleared.insert(scope, entry);
        true
    }

    /// Takes away the crashes up to `at` under attempts of a caller, or of all. Returns whether there were any.
    fn void_crashes(&mut self, scope: Option<IpAddr>, at: Instant) -> bool {
        let applies = |(_, caller): &(ServerId, IpAddr), crash: &mut Entry| {
            crash.at <= at && scope.is_none_or(|scope| scope == *caller)
        };
        let voided: Vec<_> = self.crashes.extract_if(.., applies).map(|(crash, _)| crash).collect();
        let clears = !voided.is_empty();
        self.voided.extend(voided);
        while self.voided.len() > MAX_FACTS_PER_REQUEST {
            self.voided.pop_first();
        }
        clears
    }
}
