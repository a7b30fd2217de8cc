//! Entries of hosts that wait to be written to the list of hosts. No I/O.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::HostEntry;

/// Time after its write during which an entry isn't written again. A host repeats its entry until it sees it in the list.
const REWRITE_AFTER: Duration = Duration::from_secs(10);

/// Entries that wait, and those that were written recently.
#[derive(Debug, Default)]
pub struct Enrolments {
    waiting: BTreeMap<HostId, HostEntry>,
    written: BTreeMap<HostId, (HostEntry, Instant)>,
}

impl Enrolments {
    /// Adds an entry, unless it was written recently.
    pub fn add(&mut self, host: HostId, entry: HostEntry, now: Instant) {
        self.written.retain(|_, (_, at)| now < *at + REWRITE_AFTER);
        if self.written.get(&host).is_none_or(|(written, _)| *written != entry) {
            self.waiting.insert(host, entry);
        }
    }

    /// Takes up to `max` entries to be written in one append.
    pub fn next_batch(&mut self, max: usize, now: Instant) -> BTreeMap<HostId, HostEntry> {
        let rest = self.waiting.keys().nth(max).cloned();
        let rest = rest.map_or_else(BTreeMap::new, |first| self.waiting.split_off(&first));
        let batch = std::mem::replace(&mut self.waiting, rest);
        let written = batch.iter().map(|(host, entry)| (host.clone(), (entry.clone(), now)));
        self.written.extend(written);
        batch
    }
}
