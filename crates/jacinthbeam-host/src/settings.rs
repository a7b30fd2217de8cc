//! What a process is told at its start.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jacinthbeam_dispatch::{budget, slow_start};
use jacinthbeam_types::prelude::*;

/// Time for an evacuation, unless set.
pub const DEFAULT_EVACUATE: Duration = Duration::from_secs(5);

/// Where this host stands, and the bounds that it works within.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Where it runs.
    pub domain: FailureDomain,
    /// The region of each failure domain; empty if nothing is bound to a region.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Its share of a processor.
    pub processor: Millicores,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this host takes callers.
    pub ready: SocketAddr,
    /// Where other hosts send reports to.
    pub peers: SocketAddr,
    /// Where some other hosts hear reports, for a start while the store can't be read. They may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics and the dump are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Partitions of a topic in the store.
    pub partitions: u32,
    /// Budget of repeats of each service, of all hosts together.
    pub repeats: budget::Options,
    /// Time after which a backend server that is leaving must get no request any more, from its word in the store.
    pub drain_within: Duration,
    /// Time after which no request may reach a backend server of a failure domain that is evacuated, from the operator's word in the
    /// store.
    pub evacuate_within: Duration,
    /// What a cold server may get beyond its rate.
    pub slow_start: slow_start::Bounds,
    /// Time after which a configuration that the operator was told is kept must act.
    pub config_within: Duration,
    /// Time between a request to stop and the forced end of the process.
    pub stop_within: Duration,
}
