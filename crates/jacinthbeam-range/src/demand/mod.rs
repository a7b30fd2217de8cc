//! What hosts report of the load on keys, faded so that the present counts most.

mod rates;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{admission::OwnerLoad, key::Key, map::Map};

pub use rates::Rates;
use rates::{Count, RECENT_DECAY_TIME};

/// One host's counts since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests for each key, those that were refused included: it is demand that is to be spread, not what was served.
    pub keys: BTreeMap<Key, u32>,
    /// The same for the seconds before, faded by [`DECAY_TIME`], for a host that has heard none of it.
    pub earlier: BTreeMap<Key, u32>,
    /// Requests for the keys of each owner by their rank, those that were refused included.
    pub arrivals: BTreeMap<ServerId, BTreeMap<u32, u32>>,
    /// What was seen of each backend server.
    pub servers: BTreeMap<ServerId, ServerReport>,
}

/// Answers of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Answers that came back, failures of the server's own included: they took its time too.
    pub answers: u32,
    /// Requests of the host that are there at the end of the report.
    pub in_flight: u32,
}

/// Time after which a count has lost 63 % of its weight. A hot key has to be seen within a second or two, and 4 s of an
/// ordinary server's traffic (seven requests a second) are some 28 requests, whose counting error is below 20 %.
pub const DECAY_TIME: Duration = Duration::from_secs(4);

/// Counts below this weigh nothing and are dropped, so that the table holds only keys of the last [`DECAY_TIME`] times 5.
const DUST: f64 = 0.01;

/// Time after which a count of arrivals for an owner has lost 63 % of its weight: a second's worth, some ten requests of a busy
/// owner. What is let in has to follow a burst within a second.
const ARRIVALS_DECAY_TIME: Duration = Duration::from_millis(900);

/// What a host said last of the requests that it has at a server counts for this long. Hosts report four times a second.
const IN_FLIGHT_LASTS: Duration = Duration::from_millis(1000);

/// Answers that make a mean worth using: with a spread of a third, the error of a mean of 6 is some 14 %.
const ENOUGH: f64 = 6.0;

/// Faded counts of all hosts. A rate of `r` a second shows as a count of `r` times the time of fading.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    keys: BTreeMap<Key, Count>,
    servers: BTreeMap<ServerId, Seen>,
    faded: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct Seen {
    /// Faded counts by rank.
    arrivals: BTreeMap<u32, f64>,
    /// Requests at the server, as each host last said.
    in_flight: BTreeMap<HostId, (Instant, u32)>,
    answers: f64,
    /// Seconds that its slots were taken, summed over the slots.
    taken_s: f64,
}

impl Seen {
    fn present(&self) -> f64 {
        self.in_flight.values().map(|(_, count)| f64::from(*count)).sum()
    }
}

impl Demand {
    /// Adds a host's report.
    pub fn add(&mut self, from: &HostId, now: Instant, report: &LoadReport) {
        for (key, count) in &report.keys {
            let counted = self.keys.entry(*key).or_default();
            counted.steady += f64::from(*count);
            counted.present += f64::from(*count);
        }
        // Nothing is known of when they came, so they are taken for a steady rate.
        for (key, count) in &report.earlier {
            let counted = self.keys.entry(*key).or_default();
            counted.steady += f64::from(*count);
            counted.present +=
                f64::from(*count) * RECENT_DECAY_TIME.as_secs_f64() / DECAY_TIME.as_secs_f64();
        }
        for (server, by_rank) in &report.arrivals {
            let seen = self.servers.entry(server.clone()).or_default();
            for (rank, count) in by_rank {
                *seen.arrivals.entry(*rank).or_default() += f64::from(*count);
            }
        }
        for (server, work) in &report.servers {
            let seen = self.servers.entry(server.clone()).or_default();
            seen.answers += f64::from(work.answers);
            seen.in_flight.insert(from.clone(), (now, work.in_flight));
        }
    }

    /// Lets counts fade, and adds up how long slots were taken since the last call. `slots` tells how many a server has.
    pub fn advance(&mut self, now: Instant, slots: impl Fn(&ServerId) -> Option<u32>) {
        let last = self.faded.replace(now).unwrap_or(now);
        let by = now.saturating_duration_since(last).as_secs_f64();
        let left = (-by / DECAY_TIME.as_secs_f64()).exp();
        let arrivals_left = (-by / ARRIVALS_DECAY_TIME.as_secs_f64()).exp();
        let present_left = (-by / RECENT_DECAY_TIME.as_secs_f64()).exp();
        self.keys.retain(|_, count| {
            count.steady *= left;
            count.present *= present_left;
            count.steady > DUST
        });
        self.servers.retain(|server, seen| {
            let recent = |at: Instant| now.saturating_duration_since(at) < IN_FLIGHT_LASTS;
            seen.in_flight.retain(|_, (at, _)| recent(*at));
            seen.arrivals.values_mut().for_each(|count| *count *= arrivals_left);
            seen.arrivals.retain(|_, count| *count > DUST);
            let taken = seen.present().min(f64::from(slots(server).unwrap_or(0)));
            seen.taken_s = seen.taken_s * left + taken * by;
            seen.answers *= left;
            seen.answers > DUST || !seen.in_flight.is_empty() || !seen.arrivals.is_empty()
        });
    }

    /// What is asked of each key now.
    pub fn rates(&self, map: &Map) -> Rates {
        Rates::of_counts(&self.keys, map)
    }

    /// Time that one request takes in a slot of `server`: the time that its slots were taken over the answers that it gave.
    ///
    /// Unlike the time that answers take, it doesn't grow with the queue. `None` below six answers.
    pub fn service_time(&self, server: &ServerId) -> Option<Duration> {
        let seen = self.servers.get(server).filter(|seen| seen.answers >= ENOUGH)?;
        Some(Duration::from_secs_f64(seen.taken_s / seen.answers))
    }

    /// What is known of a server now, given its slots and the time that a request takes there.
    pub fn load(&self, server: &ServerId, slots: u32, service_time: Duration) -> Option<OwnerLoad> {
        let seen = self.servers.get(server)?;
        let rate = |(rank, count): (&u32, &f64)| (*rank, count / ARRIVALS_DECAY_TIME.as_secs_f64());
        let arrival_rates = seen.arrivals.iter().map(rate).collect();
        Some(OwnerLoad { slots, service_time, in_flight: seen.present(), arrival_rates })
    }
}
