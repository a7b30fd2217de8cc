//! Chooses among the servers of a service by expected latency.

use std::time::{Duration, Instant};

use crate::ServerStats;

pub mod by_load;

/// A server that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a, Id> {
    /// Identifies the server.
    pub id: &'a Id,
    /// This host's observations of it.
    pub stats: &'a ServerStats,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it runs in this host's failure domain.
    pub near: bool,
    /// Whether it is in this host's preferred subset.
    pub in_subset: bool,
    /// Whether it is cold: recently started and still slow.
    pub cold: bool,
}

/// Penalty for a server in another failure domain, whose responses are charged by the byte.
///
/// 60 ms is a tenth of the usual objective, which an ordinary request can lose without harm.
const REMOTE_DOMAIN_PENALTY: Duration = Duration::from_millis(60);

/// Penalty for a server outside this host's preferred subset.
const OUTSIDE_SUBSET_PENALTY: Duration = Duration::from_millis(100);

/// Penalty for a server that fails a large share of its requests.
const FAILING_PENALTY: Duration = Duration::from_millis(600);

/// Penalty for a server that was full or unreachable recently. It ranks such a server after all others.
const UNAVAILABLE_PENALTY: Duration = Duration::from_secs(10);

/// Latency factor of a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Random spread of the estimates, so that hosts with similar observations don't all pick the same server at the same time.
const JITTER: f64 = 0.3;

/// Returns the candidate with the lowest expected latency. `random` returns numbers from 0 to 1.
pub fn best<'a, Id>(
    candidates: impl Iterator<Item = Candidate<'a, Id>>,
    now: Instant,
    mut random: impl FnMut() -> f64,
) -> Option<&'a Id> {
    let mut best: Option<(Duration, &Id)> = None;
    for candidate in candidates {
        let cost = cost(&candidate, now).mul_f64(1.0 + JITTER * random());
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate.id));
        }
    }
    best.map(|(_, id)| id)
}

fn cost<Id>(candidate: &Candidate<'_, Id>, now: Instant) -> Duration {
    let stats = candidate.stats;
    let explores = candidate.near && candidate.in_subset;
    let mut cost = stats.expected_latency(now, candidate.slots, explores);
    if !candidate.in_subset {
        cost += OUTSIDE_SUBSET_PENALTY;
    }
    if candidate.cold {
        cost = cost.mul_f64(COLD_FACTOR);
    }
    if !candidate.near {
        cost += REMOTE_DOMAIN_PENALTY;
    }
    if stats.is_failing() {
        cost += FAILING_PENALTY;
    }
    if stats.is_full(now) || stats.is_avoided(now) {
        cost += UNAVAILABLE_PENALTY;
    }
    cost
}
