//! How much work of each rank may be started for one service.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Classes, fleet};

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
    /// Requests to start a second, as a fraction of a host's demand: its arrivals a second and its waiting requests together. From 1 on,
    /// nothing needs to wait.
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

/// What the fleet may start, given the load of its failure domains. Nothing is held back yet.
pub fn compute(loads: &BTreeMap<FailureDomain, DomainLoad>, classes: &Classes) -> Plan {
    let service_times = fleet::service_times(loads);
    let ranks = classes.iter().filter(|(_, class)| class.deferrable).map(|(rank, _)| {
        let waiting = loads.values().filter_map(|load| load.ranks.get(&rank));
        let service_time = service_times.get(&rank).copied().unwrap_or_default();
        (
            rank,
            RankPlan { share: 1.0, service_time, waiting: waiting.map(|rank| rank.waiting).sum() },
        )
    });
    let free = loads.iter().filter(|(_, load)| load.slots > 0).map(|(domain, load)| {
        (domain.clone(), load.slots.saturating_sub(load.busy_slots) as f32 / load.slots as f32)
    });
    Plan { ranks: ranks.collect(), free: free.collect() }
}
