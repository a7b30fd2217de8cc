//! The heaviest keys of one backend server in bounded memory, by the space-saving algorithm of
//! Metwally, Agrawal and El Abbadi.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jacinthbeam_types::prelude::*;

/// Busy time of the heaviest keys.
///
/// With `n` counters, every key with more than `1/n` of all time recorded has one, and no counter is more
/// than `1/n` of that time too high.
#[derive(Debug, Clone)]
pub struct Sketch {
    capacity: usize,
    counters: BTreeMap<KeyHash, Counter>,
    by_busy: BTreeSet<(u64, KeyHash)>,
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    busy: u64,
    error: u64,
}

/// A key with a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heavy {
    /// Its hash.
    pub key: KeyHash,
    /// Busy time that is certainly the key's own; may be too low, never too high.
    pub at_least: Duration,
    /// Busy time that the key had at most.
    pub at_most: Duration,
}

impl Sketch {
    /// A sketch of at most `capacity` keys; 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), counters: BTreeMap::new(), by_busy: BTreeSet::new() }
    }

    /// Adds the time that a request for `key` kept the server busy.
    pub fn record(&mut self, key: KeyHash, busy: Duration) {
        let busy = u64::try_from(busy.as_micros()).unwrap_or(u64::MAX);
        let counter = match self.counters.remove(&key) {
            Some(counter) => {
                self.by_busy.remove(&(counter.busy, key));
                counter
            }
            None => self.free_counter(),
        };
        self.insert(key, Counter { busy: counter.busy.saturating_add(busy), ..counter });
    }

    /// Halves all counters. Called at the end of each window, so that the sketch follows keys that cool down.
    pub fn halve(&mut self) {
        self.by_busy.clear();
        for (key, counter) in std::mem::take(&mut self.counters) {
            let halved = Counter { busy: counter.busy / 2, error: counter.error / 2 };
            if halved.busy > 0 {
                self.insert(key, halved);
            }
        }
    }

    /// Forgets a key that moved away or has a slot of its own.
    pub fn forget(&mut self, key: KeyHash) {
        if let Some(counter) = self.counters.remove(&key) {
            self.by_busy.remove(&(counter.busy, key));
        }
    }

    /// Keys with a counter, heaviest first.
    pub fn heaviest(&self) -> impl Iterator<Item = Heavy> + '_ {
        self.by_busy.iter().rev().map(|(_, key)| {
            let Counter { busy, error } = self.counters[key];
            Heavy {
                key: *key,
                at_least: Duration::from_micros(busy - error),
                at_most: Duration::from_micros(busy),
            }
        })
    }

    /// Number of keys with a counter.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// The counter for a key without one: new, or that of the lightest key, whose time is then the error.
    fn free_counter(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter { busy: 0, error: 0 };
        }
        let Some((busy, lightest)) = self.by_busy.pop_first() else {
            return Counter { busy: 0, error: 0 };
        };
        self.counters.remove(&lightest);
        Counter { busy, error: busy }
    }

    fn insert(&mut self, key: KeyHash, counter: Counter) {
        self.counters.insert(key, counter);
        self.by_busy.insert((counter.busy, key));
    }
}
