//! What the experiment found, for people and for programs.

use std::{collections::BTreeMap, fmt, time::Duration};

use jacinthbeam::types::prelude::*;
use serde::Serialize;

use crate::{
    judge::{Broken, Promise},
    report::Requests,
};

/// What the experiment found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Policy of every service, or `None` for the configured ones.
    pub policy: Option<String>,
    /// Seed of the load.
    pub seed: u64,
    /// Time that a backend server takes for a request.
    pub service_time: Duration,
    /// How long the load lasted.
    pub lasted: Duration,
    /// Load average of the machine at the end.
    pub load_average: f64,
    /// By service.
    pub services: BTreeMap<ServiceName, ServiceReport>,
    /// Moves of all services.
    pub moves: MovesReport,
    /// What the control stream holds.
    pub log: LogCounts,
    /// All requests.
    pub requests: Requests,
    /// Median, 99 in 100 and longest time of the answered, in milliseconds.
    pub latency_ms: [f64; 3],
    /// Promises that were broken.
    pub broken: Broken,
}

/// One service.
#[derive(Debug, Serialize)]
pub struct ServiceReport {
    /// Its policy.
    pub policy: String,
    /// Servers that own slots.
    pub servers: usize,
    /// Maximum over mean of what the owners were offered, every half second, after the warm-up.
    pub offered: Spread,
    /// Maximum over mean of what the servers ran, every ten seconds.
    pub run: Spread,
    /// Load of the hottest key over the mean load of a server; no policy can do better.
    pub hottest_by_mean: f64,
    /// Slots that went to another server.
    pub moved: usize,
    /// Keys that were split out.
    pub split: usize,
    /// Keys that were merged back.
    pub merged: usize,
    /// Times that a server rose above the line at which it is relieved by what it gained.
    pub overfilled: u64,
}

/// Values of one measure over time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// What 95 in 100 keep.
    pub most: f64,
    /// The largest.
    pub max: f64,
}

/// Moves and what callers felt of them.
#[derive(Debug, Serialize)]
pub struct MovesReport {
    /// Slots that went from one server's grant to another's.
    pub moves: usize,
    /// Median, 99 in 100 and longest time in which neither grant held the slot, in milliseconds.
    pub between_grants_ms: [f64; 3],
    /// The same of the time beyond its service time that an answered request took, if its slot moved meanwhile.
    pub waited_ms: [f64; 3],
    /// Requests whose slot moved while they were open.
    pub requests: Requests,
}

/// Counts of records in the control stream.
#[derive(Debug, Default, Serialize)]
pub struct LogCounts {
    /// All records.
    pub records: u64,
    /// Records of moves.
    pub moves: u64,
    /// Slots that these moved.
    pub moved_slots: u64,
    /// Records of moves, splits and merges that changed nothing, by the reason.
    pub void: BTreeMap<String, u64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { deployment, seed, service_time, lasted, load_average, .. } = self;
        let policy = self.policy.as_deref().unwrap_or("as configured");
        writeln!(
            f,
            "{deployment}, policy {policy}, seed {seed}, {service_time:.0?} a request at a backend server, {lasted:.0?}, \
             load average {load_average:.1}"
        )?;
        writeln!(
            f,
            "service     policy               offered max/mean   ran, by 10 s   hottest  moved  split  merged  overfilled"
        )?;
        for (service, at) in &self.services {
            let Spread { median, most, max } = at.offered;
            writeln!(
                f,
                "{:10}  {:19}  {median:.2} {most:.2} {max:.2}     {:.2} {:.2}      {:7.2}  {:5}  {:5}  {:6}  {:10}",
                service.as_str(),
                at.policy,
                at.run.median,
                at.run.most,
                at.hottest_by_mean,
                at.moved,
                at.split,
                at.merged,
                at.overfilled
            )?;
        }
        let MovesReport { moves, between_grants_ms: between, waited_ms: waited, requests } =
            &self.moves;
        writeln!(
            f,
            "{moves} moves; ms between two grants: p50 {:.0} p99 {:.0} max {:.0}; ms beyond the service time for requests in \
             a move: p50 {:.0} p99 {:.0} max {:.0}",
            between[0], between[1], between[2], waited[0], waited[1], waited[2]
        )?;
        writeln!(f, "requests in a move: {requests}")?;
        let [p50, p99, max] = self.latency_ms;
        writeln!(f, "requests: {}; ms: p50 {p50:.0} p99 {p99:.0} max {max:.0}", self.requests)?;
        let LogCounts { records, moves, moved_slots, void } = &self.log;
        writeln!(f, "log: {records} records, {moves} of moves for {moved_slots} slots")?;
        for (why, count) in void {
            writeln!(f, "     {count} void: {why}")?;
        }
        for promise in Promise::ALL {
            let count = self.broken.0.get(&promise);
            for example in count.into_iter().flat_map(|count| &count.examples) {
                writeln!(f, "broken: {promise}: {example}")?;
            }
        }
        let broken: u64 = self.broken.0.values().map(|count| count.times).sum();
        write!(f, "promises broken: {broken}")
    }
}
