//! Calling one path for a while.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::path::Route;
use crate::{client::Connection, process::ProcessorTime, statistic::micros};

/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("three digits of a minute are allowed")
}

/// Requests over one path, from one or more rounds.
#[derive(Debug)]
pub struct Phase {
    /// Latencies in microseconds.
    pub latencies: Histogram<u64>,
    /// Requests that did not succeed.
    pub failed: u64,
    /// How long the path was called.
    pub took: Duration,
    /// Processor time used meanwhile.
    pub used: ProcessorTime,
    /// Median of each round, in microseconds.
    pub medians: Vec<f64>,
}

impl Default for Phase {
    fn default() -> Self {
        Self {
            latencies: histogram(),
            failed: 0,
            took: Duration::ZERO,
            used: ProcessorTime::default(),
            medians: Vec::new(),
        }
    }
}

impl Phase {
    /// Adds another round.
    pub fn add(&mut self, other: Self) {
        // Both have the same bounds, so nothing is out of range.
        self.latencies += other.latencies;
        self.failed += other.failed;
        self.took += other.took;
        self.used.control += other.used.control;
        self.used.traffic += other.used.traffic;
        self.used.others += other.used.others;
        self.medians.extend(other.medians);
    }

    /// Requests a second.
    pub fn rate(&self) -> f64 {
        self.latencies.len() as f64 / self.took.as_secs_f64()
    }

    /// Microseconds of entry hosts' processor time for each request.
    pub fn router_micros(&self) -> f64 {
        micros(self.used.entry_hosts()) / self.latencies.len().max(1) as f64
    }

    /// Microseconds of callers' and stand-ins' processor time for each request.
    pub fn others_micros(&self) -> f64 {
        micros(self.used.others) / self.latencies.len().max(1) as f64
    }
}

/// Calls a path by `callers` that each wait for one answer at a time.
pub(super) async fn run(route: &Route, callers: usize, lasts: Duration) -> Phase {
    let mut connections = Vec::new();
    for _ in 0..callers {
        connections.extend(Connection::open(route.addr).await);
    }
    let mut phase = Phase { failed: (callers - connections.len()) as u64, ..Phase::default() };
    let (started, before) = (Instant::now(), ProcessorTime::now());
    let until = started + lasts;
    let called = connections.into_iter().enumerate().map(|(caller, connection)| {
        let first = (caller as u64) << 32;
        tokio::spawn(call(route.clone(), connection, first, until))
    });
    for called in called.collect::<Vec<_>>() {
        let (latencies, failed) = called.await.expect("no caller panics");
        phase.latencies += latencies;
        phase.failed += failed;
    }
    phase.took = started.elapsed();
    phase.used = ProcessorTime::now().since(&before);
    phase.medians.push(phase.latencies.value_at_quantile(0.5) as f64);
    phase
}

async fn call(
    route: Route,
    mut connection: Connection,
    first: u64,
    until: Instant,
) -> (Histogram<u64>, u64) {
    let mut latencies = histogram();
    let mut failed = 0;
    for sequence in first.. {
        let started = Instant::now();
        if started >= until {
            break;
        }
        match connection.send(route.request(sequence)).await {
            Some(res) if res.status().is_success() => {
                latencies.saturating_record(started.elapsed().as_micros() as u64);
            }
            Some(_) => failed += 1,
            None => {
                failed += 1;
                break;
            }
        }
    }
    (latencies, failed)
}
