//! What a host reports about its load on one service.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Shortest interval between two reports of a host.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// By how much the interval grows with each host of the failure domain: a collector then gets at most 100 reports per second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// Number of report intervals for which a report is valid, so that three lost ones in a row change nothing.
pub const VALID_INTERVALS: u32 = 4;

/// Interval between two reports of a host, given the number of hosts in its failure domain.
pub fn interval(hosts: u32) -> Duration {
    MIN_INTERVAL.max(INTERVAL_PER_HOST * hosts)
}

/// Shortest time for which a plan is valid.
const MIN_PLAN_VALIDITY: Duration = Duration::from_secs(1);

/// Time for which a plan is valid after its arrival, given the number of hosts in the failure domain.
pub fn plan_validity(hosts: u32) -> Duration {
    MIN_PLAN_VALIDITY.max(interval(hosts) * VALID_INTERVALS)
}

/// The load of one host on one service.
///
/// `arrivals`, `answers`, `busy`, `refused` and `slowness` are counted since the previous report; `waiting` and `in_flight` are the present
/// numbers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Increases with each report of a process. A report that arrives late or twice is ignored.
    pub sequence: u32,
    /// Number of this part of the report. Parts after part 0 have the servers that did not fit in it, and no ranks.
    pub part: u32,
    /// Counts by rank. A rank without any count is left out.
    pub ranks: BTreeMap<u32, RankCounts>,
    /// Counts by server. A server without any count is left out.
    pub servers: BTreeMap<ServerId, ServerCounts>,
}

/// The requests of one rank at one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Requests that arrived from callers, including those that were refused.
    pub arrivals: u32,
    /// Requests that wait at the host for capacity.
    pub waiting: u32,
    /// Requests in flight at servers.
    pub in_flight: u32,
    /// Answers of servers.
    pub answers: u32,
    /// Total time from the send to the answer, over these answers.
    pub busy: Duration,
}

/// The requests of one host at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Requests in flight.
    pub in_flight: u32,
    /// Answers.
    pub answers: u32,
    /// Sum over these answers of the latency divided by the fleet's mean latency of the rank; 1 for each answer if the mean is unknown.
    pub slowness: f32,
    /// Requests that the server refused because it was full.
    pub refused: u32,
    /// What the server stated last about its load; `None` if it states nothing.
    pub stated: Option<StatedLoad>,
}

/// What a backend server states about its load in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLoad {
    /// Requests that it processes.
    pub running: u32,
    /// Requests that it has queued.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
    /// Duration of work on its machine at the moment, in percent of the usual duration; `None` if it does not state it.
    pub cost_percent: Option<u32>,
}

impl StatedLoad {
    /// Whether it had a free slot.
    pub fn has_free_slot(self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}
