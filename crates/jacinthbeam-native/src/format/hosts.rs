//! The platform's list of live and leaving hosts: `GET /hosts` answers [`HostList`] as JSON. It lags.

use std::net::SocketAddr;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// All hosts the platform knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts that run an entry process.
    pub entry_hosts: Vec<EntryHost>,
    /// Hosts that run a backend server.
    pub backend_servers: Vec<BackendServer>,
}

/// A host that runs an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Name of the host.
    pub id: HostId,
    /// Cell it belongs to.
    pub cell: CellId,
    /// Where it listens for other entry hosts.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// A host that runs a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Name of the backend server.
    pub id: ServerId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Cell it belongs to.
    pub cell: CellId,
    /// Where it listens for requests, grants and probes.
    pub address: SocketAddr,
    /// Whether it is to get no new work.
    pub leaving: bool,
}
