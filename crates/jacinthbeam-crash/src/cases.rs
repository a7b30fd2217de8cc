//! One host's evidence: server crashes, and the requests that were running on those servers.
//!
//! Merging is idempotent: a fact that arrives twice, late or from several hosts adds nothing. A
//! host numbers facts in the order in which it merged them. To other hosts such a position is
//! only a cursor into this host's log.

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

/// How long a request stays suspect after its last crash or clearing, whichever is later.
pub const SUSPICION_TTL: Duration = Duration::from_secs(10 * 60);

/// How long a request stays quarantined after its last crash or clearing, whichever is later.
///
/// The server or the caller may have been fixed since, so quarantining the request again takes
/// [`QUARANTINE_THRESHOLD`] new crashes.
///
/// [`QUARANTINE_THRESHOLD`]: crate::suspects::QUARANTINE_THRESHOLD
pub const QUARANTINE_TTL: Duration = Duration::from_secs(60 * 60);

/// Maximum number of requests that evidence is kept for. Those with the fewest crashed servers are
/// evicted first, the oldest of them before the others.
pub const MAX_CASES: usize = 1024;

/// Maximum number of facts of each kind for one request. More would not change any decision.
const MAX_FACTS_PER_REQUEST: usize = 16;

/// Two successes of one caller that are less than this apart are taken for the same one.
///
/// Facts are sent with their age, so each hop makes a fact look more recent by its time in transit,
/// and without this hosts would forward the same success as a new one again and again.
const SUCCESS_DEDUP_WINDOW: Duration = Duration::from_secs(1);

/// Position in a host's log of facts: the number of facts that it merged before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition(pub u64);

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A server crashed while it ran the request.
    Crashed {
        /// The incarnation of the server.
        server: ServerId,
        /// The caller of the attempt.
        caller: IpAddr,
    },
    /// The request succeeded. Earlier crashes under this caller's attempts no longer count.
    ///
    /// Evidence is scoped to the caller: a success does not clear crashes under attempts of other
    /// callers.
    Succeeded {
        /// The caller of the attempt.
        caller: IpAddr,
    },
    /// An operator allowed the request. No earlier crash counts any more.
    Allowed,
}

/// One observation about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// The request.
    pub request: Fingerprint,
    /// What happened.
    pub outcome: Outcome,
    /// When it happened, by the monotonic clock of this host.
    pub at: Instant,
}

/// A [`Fact`] as it is sent and stored: with its age, because monotonic clocks of different hosts
/// are not comparable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedFact {
    /// The request.
    pub request: Fingerprint,
    /// What happened.
    pub outcome: Outcome,
    /// Time since it happened.
    pub age: Duration,
}

impl AgedFact {
    /// Converts the age to a time of a clock that reads `now`; `None` if it is out of the clock's
    /// range.
    pub fn at(self, now: Instant) -> Option<Fact> {
        let Self { request, outcome, age } = self;
        Some(Fact { request, outcome, at: now.checked_sub(age)? })
    }
}

impl Fact {
    /// The fact with its age at `now`.
    pub fn aged(self, now: Instant) -> AgedFact {
        let Self { request, outcome, at } = self;
        AgedFact { request, outcome, age: now.saturating_duration_since(at) }
    }
}

/// Where a host got a fact from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// This host observed it.
    Observed,
    /// Another host sent it.
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
    /// Crashes that were cleared. An incarnation crashes only once, so the same crash received
    /// again is not a new one.
    voided: BTreeSet<(ServerId, IpAddr)>,
    /// Latest success by caller, or latest operator action (`None`, for all callers). Crashes at
    /// or before it no longer count.
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
    /// The log position of the next fact.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Merges a fact. Returns whether it was new.
    pub fn merge(&mut self, fact: Fact, source: Source, now: Instant) -> bool {
        self.merge_all([fact], &source, now)
    }

    /// Merges facts that arrived together. Returns whether any of them was new.
    ///
    /// Expiry is checked only after all of them are merged, because the time to keep a request
    /// depends on all its facts.
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

    /// Removes expired requests. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.by_request.len();
        self.by_request.retain(|_, case| !case.is_expired(now));
        self.by_request.len() != before
    }

    /// At most `limit` facts from log position `from` on, in log order, without those received from
    /// `to`, and the position from which to continue.
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

    /// Number of server incarnations that crashed under a request since it was last cleared.
    pub fn servers(&self, request: &Fingerprint) -> usize {
        self.by_request.get(request).map_or(0, Case::servers)
    }

    /// At most `limit` facts, of the requests with the most crashed servers first, the most recent
    /// of these before the others.
    pub fn strongest_facts(&self, limit: usize) -> Vec<Fact> {
        let mut cases: Vec<(&Fingerprint, &Case)> = self.by_request.iter().collect();
        cases.sort_by_cached_key(|(_, case)| Reverse((case.servers(), case.last())));
        let facts = cases.into_iter().flat_map(|(request, case)| {
            case.facts().map(|(outcome, entry)| Fact { request: *request, outcome, at: entry.at })
        });
        facts.take(limit).collect()
    }

    /// The requests under which servers crashed since they were last cleared.
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

    /// Removes the last crash if it was before `at`, to make room for one at `at`. Returns whether
    /// it did. Only the times of the first and the last crash matter.
    fn evict_last_before(&mut self, at: Instant) -> bool {
        let last = self.crashes.iter().max_by_key(|(_, entry)| entry.at);
        let last = last.filter(|(_, entry)| entry.at < at).map(|(crash, _)| crash.clone());
        last.is_some_and(|last| self.crashes.remove(&last).is_some())
    }

    /// Whether a crash under an attempt of `caller` at `at` no longer counts.
    fn is_cleared(&self, caller: IpAddr, at: Instant) -> bool {
        let cleared = [None, Some(caller)].into_iter().filter_map(|scope| self.cleared.get(&scope));
        cleared.into_iter().any(|cleared| at <= cleared.at)
    }

    fn clear(&mut self, scope: Option<IpAddr>, entry: Entry) -> bool {
        let known = self.cleared.get(&scope).map(|cleared| cleared.at);
        let is_full = self.cleared.len() >= MAX_FACTS_PER_REQUEST && known.is_none();
        // The limit does not apply to an operator's action.
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

    /// Moves crashes up to `at` under attempts of the caller `scope`, or of all callers, to
    /// `voided`. Returns whether there were any.
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
