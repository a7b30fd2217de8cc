//! Counting what was used, on its way to the log.

use std::sync::{Arc, Mutex, MutexGuard};

use jacinthbeam_admission::usage::{Batch, BatchId, Counter};
use jacinthbeam_types::prelude::*;

use super::Traffic;

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

/// A request that is being sent to a backend server. Dropped without a verdict, it counts as one that may have run.
///
/// Its task is dropped when the caller goes away; without this such a request would appear in no
/// count, though it may have run.
#[derive(Debug)]
pub struct Sent {
    cx: Arc<Traffic>,
    team: TeamName,
    service: ServiceName,
    ended: bool,
}

impl Sent {
    /// To be called just before the request is sent.
    pub fn new(cx: Arc<Traffic>, team: TeamName, service: ServiceName) -> Self {
        Self { cx, team, service, ended: false }
    }

    /// Counts the request, unless it did not run.
    pub fn end(mut self, verdict: Verdict) {
        self.ended = true;
        self.count(verdict);
    }

    fn count(&self, verdict: Verdict) {
        if verdict != Verdict::NotRun {
            self.cx.usage.count(&self.team, &self.service, verdict);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if !self.ended {
            self.count(Verdict::MayHaveRun);
        }
    }
}
