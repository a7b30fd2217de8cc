//! Counting on one entry host.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;

use super::{Batch, BatchId, Count};

/// Counts that make a batch due at once, which bounds what the loss of a host can lose while the log is up.
pub const FLUSH_COUNTS: u64 = 1_000;
/// Least time between two batches of a host when fewer counts wait.
const LEAST_INTERVAL: Duration = Duration::from_secs(1);
/// Appends a second that all entry hosts together may spend on batches that are due by time.
const APPENDS_A_SECOND: u32 = 50;

/// Time between two batches of one host, longer in a larger fleet so that the log's load stays flat.
pub fn flush_every(entry_hosts: u32) -> Duration {
    LEAST_INTERVAL.max(Duration::from_secs(1) * entry_hosts / APPENDS_A_SECOND)
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    team: TeamName,
    service: ServiceName,
    verdict: Verdict,
}

/// Counts of one process that the log does not hold for certain. Bounded by the number of services.
#[derive(Debug)]
pub struct Counter {
    incarnation: Incarnation,
    next: u64,
    open: BTreeMap<Key, u64>,
    open_count: u64,
    sealed: Option<Batch>,
}

impl Counter {
    /// Starts at nothing, for a process life that has not counted before.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next: 1, open: BTreeMap::new(), open_count: 0, sealed: None }
    }

    /// Counts a request by how it ended. One that was not run is not counted.
    pub fn count(&mut self, team: &TeamName, service: &ServiceName, verdict: Verdict) {
        if verdict == Verdict::NotRun {
            return;
        }
        let key = Key { team: team.clone(), service: service.clone(), verdict };
        *self.open.entry(key).or_default() += 1;
        self.open_count += 1;
    }

    /// The batch to append: the last one unless it is acknowledged, else a new one if there is
    /// anything to count.
    ///
    /// A batch whose append got no answer may stand in the log. Sent again with one more count it
    /// would be dropped as a duplicate and the count be lost; sent under a new name it would be
    /// counted twice. Sent again unchanged it is counted once.
    pub fn take_batch(&mut self) -> Option<&Batch> {
        if self.sealed.is_none() && !self.open.is_empty() {
            let id = BatchId { incarnation: self.incarnation, sequence: self.next };
            let counts = std::mem::take(&mut self.open).into_iter().map(count_of).collect();
            self.next += 1;
            self.open_count = 0;
            self.sealed = Some(Batch { id, counts });
        }
        self.sealed.as_ref()
    }

    /// The log is known to hold the batch: its append succeeded, or it was read back.
    pub fn acknowledged(&mut self, id: BatchId) {
        self.sealed.take_if(|sealed| sealed.id == id);
    }

    /// Whether a batch is due before its time.
    pub fn is_due(&self) -> bool {
        self.sealed.is_none() && self.open_count >= FLUSH_COUNTS
    }

    /// Requests counted that would be lost with this process.
    pub fn at_risk(&self) -> u64 {
        let sealed = self.sealed.iter().flat_map(|batch| &batch.counts).map(|c| c.count);
        self.open_count + sealed.sum::<u64>()
    }
}

fn count_of((key, count): (Key, u64)) -> Count {
    Count { team: key.team, service: key.service, verdict: key.verdict, count }
}
