//! Summary of the state of a host for operators and their tools: the page `/status`.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Instant,
};

use jacinthbeam_crash::suspects::Suspect;
use jacinthbeam_range::key::KEY_COUNT;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Settings,
    connection::accept::Phase,
    process::{
        load_counts::LoadCounts,
        service_loads::{ServiceLoad, ServiceLoads},
    },
    version::View,
};

/// State of a host at one point in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Whether the host is shutting down.
    pub stopping: bool,
    /// Version of the configuration in force on the host; `None` before it has received one.
    pub config: Option<ConfigVersion>,
    /// Number of hosts that it knows of, including itself.
    pub hosts: u32,
    /// Failure domains that are evacuated.
    #[serde(default)]
    pub evacuated: Vec<FailureDomain>,
    /// The services of the configuration.
    pub services: BTreeMap<ServiceName, Service>,
    /// Requests under which servers have crashed, by fingerprint.
    #[serde(default)]
    pub crashes: BTreeMap<String, Crashes>,
    /// The services whose load is exchanged between hosts.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub load: BTreeMap<ServiceName, Load>,
}

/// Load of a service as known to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Addresses of the hosts that collect the reports of this host, the preferred one first.
    pub collectors: Vec<SocketAddr>,
    /// Milliseconds since the plan that is followed arrived; `None` without a plan.
    pub plan_age_ms: Option<u64>,
    /// The load by rank, 0 being the most urgent.
    pub ranks: BTreeMap<u32, RankLoad>,
}

/// Load of one rank of a service as known to a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Percentage of the host's demand that may be started; `None` for a rank that is not deferrable, or without a plan.
    pub share_percent: Option<u32>,
    /// Requests that wait at this host.
    pub waiting_here: u32,
    /// Requests that wait in the fleet; `None` if unknown.
    pub waiting_in_fleet: Option<u32>,
    /// Requests of this host in flight at servers.
    pub in_flight: u32,
    /// Requests from callers of this host, per second.
    pub arrivals_per_second: u32,
}

/// Servers that have crashed under one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Whether the request is quarantined, that is, no longer sent to any server.
    pub refused: bool,
    /// Callers that sent it.
    pub callers: Vec<IpAddr>,
    /// Servers that crashed.
    pub servers: Vec<ServerId>,
    /// Milliseconds since the first crash.
    pub first_ms_ago: u64,
    /// Milliseconds since the last crash.
    pub last_ms_ago: u64,
}

impl Crashes {
    fn from_suspect(suspect: &Suspect, now: Instant) -> Self {
        let ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        Self {
            refused: suspect.is_quarantined(),
            callers: suspect.callers.iter().copied().collect(),
            servers: suspect.servers.iter().cloned().collect(),
            first_ms_ago: ago(suspect.first_crash),
            last_ms_ago: ago(suspect.last_crash),
        }
    }
}

/// State of a service on a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The team that is charged for it, if the configuration names one.
    pub team: Option<TeamName>,
    /// Number of backend servers that accept new requests.
    pub servers: usize,
    /// Ownership of its keys.
    pub keys: Keys,
}

impl Service {
    /// Number of keys, of 65,536, without an owner known to this host, which therefore can't send requests for them.
    pub fn unowned(&self) -> u32 {
        match &self.keys {
            Keys::Shared => 0,
            Keys::Unknown => KEY_COUNT,
            Keys::Owned(owners) => owners.unowned,
        }
    }
}

/// Ownership of the keys of a service, as far as a host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// Keys have no owners: any backend server accepts any request.
    Shared,
    /// Keys have owners, but the host has not received an ownership map yet.
    Unknown,
    /// The ownership map in force on the host.
    Owned(Owners),
}

/// Summary of an ownership map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// Epoch of the map; increases with each change of the granting host.
    pub epoch: Epoch,
    /// Version of the map within the epoch.
    pub version: u32,
    /// The granting host.
    pub leader: Option<HostId>,
    /// Number of ranges that the keys are divided into.
    pub ranges: usize,
    /// Number of keys, of 65,536, without an owner.
    pub unowned: u32,
}

/// Status of a host with this view.
pub(super) fn of(settings: &Settings, view: &View, phase: Phase, now: Instant) -> Status {
    let crashes = view.suspects.iter();
    let crashes = crashes
        .map(|(request, suspect)| (request.to_string(), Crashes::from_suspect(suspect, now)));
    Status {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        stopping: phase > Phase::Serving,
        config: view.config.as_deref().map(|cfg| cfg.version),
        hosts: view.hosts,
        evacuated: view.evacuated.keys().cloned().collect(),
        services: services(view),
        crashes: crashes.collect(),
        load: BTreeMap::new(),
    }
}

/// Load of each service whose load is exchanged.
pub fn loads(
    loads: &ServiceLoads,
    counts: &LoadCounts,
    now: Instant,
) -> BTreeMap<ServiceName, Load> {
    let load = |(service, load): (&ServiceName, &ServiceLoad)| {
        let mut ranks: BTreeMap<u32, RankLoad> = BTreeMap::new();
        for (rank, here) in counts.ranks(service) {
            let row = ranks.entry(rank).or_default();
            row.waiting_here = here.waiting;
            row.in_flight = here.in_flight;
            row.arrivals_per_second = here.arrival_rate.round() as u32;
        }
        for (rank, plan) in load.plan.iter().flat_map(|(_, plan)| &plan.ranks) {
            let row = ranks.entry(*rank).or_default();
            row.share_percent = Some((plan.share * 100.0).round() as u32);
            row.waiting_in_fleet = Some(plan.waiting);
        }
        let age = load.plan.as_ref().map(|(at, _)| now.saturating_duration_since(*at));
        let plan_age_ms = age.map(|age| age.as_millis() as u64);
        (service.clone(), Load { collectors: load.collectors.clone(), plan_age_ms, ranks })
    };
    loads.services.iter().map(load).collect()
}

/// State of each service in the configuration of the view.
pub fn services(view: &View) -> BTreeMap<ServiceName, Service> {
    let services = view.config.iter().flat_map(|cfg| &cfg.services);
    let services = services.map(|(name, service)| {
        let servers = view.servers.of(name).count();
        let keys = if service.keyed { keys(view, name) } else { Keys::Shared };
        (name.clone(), Service { team: service.team.clone(), servers, keys })
    });
    services.collect()
}

fn keys(view: &View, service: &ServiceName) -> Keys {
    let Some(map) = view.maps.get(service) else { return Keys::Unknown };
    Keys::Owned(Owners {
        epoch: map.epoch,
        version: map.version,
        leader: map.leader.as_ref().map(|leader| leader.host.clone()),
        ranges: map.assignments().len(),
        unowned: map.unowned_keys(),
    })
}
