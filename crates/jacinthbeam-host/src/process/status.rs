//! What a host knows, in short, for operators and their programs: the page `/status`.

use std::collections::BTreeMap;

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
    /// The services of the configuration.
    pub services: BTreeMap<ServiceName, Service>,
}

/// One service as a host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its team, if the configuration names one.
    pub team: Option<TeamName>,
    /// Backend servers that take new work.
    pub servers: usize,
    /// Who owns its keys, if they have owners and a map is known.
    pub keys: Option<Keys>,
}

/// The owners of a service's keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
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
pub(super) fn of(settings: &Settings, view: &View, phase: Phase) -> Status {
    let cfg = view.config.as_deref();
    let services = cfg.into_iter().flat_map(|cfg| &cfg.services);
    let services = services.map(|(name, service)| {
        let keys = view.maps.get(name).map(|map| Keys {
            epoch: map.epoch,
            version: map.version,
            leader: map.leader.as_ref().map(|leader| leader.host.clone()),
            ranges: map.held().len(),
            unowned: map.unowned_keys(),
        });
        let servers = view.servers.of(name).count();
        (name.clone(), Service { team: service.team.clone(), servers, keys })
    });
    Status {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        stopping: phase > Phase::Serving,
        config: cfg.map(|cfg| cfg.version),
        hosts: view.hosts,
        services: services.collect(),
    }
}
