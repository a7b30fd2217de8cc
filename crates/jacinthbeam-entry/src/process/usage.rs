//! Counting what was used, on its way to the log.

use std::sync::{Mutex, MutexGuard};

use jacinthbeam_admission::usage::{Batch, BatchId, Counter};
use jacinthbeam_types::prelude::*;

/// The counter of this process, shared by traffic threads and the task that appends.
#[derive(Debug)]
pub struct Usage(Mutex<Counter>);

impl Usage {
    /// A counter for this life of the process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self(Mutex::new(Counter::new(incarnation)))
    }

    /// Counts one request.
    pub fn count(&self, team: &TeamName, service: &ServiceName, verdict: Verdict) {
        self.lock().count(team, service, verdict);
    }

    /// The batch to append now, the same one until it is acknowledged.
    pub fn batch(&self) -> Option<Batch> {
        self.lock().take_batch().cloned()
    }

    /// The batch stands in the log.
    pub fn acknowledged(&self, id: BatchId) {
        self.lock().acknowledged(id);
    }

    /// Requests counted that are not known to stand in the log.
    pub fn at_risk(&self) -> u64 {
        self.lock().at_risk()
    }

    fn lock(&self) -> MutexGuard<'_, Counter> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
