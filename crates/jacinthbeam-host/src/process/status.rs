//! Summary of the state of a host for operators and their tools: the page `/status`.

use std::{collections::BTreeMap, net::IpAddr, time::Instant};

use jacinthbeam_crash::suspects::Suspect;
use jacinthbeam_range::key::KEY_COUNT;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Settings, connection::accept::Phase, version::View};

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
    }
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
