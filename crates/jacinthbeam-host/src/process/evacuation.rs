//! Failure domains that the operator evacuates: no request goes to their servers until they are taken back. No I/O.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::version::Leaving;

/// What is known of one failure domain.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Offset of the operator's record.
    offset: Offset,
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// The store took the operator's word at this moment or later.
    Evacuated(Leaving),
    /// This host learnt at this moment that the domain is taken back.
    Returned(Instant),
}

/// The evacuations that this host knows of, past ones included.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    of: BTreeMap<FailureDomain, Entry>,
}

/// What one host tells another of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Offset of the operator's record.
    pub offset: Offset,
    /// Whether it is evacuated; else it was taken back.
    pub evacuated: bool,
    /// How long ago that happened, at the most; `None` if nothing bounds it.
    pub age: Option<Duration>,
}

impl Evacuations {
    /// Takes the operator's record of a domain. An evacuation was acknowledged at `bound` or later; that it is taken back was known
    /// `now`. Returns whether it is news.
    pub fn take(
        &mut self,
        domain: FailureDomain,
        offset: Offset,
        evacuated: bool,
        bound: Leaving,
        now: Instant,
    ) -> bool {
        let before = self.of.get(&domain);
        if before.is_some_and(|entry| entry.offset >= offset) {
            return false;
        }
        let state = match (before.map(|entry| entry.state), evacuated) {
            // Said again: it stands since the first time.
            (Some(state @ State::Evacuated(_)), true) => state,
            (Some(state @ State::Returned(_)), false) => state,
            (_, true) => State::Evacuated(bound),
            (_, false) => State::Returned(now),
        };
        tracing::info!(part = "evacuation", event = if evacuated { "evacuated" } else { "returned" }, domain = %domain, offset = %offset);
        self.of.insert(domain, Entry { offset, state });
        true
    }

    /// Takes back every domain that a whole list of the operator's records lacks, unless its record came after `end`. Returns
    /// whether there was any.
    pub fn retain_listed(&mut self, listed: &[FailureDomain], end: Offset, now: Instant) -> bool {
        let is_missing = |(domain, entry): &(&FailureDomain, &Entry)| {
            let is_evacuated = matches!(entry.state, State::Evacuated(_));
            is_evacuated && entry.offset < end && !listed.contains(domain)
        };
        let missing: Vec<FailureDomain> =
            self.of.iter().filter(is_missing).map(|(domain, _)| domain.clone()).collect();
        let last = Offset(end.0.saturating_sub(1));
        let mut changed = false;
        for domain in missing {
            changed |= self.take(domain, last, false, Leaving::Unbounded, now);
        }
        changed
    }

    /// Since when a domain is evacuated; `None` if it isn't.
    pub fn since(&self, domain: &FailureDomain) -> Option<Leaving> {
        match self.of.get(domain)?.state {
            State::Evacuated(since) => Some(since),
            State::Returned(_) => None,
        }
    }

    /// When this host learnt that a domain was taken back; `None` if it is evacuated or never was.
    pub fn returned(&self, domain: &FailureDomain) -> Option<Instant> {
        match self.of.get(domain)?.state {
            State::Evacuated(_) => None,
            State::Returned(at) => Some(at),
        }
    }

    /// The domains that are evacuated now, and since when.
    pub fn evacuated(&self) -> BTreeMap<FailureDomain, Leaving> {
        let since = |domain: &FailureDomain| Some((domain.clone(), self.since(domain)?));
        self.of.keys().filter_map(since).collect()
    }

    /// Everything before this offset is known of evacuations.
    pub fn end(&self) -> Offset {
        self.of.values().map(|entry| Offset(entry.offset.0 + 1)).max().unwrap_or_default()
    }

    /// What a host needs to hear that knows everything before `end`.
    pub fn updates(&self, end: Offset, now: Instant) -> Vec<EvacuationUpdate> {
        let newer = self.of.iter().filter(|(_, entry)| entry.offset >= end);
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

    /// Takes what another host told at `at`. `bound` is what this host knew of the operator's records before. Returns whether any is new.
    pub fn take_updates(
        &mut self,
        updates: Vec<EvacuationUpdate>,
        bound: Leaving,
        at: Instant,
    ) -> bool {
        let mut changed = false;
        for EvacuationUpdate { domain, offset, evacuated, age } in updates {
            let told = age.and_then(|age| at.checked_sub(age));
            let since = bound.tighter(Leaving::after(told));
            changed |= self.take(domain, offset, evacuated, since, told.unwrap_or(at));
        }
        changed
    }
}
