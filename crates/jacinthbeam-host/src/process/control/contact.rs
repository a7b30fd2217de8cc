//! When this host last heard of the store, and over how many other hosts.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::follow::{MAPS_MAX_STALENESS, OPERATOR_MAX_STALENESS};
use crate::process::peers::source::MAX_STALENESS;

/// What the store, or hosts that follow it, let this host hear.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    /// When the last read of the servers' entries was sent that the store answered.
    servers: Cell<Option<Instant>>,
    /// When the store last answered a read of the operator's records.
    operator: Cell<Option<Instant>>,
    /// When each partition of maps was last read of those that this host reads.
    maps: RefCell<BTreeMap<u32, Instant>>,
    /// How far another host's news reached at the latest, and the hosts that they had passed, that one included.
    others: Cell<Option<(Instant, u8)>>,
}

impl StoreContact {
    pub(super) fn on_servers(&self, asked: Instant) {
        self.servers.set(self.servers.get().max(Some(asked)));
    }

    pub(super) fn on_operator(&self, now: Instant) {
        self.operator.set(Some(now));
    }

    /// A read of a partition of maps was answered.
    pub(super) fn on_maps(&self, number: u32, now: Instant) {
        self.maps.borrow_mut().insert(number, now);
    }

    /// News of another host, which were true at `at` and had passed `steps` hosts before it.
    pub(super) fn on_update(&self, at: Option<Instant>, steps: u8) {
        let Some(at) = at else { return };
        if self.others.get().is_none_or(|(known, _)| known < at) {
            self.others.set(Some((at, steps.saturating_add(1))));
        }
    }

    /// When the store last answered a read of the operator's records.
    pub(super) fn operator(&self) -> Option<Instant> {
        self.operator.get()
    }

    /// Since when there may be something that the store didn't tell this host itself, of the servers, the operator or the owners. Reads for
    /// the operator and for maps wait, so that their answers may be older.
    fn by_itself(&self) -> Option<Instant> {
        let operator = self.operator.get()? + (OPERATOR_MAX_STALENESS - MAX_STALENESS);
        let maps = self.maps.borrow();
        let maps = maps.values().map(|at| *at + (MAPS_MAX_STALENESS - MAX_STALENESS)).min();
        let heard = self.servers.get()?.min(operator);
        Some(maps.map_or(heard, |maps| maps.min(heard)))
    }

    /// Whether the store answers this host's own reads.
    pub(super) fn is_answered(&self, now: Instant) -> bool {
        age(self.by_itself(), now) <= MAX_STALENESS
    }

    /// How old what is known is.
    pub(super) fn age(&self, now: Instant) -> Duration {
        age(self.at(), now)
    }

    /// The moment before which everything is known.
    pub(super) fn at(&self) -> Option<Instant> {
        self.by_itself().max(self.others.get().map(|(at, _)| at))
    }

    /// Hosts that what is known has passed: 0 if the store itself tells it.
    pub(super) fn steps(&self, now: Instant) -> u8 {
        match self.others.get() {
            _ if self.is_answered(now) => 0,
            Some((_, steps)) => steps,
            None => u8::MAX,
        }
    }
}

fn age(at: Option<Instant>, now: Instant) -> Duration {
    at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}
