//! How much work of each rank may be started for one service.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Classes;

/// The load of the hosts of one failure domain on one service, and the capacity of the servers in that domain.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainLoad {
    /// Load by rank.
    pub ranks: BTreeMap<u32, RankLoad>,
    /// Slots of the domain's servers that accept work and are warm.
    pub slots: u32,
    /// Requests of the domain's hosts in flight, counting at most the slots of each server.
    pub busy_slots: u32,
}

/// The load of one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Requests a second from callers, including those that were refused.
    pub arrival_rate: f32,
    /// Requests that wait at hosts for capacity.
    pub waiting: u32,
    /// Requests in flight at servers.
    pub in_flight: u32,
    /// Answers a second.
    pub answer_rate: f32,
    /// Mean time from the send to the answer; zero if unknown.
    pub service_time: Duration,
}

/// What the hosts of a failure domain may start, as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The deferrable ranks. All requests of other ranks may be started.
    pub ranks: BTreeMap<u32, RankPlan>,
    /// Share of the slots that is free, by failure domain.
    pub free: BTreeMap<FailureDomain, f32>,
}

/// What may be started of one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RankPlan {
    /// Requests to start a second, as a fraction of a host's demand: its arrivals a second and its waiting requests together. Also limits
    /// starts if it is 1 or more, since it applies to the demand of the time that the plan was computed from.
    pub share: f32,
    /// Fleet-wide mean time from the send to the answer; zero if unknown.
    pub service_time: Duration,
    /// Requests that wait in the whole fleet.
    pub waiting: u32,
}

/// The load of a backend server from all hosts of a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests in flight.
    pub in_flight: u16,
    /// Latency of its answers in percent of the fleet's mean; 100 if unknown.
    pub slowness_percent: u16,
}

/// Slots that deferrable work leaves free, in square roots of the number that the more urgent requests use. That number varies by about its
/// square root between two plans.
const URGENT_HEADROOM: f64 = 3.0;

/// Smallest share of the slots that it leaves free, for the choice of servers by figures that are half a second old.
const MIN_HEADROOM_SHARE: f64 = 0.05;

/// Time in which the requests in flight of a rank approach their number of slots. Plans are about half a second old when they take effect;
/// a shorter time would make the number oscillate.
const CONVERGENCE_TIME: f64 = 0.8;

/// Smallest start rate as a share of the rate that the slots sustain. Hosts predict waits of seconds by the start rate; a lower one that lasts
/// only while some requests too many are in flight made them refuse requests that would have started in time.
const MIN_OF_SUSTAINED: f64 = 0.8;

/// Smallest share of the arrivals that is served of each rank while there are slots, so that none is starved.
const MIN_SHARE: f64 = 0.25;

/// Bound of the share of a rank with little or no demand.
const MAX_SHARE: f64 = 100.0;

/// Service time of a rank without answers, as a part of its objective.
const ASSUMED_SERVICE_SHARE: f64 = 0.25;

/// Service time from which on a datagram is taken to be invalid. Deadlines are much shorter.
pub(crate) const MAX_SERVICE_TIME: Duration = Duration::from_secs(1_000_000);

/// The service time to plan with: `measured`, or an estimate if it is zero.
pub(crate) fn service_time(measured: Duration, objective: Duration) -> Duration {
    if measured.is_zero() { objective.mul_f64(ASSUMED_SERVICE_SHARE) } else { measured }
}

/// How much work of each deferrable rank may be started, given the loads of all reachable failure domains.
///
/// Without any slot the plan has no ranks, and each host limits its requests by its own counts.
pub fn compute(loads: &BTreeMap<FailureDomain, DomainLoad>, classes: &Classes) -> Plan {
    let free = loads.iter().map(|(domain, load)| (domain.clone(), free_share(load))).collect();
    let slots: f64 = loads.values().map(|load| f64::from(load.slots)).sum();
    if slots == 0.0 {
        return Plan { ranks: BTreeMap::new(), free };
    }
    let sums = sum_ranks(loads);
    let is_urgent = |(rank, _): &(&u32, &Sum)| !classes.is_deferrable(**rank);
    let urgent: f64 = sums.iter().filter(is_urgent).map(|(_, sum)| sum.in_flight).sum();
    let headroom = (URGENT_HEADROOM * urgent.sqrt()).max(MIN_HEADROOM_SHARE * slots);
    let mut available = (slots - headroom - urgent).max(0.0);
    let mut ranks = BTreeMap::new();
    for (rank, class) in classes.iter().filter(|(_, class)| class.deferrable) {
        let sum = sums.get(&rank).copied().unwrap_or_default();
        let measured = sum.service_time();
        let seconds = service_time(measured, class.objective).as_secs_f64().max(0.001);
        let sustained = available / seconds;
        let start_rate = sustained + (available - sum.in_flight) / CONVERGENCE_TIME;
        let start_rate = start_rate.max(sustained * MIN_OF_SUSTAINED);
        let demand = sum.arrival_rate + sum.waiting;
        // Waiting requests count towards the minimum only as they arrive. With their number in it as well, it exceeded the capacity in a long burst.
        let min_share =
            if demand > 0.0 { MIN_SHARE * sum.arrival_rate / demand } else { MIN_SHARE };
        let share = (start_rate / demand.max(1.0)).clamp(min_share, MAX_SHARE);
        let rank_plan =
            RankPlan { share: share as f32, service_time: measured, waiting: sum.waiting as u32 };
        ranks.insert(rank, rank_plan);
        let wanted = (sum.arrival_rate * seconds + sum.waiting).max(sum.in_flight);
        available = (available - wanted).max(0.0);
    }
    Plan { ranks, free }
}

fn free_share(load: &DomainLoad) -> f32 {
    match load.slots {
        0 => 0.0,
        slots => slots.saturating_sub(load.busy_slots) as f32 / slots as f32,
    }
}

/// The load of one rank in all failure domains.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sum {
    arrival_rate: f64,
    waiting: f64,
    in_flight: f64,
    /// Answers a second whose service time is known.
    timed: f64,
    /// Total service time of these answers.
    busy: f64,
}

impl Sum {
    /// Fleet-wide mean time from the send to the answer, weighted by answers; zero if unknown.
    pub(crate) fn service_time(self) -> Duration {
        let mean = if self.timed > 0.0 { self.busy / self.timed } else { 0.0 };
        Duration::try_from_secs_f64(mean).unwrap_or_default()
    }
}

/// The load of each rank in all failure domains.
pub(crate) fn sum_ranks(loads: &BTreeMap<FailureDomain, DomainLoad>) -> BTreeMap<u32, Sum> {
    let mut sums: BTreeMap<u32, Sum> = BTreeMap::new();
    for (rank, load) in loads.values().flat_map(|load| &load.ranks) {
        let sum = sums.entry(*rank).or_default();
        sum.arrival_rate += finite(load.arrival_rate);
        sum.waiting += f64::from(load.waiting);
        sum.in_flight += f64::from(load.in_flight);
        if !load.service_time.is_zero() && load.service_time < MAX_SERVICE_TIME {
            // A rank with answers long ago has a service time and a rate near zero.
            let weight = finite(load.answer_rate).max(0.001);
            sum.timed += weight;
            sum.busy += weight * load.service_time.as_secs_f64();
        }
    }
    sums
}

/// A rate out of a datagram; 0 if it is no valid rate.
fn finite(rate: f32) -> f64 {
    if rate.is_finite() { f64::from(rate.max(0.0)) } else { 0.0 }
}
