//! What this host has received from the collectors about the load of services.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_admission::plan::{Plan, ServerLoad};
use jacinthbeam_types::prelude::*;

/// The load of each service that is exchanged between hosts. Published by the control thread for the traffic thread.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLoads {
    /// The load by service.
    pub services: BTreeMap<ServiceName, ServiceLoad>,
}

/// The load of one service as known to this host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLoad {
    /// Addresses of the hosts that collect the reports of this host, the preferred one first.
    pub collectors: Vec<SocketAddr>,
    /// The plan to follow, and when it arrived; `None` before the first, and if there is none that is recent.
    pub plan: Option<(Instant, Plan)>,
    /// Load of the servers of this host's failure domain, and when it arrived.
    pub servers: BTreeMap<ServerId, (Instant, ServerLoad)>,
    /// Fleet-wide mean time from the send to the answer, by rank, also of ranks that are not deferrable.
    pub service_times: BTreeMap<u32, Duration>,
}
