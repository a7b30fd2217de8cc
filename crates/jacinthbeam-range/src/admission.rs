//! Admission control: sheds load for an overloaded owner, so that what is admitted is answered in time.
//!
//! The failure it prevents: for some seconds, requests for an owner's keys arrive faster than it can
//! serve them. Its queue fills, and from then on every request waits for the whole queue: 0.9 s with
//! three slots, room for twelve requests and a service time of 0.22 s. Throughput stays the same, but
//! every answer comes too late to be worth much. No single host can detect this, since each sends an
//! owner less than one request a second.
//!
//! The leader receives load reports from all hosts, and so knows each owner's arrival rate and requests in
//! flight. It admits as many requests as the owner can serve, corrected so that the queue approaches the
//! length that the latency objective allows. The rest is refused immediately, the least urgent requests
//! first, and callers may retry when there is capacity.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Time in which the number of requests in flight is brought to its target. A time below the delay of
/// the measurement (a load report and a gate message, some 0.3 s) would overshoot.
const CORRECTION_TIME: Duration = Duration::from_millis(800);

/// Part of the latency objective that a request may spend at the owner. The rest is for the network and
/// for the variance of service times.
const OWNER_SHARE_OF_OBJECTIVE: f64 = 0.8;

/// Requests in flight per slot up to which an owner has practically no queue.
const QUEUE_FREE_IN_FLIGHT_PER_SLOT: f64 = 1.15;

/// Ratio of what is admitted for a rate-limited owner to its limit. The hosts that issue permits enforce the limit, but don't know the ranks
/// of requests; the gate keeps the less urgent ones from using up the permits. The rest is for arrivals that vary.
const LIMIT_ADMISSION_RATIO: f64 = 1.3;

/// Which requests for an owner are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Gate {
    /// Requests of a lower rank, which are more urgent, are all admitted; those of a higher rank are all
    /// refused; of those of this rank, `share` is admitted.
    pub rank: u32,
    /// Fraction of the requests of this rank that is admitted, from 0 to 1.
    pub share: f64,
}

impl Gate {
    /// Whether to admit a request of this rank. `random` is uniform in 0 to 1.
    pub fn admits(self, rank: u32, random: f64) -> bool {
        match rank.cmp(&self.rank) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => random < self.share,
            std::cmp::Ordering::Greater => false,
        }
    }
}

/// The measured load of an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerLoad {
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Time that a request occupies a slot.
    pub service_time: Duration,
    /// Requests at the owner, queued ones included.
    pub in_flight: f64,
    /// Requests a second that arrive for its keys, by rank, refused ones included.
    pub arrival_rates: BTreeMap<u32, f64>,
    /// The rate limit that it states.
    pub rate_limit: Option<Rate>,
}

/// The gate that keeps an owner within the latency objective and its rate limit, or `None` if all requests can be admitted.
pub fn gate(load: &OwnerLoad, objective: Duration) -> Option<Gate> {
    let admitted = |limit: Rate| limit.max(Rate::PROBE).per_second() * LIMIT_ADMISSION_RATIO;
    // Among requests of one rank there is nothing to choose, and permits follow the limit without delay.
    let limited_rate = load.rate_limit.filter(|_| load.arrival_rates.len() > 1).map(admitted);
    let mut admissible_rate = match (rate_by_queue(load, objective), limited_rate) {
        (Some(by_queue), Some(limited)) => by_queue.min(limited),
        (by_queue, limited) => by_queue.or(limited)?,
    };
    for (rank, rate) in &load.arrival_rates {
        if *rate > admissible_rate {
            return Some(Gate { rank: *rank, share: (admissible_rate / rate).max(0.0) });
        }
        admissible_rate -= rate;
    }
    None
}

/// Requests a second that bring the queue of an owner to the length that the objective allows; `None` if it has no queue.
fn rate_by_queue(load: &OwnerLoad, objective: Duration) -> Option<f64> {
    let slots = f64::from(load.slots);
    if load.in_flight <= slots * QUEUE_FREE_IN_FLIGHT_PER_SLOT {
        return None;
    }
    let service_time = load.service_time.as_secs_f64().max(0.001);
    let target_in_flight =
        (slots * OWNER_SHARE_OF_OBJECTIVE * objective.as_secs_f64() / service_time).max(slots);
    let correction = (target_in_flight - load.in_flight) / CORRECTION_TIME.as_secs_f64();
    Some(slots / service_time + correction)
}
