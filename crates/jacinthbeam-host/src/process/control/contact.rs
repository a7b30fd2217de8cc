//! How recent this host's knowledge of the store is, and over how many other hosts it came.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::follow::{MAPS_MAX_STALENESS, OPERATOR_MAX_STALENESS};
use crate::process::peers::source::MAX_STALENESS;

/// Times of the latest contact with the store, directly and through other hosts.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    /// When the latest answered read of the servers' entries was sent.
    servers: Cell<Option<Instant>>,
    /// When the store last answered a read of the operator's records.
    operator: Cell<Option<Instant>>,
    /// When the store last answered a read of each map partition that this host reads, or when it began to read the partition.
    maps: RefCell<BTreeMap<u32, Instant>>,
    /// The most recent time as of which another host's update was current, and how many hosts it had passed, including that one.
    via_hosts: Cell<Option<(Instant, u8)>>,
}

impl StoreContact {
    pub(super) fn on_servers(&self, sent_at: Instant) {
        self.servers.set(self.servers.get().max(Some(sent_at)));
    }

    pub(super) fn on_operator(&self, now: Instant) {
        self.operator.set(Some(now));
    }

    /// This host begins to read a map partition. If it never did, its first read is due as later ones are.
    pub(super) fn on_maps_enabled(&self, number: u32, now: Instant) {
        self.maps.borrow_mut().entry(number).or_insert(now);
    }

    /// The store answered a read of a map partition.
    pub(super) fn on_maps(&self, number: u32, now: Instant) {
        self.maps.borrow_mut().insert(number, now);
    }

    /// An update arrived from another host; it was current as of `at` and had passed `steps` hosts before that one.
    pub(super) fn on_update(&self, at: Option<Instant>, steps: u8) {
        let Some(at) = at else { return };
        if self.via_hosts.get().is_none_or(|(known, _)| known < at) {
            self.via_hosts.set(Some((at, steps.saturating_add(1))));
        }
    }

    /// When the store last answered a read of the operator's records.
    pub(super) fn operator_as_of(&self) -> Option<Instant> {
        self.operator.get()
    }

    /// The time as of which this host's own reads of servers, operator records and maps are all current; `None` before the first ones.
    ///
    /// Reads of operator records and maps are long polls, so their answers may be older than [`MAX_STALENESS`] by the difference between
    /// their own limit and that one.
    fn direct_as_of(&self) -> Option<Instant> {
        let operator = self.operator.get()? + (OPERATOR_MAX_STALENESS - MAX_STALENESS);
        let maps = self.maps.borrow();
        let maps = maps.values().map(|at| *at + (MAPS_MAX_STALENESS - MAX_STALENESS)).min();
        let direct = self.servers.get()?.min(operator);
        Some(maps.map_or(direct, |maps| maps.min(direct)))
    }

    /// Whether the store answers this host's own reads.
    pub(super) fn is_store_answering(&self, now: Instant) -> bool {
        age(self.direct_as_of(), now) <= MAX_STALENESS
    }

    /// How stale the replica is; `Duration::MAX` if nothing was read yet.
    pub(super) fn age(&self, now: Instant) -> Duration {
        age(self.as_of(), now)
    }

    /// The time as of which the replica is current, by this host's own reads or another host's update.
    pub(super) fn as_of(&self) -> Option<Instant> {
        self.direct_as_of().max(self.via_hosts.get().map(|(at, _)| at))
    }

    /// Number of hosts that this host's data has passed: 0 if it reads the store itself, `u8::MAX` if there is no source.
    pub(super) fn steps(&self, now: Instant) -> u8 {
        match self.via_hosts.get() {
            _ if self.is_store_answering(now) => 0,
            Some((_, steps)) => steps,
            None => u8::MAX,
        }
    }
}

fn age(at: Option<Instant>, now: Instant) -> Duration {
    at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}
