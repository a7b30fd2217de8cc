//! Failure domains that the operator has evacuated: no request is sent to their servers until the operator returns them to service.
//! No I/O.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::version::Leaving;

/// The latest record of one failure domain.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Offset of the operator's record.
    offset: Offset,
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Evacuated; the store acknowledged the operator's record at this time or later.
    Evacuated(Leaving),
    /// Back in service; this host learnt so at this time.
    Returned(Instant),
}

/// All evacuations that this host has received, including those that have ended.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    by_domain: BTreeMap<FailureDomain, Entry>,
}

/// State of one failure domain, as one host sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Offset of the operator's record.
    pub offset: Offset,
    /// Whether the domain is evacuated; if not, it is back in service.
    pub evacuated: bool,
    /// Upper bound of the time since then; `None` if it is unbounded.
    pub age: Option<Duration>,
}

impl Evacuations {
    /// Applies the operator's record of a domain. `bound` is the earliest time at which the store can have acknowledged an evacuation;
    /// `now` is the time at which an end of one became known. Returns whether the record is newer than the one held.
    pub fn apply(
        &mut self,
        domain: FailureDomain,
        offset: Offset,
        evacuated: bool,
        bound: Leaving,
        now: Instant,
    ) -> bool {
        let before = self.by_domain.get(&domain);
        if before.is_some_and(|entry| entry.offset >= offset) {
            return false;
        }
        let state = match (before.map(|entry| entry.state), evacuated) {
            // A repeated record doesn't change when the state began.
            (Some(state @ State::Evacuated(_)), true) => state,
            (Some(state @ State::Returned(_)), false) => state,
            (_, true) => State::Evacuated(bound),
            (_, false) => State::Returned(now),
        };
        tracing::info!(part = "evacuation", event = if evacuated { "evacuated" } else { "returned" }, domain = %domain, offset = %offset);
        self.by_domain.insert(domain, Entry { offset, state });
        true
    }

    /// Ends every evacuation that is missing from a complete list of the operator's records, except those recorded at `end` or later, and those
    /// of an earlier era of the store, whose records may be lost.
    /// Returns whether there was any.
    pub fn retain_listed(&mut self, listed: &[FailureDomain], end: Offset, now: Instant) -> bool {
        let is_missing = |(domain, entry): &(&FailureDomain, &Entry)| {
            let is_evacuated = matches!(entry.state, State::Evacuated(_));
            let may_be_lost = entry.offset.era() < end.era();
            is_evacuated && entry.offset < end && !may_be_lost && !listed.contains(domain)
        };
        let missing: Vec<FailureDomain> =
            self.by_domain.iter().filter(is_missing).map(|(domain, _)| domain.clone()).collect();
        let last = Offset(end.0.saturating_sub(1));
        let mut changed = false;
        for domain in missing {
            changed |= self.apply(domain, last, false, Leaving::Unbounded, now);
        }
        changed
    }

    /// Start of the evacuation of a domain; `None` if it isn't evacuated.
    pub fn since(&self, domain: &FailureDomain) -> Option<Leaving> {
        match self.by_domain.get(domain)?.state {
            State::Evacuated(since) => Some(since),
            State::Returned(_) => None,
        }
    }

    /// When this host learnt that a domain is back in service; `None` if it is evacuated or never was.
    pub fn returned(&self, domain: &FailureDomain) -> Option<Instant> {
        match self.by_domain.get(domain)?.state {
            State::Evacuated(_) => None,
            State::Returned(at) => Some(at),
        }
    }

    /// The domains that are evacuated now, each with the start of its evacuation.
    pub fn evacuated(&self) -> BTreeMap<FailureDomain, Leaving> {
        let since = |domain: &FailureDomain| Some((domain.clone(), self.since(domain)?));
        self.by_domain.keys().filter_map(since).collect()
    }

    /// Offset after the newest evacuation record that was applied; all earlier records are known.
    pub fn end(&self) -> Offset {
        self.by_domain.values().map(|entry| Offset(entry.offset.0 + 1)).max().unwrap_or_default()
    }

    /// The updates for a host that has all records before `end`.
    pub fn updates(&self, end: Offset, now: Instant) -> Vec<EvacuationUpdate> {
        let newer = self.by_domain.iter().filter(|(_, entry)| entry.offset >= end);
        let update = |(domain, entry): (&FailureDomain, &Entry)| {
            let (evacuated, age) = match entry.state {
                State::Evacuated(Leaving::Unbounded) => (true, None),
                State::Evacuated(Leaving::Since(at)) => (true, Some(at)),
                State::Returned(at) => (false, Some(at)),
            };
            let age = age.map(|at| now.saturating_duration_since(at));
            EvacuationUpdate { domain: domain.clone(), offset: entry.offset, evacuated, age }
        };
        newer.map(update).collect()
    }

    /// Applies the updates that another host sent at `at`. `bound` is the earliest time at which an evacuation can have begun, given the
    /// records that this host has already read. Returns whether any update is new.
    pub fn apply_updates(
        &mut self,
        updates: Vec<EvacuationUpdate>,
        bound: Leaving,
        at: Instant,
    ) -> bool {
        let mut changed = false;
        for EvacuationUpdate { domain, offset, evacuated, age } in updates {
            let began = age.and_then(|age| at.checked_sub(age));
            let since = bound.tighter(Leaving::after(began));
            changed |= self.apply(domain, offset, evacuated, since, began.unwrap_or(at));
        }
        changed
    }
}
