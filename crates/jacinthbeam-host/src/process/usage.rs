//! Usage accounting: the requests charged to each team.
//!
//! A request counts once for the team of its service, however often it was sent: as run if a backend server answered it, as
//! possibly run if its outcome is unknown, and not at all if it certainly did not run. Each incarnation of a process keeps its own
//! totals and records them in the store under its own key, so that no two processes write the same record and the sum of all
//! records is the usage of a team. A process that crashes loses what it counted since its last record, at most
//! [`RECORD_EVERY`].

use std::{
    cell::Cell,
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use jacinthbeam_store::{Call, Lane, Partition};
use jacinthbeam_types::prelude::{Era, ServiceName, TeamName};
use serde::{Deserialize, Serialize};

use crate::send_outcome::SendOutcome;

/// Pause between two records of the totals. A longer pause loses more counts in a crash, a shorter one costs more store calls.
pub const RECORD_EVERY: Duration = Duration::from_secs(5);

/// Requests of one team for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Answered by a backend server.
    pub ran: u64,
    /// Sent, with unknown outcome.
    pub may_have_run: u64,
}

/// Totals by team and service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage(pub BTreeMap<TeamName, BTreeMap<ServiceName, Count>>);

impl Usage {
    /// Adds the totals of another process.
    pub fn add(&mut self, other: &Self) {
        for (team, services) in &other.0 {
            for (service, count) in services {
                let total =
                    self.0.entry(team.clone()).or_default().entry(service.clone()).or_default();
                total.ran += count.ran;
                total.may_have_run += count.may_have_run;
            }
        }
    }

    /// Encodes the totals for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg).expect("names and numbers can always be encoded")
    }

    /// Decodes the result of [`Usage::to_bytes`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        Ok(bincode::serde::decode_from_slice(bytes, bincode::config::standard())?.0)
    }
}

/// The totals of this process, counted by the traffic thread and recorded by the control thread.
#[derive(Debug, Clone, Default)]
pub struct Counted(Arc<Mutex<Usage>>);

impl Counted {
    fn count(&self, team: &TeamName, service: &ServiceName, add: impl FnOnce(&mut Count)) {
        let mut usage = self.0.lock().expect("no holder of the lock panics");
        add(usage.0.entry(team.clone()).or_default().entry(service.clone()).or_default());
    }

    /// Returns a copy of the current totals.
    pub fn get(&self) -> Usage {
        self.0.lock().expect("no holder of the lock panics").clone()
    }
}

/// Tracks the outcomes of one request at backend servers, and counts the request when dropped.
///
/// A request continues at its server after its caller has disconnected, and ends in a task of its own. Counting at the
/// response to the caller would miss it.
#[derive(Debug)]
pub struct Use {
    account: Option<(Counted, TeamName, ServiceName)>,
    in_flight: Cell<u32>,
    ran: Cell<bool>,
    may_have_run: Cell<bool>,
}

impl Use {
    /// A request that hasn't been sent yet. Without a team it isn't counted.
    pub fn new(counted: &Counted, team: Option<&TeamName>, service: &ServiceName) -> Self {
        Self {
            account: team.map(|team| (counted.clone(), team.clone(), service.clone())),
            in_flight: Cell::default(),
            ran: Cell::default(),
            may_have_run: Cell::default(),
        }
    }

    /// Must be called when the request is sent to a server.
    pub fn begin(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Must be called with the outcome of each send that began.
    pub fn end(&self, sent: &SendOutcome) {
        self.in_flight.set(self.in_flight.get() - 1);
        match sent {
            SendOutcome::Answered { .. } => self.ran.set(true),
            SendOutcome::Lost(_) => self.may_have_run.set(true),
            SendOutcome::NotRun(_) => {}
        }
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let Some((counted, team, service)) = &self.account else { return };
        if self.ran.get() {
            counted.count(team, service, |count| count.ran += 1);
        } else if self.may_have_run.get() || self.in_flight.get() > 0 {
            counted.count(team, service, |count| count.may_have_run += 1);
        }
    }
}

/// Records the totals of one process.
pub(super) struct Recorder {
    pub(super) lane: Lane,
    pub(super) to: Partition,
    /// Identifies this incarnation of the process.
    pub(super) key: String,
    pub(super) counted: Counted,
    pub(super) recorded: Usage,
    /// Era of the store in which they were recorded.
    pub(super) era: Era,
}

impl Recorder {
    /// Records the totals every [`RECORD_EVERY`]. Runs forever.
    pub(super) async fn run(mut self) {
        loop {
            tokio::time::sleep(RECORD_EVERY).await;
            self.record().await;
        }
    }

    /// Records the totals if they have changed.
    pub(super) async fn record(&mut self) {
        let usage = self.counted.get();
        if self.era != self.lane.era() {
            // A restored store may have lost the record.
            (self.era, self.recorded) = (self.lane.era(), Usage::default());
        }
        if usage == self.recorded {
            return;
        }
        let value = Bytes::from(usage.to_bytes());
        let call = Call::Put { to: self.to.clone(), key: self.key.clone(), value, only_at: None };
        match self.lane.call(&call).await {
            Ok(_) => self.recorded = usage,
            // The totals only grow, so the next record makes up for this one.
            Err(err) => tracing::warn!(part = "usage", event = "not-recorded", error = %err),
        }
    }
}
