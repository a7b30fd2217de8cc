//! Choice among servers that do the same work.

use std::time::{Duration, Instant};

use crate::ServerStats;

/// A server that could take the request.
#[derive(Debug)]
pub struct Candidate<'a, Id> {
    /// Who it is.
    pub id: &'a Id,
    /// What was seen of it.
    pub stats: &'a ServerStats,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it runs in this host's failure domain.
    pub near: bool,
    /// Whether it is one of those that this host asks first.
    pub in_subset: bool,
    /// Whether it has just started and is slow for a while.
    pub cold: bool,
}

/// What a server elsewhere must be faster by. Its answer is charged by the byte; 60 ms is a tenth of the usual objective,
/// which an ordinary request loses without harm.
const REMOTE_DOMAIN_PENALTY: Duration = Duration::from_millis(60);

/// What a server that this host seldom asks must be faster by.
const OUTSIDE_SUBSET_PENALTY: Duration = Duration::from_millis(100);

/// A server that fails a part of its requests counts as this much slower.
const FAILING_PENALTY: Duration = Duration::from_millis(600);

/// A server that was full or unreachable a moment ago comes after all others.
const UNAVAILABLE_PENALTY: Duration = Duration::from_secs(10);

/// Factor for a server that has just started.
const COLD_FACTOR: f64 = 2.0;

/// Spread of the estimates: hosts that have seen alike must not all pick the same server at the same moment.
const JITTER: f64 = 0.3;

/// The candidate that is expected to answer first. `random` gives numbers from 0 to 1.
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
