//! Settings of a host process.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jacinthbeam_dispatch::{budget, slow_start};
use jacinthbeam_types::prelude::*;

/// Default of [`Settings::evacuate_within`].
pub const DEFAULT_EVACUATE: Duration = Duration::from_secs(5);

/// Identity, addresses and limits of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Whether all hosts start for the first time, so that none is listed in the store yet.
    pub first_start: bool,
    /// Failure domain that it runs in.
    pub domain: FailureDomain,
    /// Region of each failure domain; empty if no route is restricted to regions.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// CPU quota of the host.
    pub processor: Millicores,
    /// Memory limit of the process.
    pub memory: Bytes,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// Address for datagrams and update requests of other hosts.
    pub peers: SocketAddr,
    /// Such addresses of some other hosts, for a start while the store is unavailable. They may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the operators' port: metrics, status, dump, and letting quarantined requests through.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Largest record that the store accepts.
    pub record_bytes: Bytes,
    /// Number of partitions of a topic in the store.
    pub partitions: u32,
    /// Retry budget of each service, for all hosts together.
    pub repeats: budget::Options,
    /// Time after which a draining backend server must get no more requests, from its record in the store.
    pub drain_within: Duration,
    /// Time after which no request may reach a backend server of an evacuated failure domain, from the operator's record in the
    /// store.
    pub evacuate_within: Duration,
    /// By how much the rate limit of a cold server may be exceeded.
    pub slow_start: slow_start::Bounds,
    /// Time after which a configuration must be in effect, from the acknowledgement of its publication.
    pub config_within: Duration,
    /// Time between a request to stop and the forced end of the process.
    pub stop_within: Duration,
}
