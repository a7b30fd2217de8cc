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
    /// All of the operator's records before this offset have been applied.
    end: Offset,
}

/// The newest record that a host has of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Offset of the operator's record.
    pub offset: Offset,
    /// Whether the domain is evacuated; if not, it is back in service.
    pub evacuated: bool,
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
            is_evacuated && is_covered(entry.offset, end) && !listed.contains(domain)
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

    /// Offset up to which all of the operator's records are known.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Notes that all of the operator's records before `end` have been applied.
    pub fn mark_current(&mut self, end: Offset) {
        self.end = self.end.max(end);
    }

    /// The newest record of each domain.
    pub fn cursors(&self) -> BTreeMap<FailureDomain, Cursor> {
        let cursor = |entry: &Entry| Cursor {
            offset: entry.offset,
            evacuated: matches!(entry.state, State::Evacuated(_)),
        };
        self.by_domain.iter().map(|(domain, entry)| (domain.clone(), cursor(entry))).collect()
    }

    /// Whether a record at `offset` that came with data up to `end` was replaced by one that this host, which has later data, knows already.
    pub fn is_superseded(&self, offset: Offset, end: Offset) -> bool {
        end < self.end && is_covered(offset, self.end)
    }

    /// The updates for a host that has all records before `end`, and of each domain the one in `known`; `None` if it doesn't tell these.
    pub fn updates(
        &self,
        known: Option<&BTreeMap<FailureDomain, Cursor>>,
        end: Offset,
        now: Instant,
    ) -> Vec<EvacuationUpdate> {
        let is_newer = |(domain, entry): &(&FailureDomain, &Entry)| match known {
            None => entry.offset >= end,
            Some(known) => {
                let cursor = known.get(*domain);
                let is_newer = cursor.is_none_or(|cursor| cursor.offset < entry.offset);
                is_newer && !is_covered(entry.offset, end)
            }
        };
        let newer = self.by_domain.iter().filter(is_newer);
        let update = |(domain, entry): (&FailureDomain, &Entry)| {
            let (evacuated, age) = match entry.state {
                State::Evacuated(Leaving::Unbounded) => (true, None),
                State::Evacuated(Leaving::Since(at)) => (true, Some(at)),
                State::Returned(at) => (false, Some(at)),
            };
            let age = age.map(|at| now.saturating_duration_since(at));
            EvacuationUpdate { domain: domain.clone(), offset: entry.offset, evacuated, age }
        };
        newer.map(update).chain(self.unlisted(known)).collect()
    }

    /// The ends of evacuations that another host has in `known`, and that were over when this host read a complete list without them.
    fn unlisted(
        &self,
        known: Option<&BTreeMap<FailureDomain, Cursor>>,
    ) -> impl Iterator<Item = EvacuationUpdate> {
        let is_over = |(domain, cursor): &(&FailureDomain, &Cursor)| {
            let known = self.by_domain.get(*domain).is_some_and(|e| e.offset >= cursor.offset);
            cursor.evacuated && !known && is_covered(cursor.offset, self.end)
        };
        let offset = Offset(self.end.0.saturating_sub(1));
        known.into_iter().flatten().filter(is_over).map(move |(domain, _)| EvacuationUpdate {
            domain: domain.clone(),
            offset,
            evacuated: false,
            age: None,
        })
    }

    /// Applies the updates that another host sent at `at`, which has all records before `end`; `None` if it doesn't tell that. `bound` is the
    /// earliest time at which an evacuation can have begun, given the records that this host has already read. Returns whether any update is new.
    pub fn apply_updates(
        &mut self,
        updates: Vec<EvacuationUpdate>,
        end: Option<Offset>,
        bound: Leaving,
        at: Instant,
    ) -> bool {
        let newest = updates.iter().map(|update| Offset(update.offset.0 + 1)).max();
        let end = end.or(newest).unwrap_or_default();
        let mut changed = false;
        for EvacuationUpdate { domain, offset, evacuated, age } in updates {
            if self.is_superseded(offset, end) {
                continue;
            }
            let began = age.and_then(|age| at.checked_sub(age));
            let since = bound.tighter(Leaving::after(began));
            changed |= self.apply(domain, offset, evacuated, since, began.unwrap_or(at));
        }
        self.mark_current(end);
        changed
    }
}

/// Whether a host that has all records before `end` knows the one at `offset`, or a later one of the same domain. A record of an earlier era
/// may have been lost.
fn is_covered(offset: Offset, end: Offset) -> bool {
    offset < end && offset.era() == end.era()
}
