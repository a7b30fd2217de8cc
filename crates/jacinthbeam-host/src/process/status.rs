//! What a host knows, in short, for operators and their programs: the page `/status`.

use std::{collections::BTreeMap, net::IpAddr, time::Instant};

use jacinthbeam_crash::suspects::Suspect;
use jacinthbeam_range::key::KEY_COUNT;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Settings, connection::accept::Phase, version::View};

/// One host at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: HostId,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The configuration in force there; `None` before the first.
    pub config: Option<ConfigVersion>,
    /// Hosts that it knows of, itself included.
    pub hosts: u32,
    /// Failure domains that are evacuated.
    #[serde(default)]
    pub evacuated: Vec<FailureDomain>,
    /// The services of the configuration.
    pub services: BTreeMap<ServiceName, Service>,
    /// Requests under which servers have ended, by their fingerprints.
    #[serde(default)]
    pub crashes: BTreeMap<String, Crashes>,
}

/// Servers that have ended under one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Whether it is sent to no server any more.
    pub refused: bool,
    /// Its callers.
    pub callers: Vec<IpAddr>,
    /// The servers.
    pub servers: Vec<ServerId>,
    /// Milliseconds since the first of them ended.
    pub first_ms_ago: u64,
    /// Milliseconds since the last of them ended.
    pub last_ms_ago: u64,
}

impl Crashes {
    fn of(suspect: &Suspect, now: Instant) -> Self {
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

/// One service as a host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its team, if the configuration names one.
    pub team: Option<TeamName>,
    /// Backend servers that take new work.
    pub servers: usize,
    /// Who owns its keys.
    pub keys: Keys,
}

impl Service {
    /// Keys, of 65,536, that this host knows no owner of, and so can't send requests for.
    pub fn unowned(&self) -> u32 {
        match &self.keys {
            Keys::Shared => 0,
            Keys::Unknown => KEY_COUNT,
            Keys::Owned(owners) => owners.unowned,
        }
    }
}

/// Who owns the keys of a service, as far as a host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// Keys have no owners: any backend server takes any request.
    Shared,
    /// Keys have owners, but no record of them was read yet.
    Unknown,
    /// The record of owners that is in force here.
    Owned(Owners),
}

/// A record of the owners of a service's keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// Rises with each change of the granting host.
    pub epoch: Epoch,
    /// Counts the records of the epoch.
    pub version: u32,
    /// The granting host.
    pub leader: Option<HostId>,
    /// Ranges that the keys are divided into.
    pub ranges: usize,
    /// Keys, of 65,536, that nobody owns.
    pub unowned: u32,
}

/// What a host with this view knows.
pub(super) fn of(settings: &Settings, view: &View, phase: Phase, now: Instant) -> Status {
    let crashes = view.suspects.iter();
    let crashes =
        crashes.map(|(request, suspect)| (request.to_string(), Crashes::of(suspect, now)));
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

/// Each service of the configuration that a host with this view has.
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
