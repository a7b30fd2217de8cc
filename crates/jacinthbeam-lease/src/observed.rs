//! When this host read the records that took slots from a server without its release.

use std::{collections::BTreeMap, time::Instant};

use jacinthbeam_types::prelude::*;

/// Most records whose time is kept. Older ones count as read when the newest dropped one was, which is later.
const KEPT: usize = 4096;

/// When this host learned of a record of the control stream.
#[derive(Debug, Clone)]
pub struct Observed {
    /// What is known of records without an entry of their own.
    earlier: Instant,
    read: BTreeMap<Offset, Instant>,
}

impl Observed {
    /// All records so far were learned at `now`, from a snapshot or from a peer.
    ///
    /// How long ago they were written is unknown, so every wait starts now.
    pub fn new(now: Instant) -> Self {
        Self { earlier: now, read: BTreeMap::new() }
    }

    /// Notes that the record at `offset` was read from the log or a relay. To be called after the read has
    /// returned, for every record that a [`lapse`](jacinthbeam_state::Owner::lapse) may name; calling it for
    /// all records is harmless.
    pub fn read(&mut self, now: Instant, offset: Offset) {
        self.read.entry(offset).or_insert(now);
        while self.read.len() > KEPT {
            if let Some((_, at)) = self.read.pop_first() {
                self.earlier = self.earlier.max(at);
            }
        }
    }

    /// Notes that the state was replaced by a snapshot; records that were skipped count from now.
    pub fn replaced(&mut self, now: Instant) {
        self.earlier = now;
    }

    /// When this host learned of the record at `offset`, or a later time.
    pub fn at(&self, offset: Offset) -> Instant {
        self.read.get(&offset).copied().unwrap_or(self.earlier)
    }
}
