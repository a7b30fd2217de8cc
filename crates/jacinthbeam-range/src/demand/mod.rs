//! The load on keys and owners, from the reports of all hosts, as exponentially decayed counts.

mod rates;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{admission::OwnerLoad, key::Key, map::Map};

pub use rates::Rates;
use rates::{DecayedCount, FAST_DECAY_TIME};

/// What one host has counted since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests for each key. Refused ones are included, since the demand is to be balanced rather than
    /// the throughput.
    pub keys: BTreeMap<Key, u32>,
    /// The same for the seconds before, decayed by [`DECAY_TIME`], for a new leader that has received none
    /// of the reports yet.
    pub earlier: BTreeMap<Key, u32>,
    /// Requests for the keys of each owner by rank, refused ones included.
    pub arrivals: BTreeMap<ServerId, BTreeMap<u32, u32>>,
    /// Counts for each backend server.
    pub servers: BTreeMap<ServerId, ServerReport>,
}

/// What one host has counted for one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Answers received. Failures reported by the server itself are included, since they occupied a slot
    /// too.
    pub answers: u32,
    /// Requests of the host that are in flight at the server at the end of the report.
    pub in_flight: u32,
    /// The rate limit that the server stated in the last of these answers.
    pub rate_limit: Option<Rate>,
    /// Requests that were not sent, since the server had asked the host to pause.
    pub paused: u32,
    /// Whether the server stated that it is draining.
    pub draining: bool,
}

/// Time constant of the decay: a count loses 63 % of its weight in this time. A hot key must be detected
/// within a second or two, and 4 s of an average server's traffic (seven requests a second) are some 28
/// requests, whose counting error is below 20 %.
pub const DECAY_TIME: Duration = Duration::from_secs(4);

/// Counts below this are dropped, so that a key with a single request stays in the table for about 5 times
/// [`DECAY_TIME`].
const MIN_COUNT: f64 = 0.01;

/// Time constant of the decay of an owner's arrivals: about a second, in which a busy owner receives some
/// ten requests. Admission has to follow a burst within a second.
const ARRIVALS_DECAY_TIME: Duration = Duration::from_millis(900);

/// Time after which a host's last count of requests in flight is discarded. Hosts report four times a
/// second.
const IN_FLIGHT_TTL: Duration = Duration::from_millis(1000);

/// Time after which a rate limit is forgotten that no host reports any more. A server without keys sends
/// no answers that would withdraw it.
const RATE_LIMIT_TTL: Duration = Duration::from_secs(15);

/// Number of requests from which pauses count. After a pause with 40 unsent requests it is reached in 15 s,
/// after which the server is tried again.
const MIN_PAUSED: f64 = 1.0;

/// Number of answers from which a mean is used: with a relative standard deviation of a third, the error
/// of the mean of 6 is some 14 %.
const MIN_ANSWERS: f64 = 6.0;

/// Decayed counts of all hosts. A steady rate of `r` a second converges to a count of `r` times the time
/// constant of the decay.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    keys: BTreeMap<Key, DecayedCount>,
    servers: BTreeMap<ServerId, ServerLoad>,
    /// Rate limits that servers state, each with the time of its last report.
    rate_limits: BTreeMap<ServerId, (Instant, Rate)>,
    /// Servers that stated that they are draining. An incarnation that drains takes no work any more.
    draining: BTreeSet<ServerId>,
    /// The time to which the counts have decayed.
    advanced_to: Option<Instant>,
}

/// Decayed counts for one backend server.
#[derive(Debug, Clone, Default)]
struct ServerLoad {
    /// Requests for its keys by rank.
    arrivals: BTreeMap<u32, f64>,
    /// Requests in flight at the server, by each host's last report and its time.
    in_flight: BTreeMap<HostId, (Instant, u32)>,
    answers: f64,
    /// Requests that were not sent during pauses that the server asked for.
    paused: f64,
    /// Time that its slots were busy, in seconds, summed over the slots.
    busy_slot_seconds: f64,
}

impl ServerLoad {
    fn total_in_flight(&self) -> f64 {
        self.in_flight.values().map(|(_, count)| f64::from(*count)).sum()
    }
}

