//! What requests count against their teams.
//!
//! A request counts once for the team of its service, however often it was sent: as run if a backend server answered it, as
//! perhaps run if nobody knows, and not at all if it surely did not run. Each life of a process keeps its own totals and records
//! them in the store under its own name, so that no two writers meet and the sum of all records is the use of a team. A
//! process that is lost takes with it what it counted since its last record, [`RECORD_EVERY`] at the most.

use std::{
    cell::Cell,
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use jacinthbeam_store::{Call, Lane, Partition};
use jacinthbeam_types::prelude::{ServiceName, TeamName};
use serde::{Deserialize, Serialize};

use crate::send_outcome::SendOutcome;

/// Pause between two records of the totals: what a lost process can cost, against one call to the store.
pub const RECORD_EVERY: Duration = Duration::from_secs(5);

/// Requests of one team for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Answered by a backend server.
    pub ran: u64,
    /// Sent, and their fate is not known.
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
                let mine =
                    self.0.entry(team.clone()).or_default().entry(service.clone()).or_default();
                mine.ran += count.ran;
                mine.may_have_run += count.may_have_run;
            }
        }
    }

    /// The totals as recorded in the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg).expect("names and numbers can always be encoded")
    }

    /// Reads back what [`Usage::to_bytes`] gave.
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

    /// The totals now.
    pub fn get(&self) -> Usage {
        self.0.lock().expect("no holder of the lock panics").clone()
    }
}

/// What became of one request at backend servers; counts it when dropped.
///
/// A request goes on at its server after its caller has left, and ends in a task of its own. Counting where the caller is
/// answered would miss it.
#[derive(Debug)]
pub struct Use {
    of: Option<(Counted, TeamName, ServiceName)>,
    open: Cell<u32>,
    ran: Cell<bool>,
    may_have_run: Cell<bool>,
}

impl Use {
    /// A request that was sent nowhere yet. Without a team it counts for nobody.
    pub fn new(counted: &Counted, team: Option<&TeamName>, service: &ServiceName) -> Self {
        Self {
            of: team.map(|team| (counted.clone(), team.clone(), service.clone())),
            open: Cell::default(),
            ran: Cell::default(),
            may_have_run: Cell::default(),
        }
    }

    /// The request is sent to a server.
    pub fn begin(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// What became of it there.
    pub fn end(&self, sent: &SendOutcome) {
        self.open.set(self.open.get() - 1);
        match sent {
            SendOutcome::Answered { .. } => self.ran.set(true),
            SendOutcome::Lost(_) => self.may_have_run.set(true),
            SendOutcome::NotRun(_) => {}
        }
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let Some((counted, team, service)) = &self.of else { return };
        if self.ran.get() {
            counted.count(team, service, |count| count.ran += 1);
        } else if self.may_have_run.get() || self.open.get() > 0 {
            counted.count(team, service, |count| count.may_have_run += 1);
        }
    }
}

/// Records the totals of one process.
pub(super) struct Recorder {
    pub(super) lane: Lane,
    pub(super) to: Partition,
    /// Name of this life of the process.
    pub(super) key: String,
    pub(super) counted: Counted,
    pub(super) recorded: Usage,
}

impl Recorder {
    /// Records the totals from time to time, for ever.
    pub(super) async fn run(mut self) {
        loop {
            tokio::time::sleep(RECORD_EVERY).await;
            self.record().await;
        }
    }

    /// Records the totals if they have changed.
    pub(super) async fn record(&mut self) {
        let usage = self.counted.get();
        if usage == self.recorded {
            return;
        }
        let value = Bytes::from(usage.to_bytes());
        let call = Call::Put { to: self.to.clone(), key: self.key.clone(), value, only_at: None };
        match self.lane.call(&call).await {
            Ok(_) => self.recorded = usage,
            // The totals only grow, so the next record holds what this one lacks.
            Err(err) => tracing::warn!(part = "usage", event = "not-recorded", error = %err),
        }
    }
}