impl Demand {
    /// Adds a host's report.
    pub fn add(&mut self, from: &HostId, now: Instant, report: &LoadReport) {
        for (key, count) in &report.keys {
            let decayed = self.keys.entry(*key).or_default();
            decayed.slow += f64::from(*count);
            decayed.fast += f64::from(*count);
        }
        // The times of these requests are unknown, so a steady rate is assumed.
        for (key, count) in &report.earlier {
            let decayed = self.keys.entry(*key).or_default();
            decayed.slow += f64::from(*count);
            decayed.fast +=
                f64::from(*count) * FAST_DECAY_TIME.as_secs_f64() / DECAY_TIME.as_secs_f64();
        }
        for (server, by_rank) in &report.arrivals {
            let load = self.servers.entry(server.clone()).or_default();
            for (rank, count) in by_rank {
                *load.arrivals.entry(*rank).or_default() += f64::from(*count);
            }
        }
        for (server, counts) in &report.servers {
            let load = self.servers.entry(server.clone()).or_default();
            load.answers += f64::from(counts.answers);
            load.paused += f64::from(counts.paused);
            load.in_flight.insert(from.clone(), (now, counts.in_flight));
            if counts.draining {
                self.draining.insert(server.clone());
            }
            if counts.answers > 0 {
                match counts.rate_limit {
                    Some(rate) => drop(self.rate_limits.insert(server.clone(), (now, rate))),
                    None => drop(self.rate_limits.remove(server)),
                }
            }
        }
    }

    /// Lets the counts decay, and adds up the time that slots were busy, since the last call. `slots` returns
    /// the number of slots of a server.
    pub fn advance(&mut self, now: Instant, slots: impl Fn(&ServerId) -> Option<u32>) {
        let last = self.advanced_to.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        let arrivals_factor = (-elapsed / ARRIVALS_DECAY_TIME.as_secs_f64()).exp();
        let fast_factor = (-elapsed / FAST_DECAY_TIME.as_secs_f64()).exp();
        self.keys.retain(|_, count| {
            count.slow *= factor;
            count.fast *= fast_factor;
            count.slow > MIN_COUNT
        });
        self.draining.retain(|server| slots(server).is_some());
        let is_reported = |at: Instant| now.saturating_duration_since(at) < RATE_LIMIT_TTL;
        self.rate_limits.retain(|_, (at, _)| is_reported(*at));
        self.servers.retain(|server, load| {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < IN_FLIGHT_TTL;
            load.in_flight.retain(|_, (at, _)| is_recent(*at));
            load.arrivals.values_mut().for_each(|count| *count *= arrivals_factor);
            load.arrivals.retain(|_, count| *count > MIN_COUNT);
            let busy_slots = load.total_in_flight().min(f64::from(slots(server).unwrap_or(0)));
            load.busy_slot_seconds = load.busy_slot_seconds * factor + busy_slots * elapsed;
            load.answers *= factor;
            load.paused *= factor;
            load.answers.max(load.paused) > MIN_COUNT
                || !load.in_flight.is_empty()
                || !load.arrivals.is_empty()
        });
    }

    /// The present demand for each key. Changes are detected by the ranges of `map`.
    pub fn rates(&self, map: &Map) -> Rates {
        Rates::of_counts(&self.keys, map)
    }

    /// Mean time that a request occupies a slot of `server`: busy time of its slots divided by its answers.
    ///
    /// Unlike the response time, it doesn't grow with the queue. `None` below six answers.
    pub fn service_time(&self, server: &ServerId) -> Option<Duration> {
        let load = self.servers.get(server).filter(|load| load.answers >= MIN_ANSWERS)?;
        Some(Duration::from_secs_f64(load.busy_slot_seconds / load.answers))
    }

    /// Whether a server states that it is draining.
    pub fn is_draining(&self, server: &ServerId) -> bool {
        self.draining.contains(server)
    }

    /// The rate limit that a server states; `None` if it states none.
    pub fn rate_limit(&self, server: &ServerId) -> Option<Rate> {
        self.rate_limits.get(server).map(|(_, rate)| *rate)
    }

    /// Share of the requests for a server that it lets the hosts send. Below 1 while it asks hosts to pause, and for some seconds after.
    pub fn admitted_share(&self, server: &ServerId) -> f64 {
        let load = self.servers.get(server).filter(|load| load.paused >= MIN_PAUSED);
        load.map_or(1.0, |load| load.answers / (load.answers + load.paused))
    }

    /// The present load of a server with this number of slots and this service time. `None` without recent
    /// reports.
    pub fn load(&self, server: &ServerId, slots: u32, service_time: Duration) -> Option<OwnerLoad> {
        let load = self.servers.get(server)?;
        let rate = |(rank, count): (&u32, &f64)| (*rank, count / ARRIVALS_DECAY_TIME.as_secs_f64());
        let arrival_rates = load.arrivals.iter().map(rate).collect();
        Some(OwnerLoad {
            slots,
            service_time,
            in_flight: load.total_in_flight(),
            arrival_rates,
            rate_limit: self.rate_limit(server),
        })
    }
}
