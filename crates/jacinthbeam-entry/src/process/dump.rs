//! State of the process as operators see it. Names are stable; a change is noted in the changelog.

use std::{collections::BTreeMap, net::SocketAddr};

use jacinthbeam_peer::client::PeerDump;
use jacinthbeam_types::prelude::*;
use serde::Serialize;

use super::Identity;
use crate::version::attended;

/// State of an entry host.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// Who it is.
    pub host: Identity,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Configuration in force.
    pub config_version: Option<ConfigVersion>,
    /// Next record of the control stream that it has not read.
    pub log_next: Offset,
    /// Milliseconds since the start of the last read that reached the end of the stream.
    pub log_read_age_ms: Option<u64>,
    /// Host through which the stream is read at present; absent if it is read from the log itself.
    pub log_via: Option<HostId>,
    /// Reads of the stream since the start.
    pub log_reads: LogReads,
    /// Services and how many of their slots have an owner.
    pub services: BTreeMap<ServiceName, Service>,
    /// Live entry hosts of the cell.
    pub members: Vec<Member>,
    /// Connections to other entry hosts.
    pub peers: Peers,
    /// Witnesses of the cell.
    pub witnesses: Vec<String>,
    /// Servers for which this host has promised silence.
    pub promises: BTreeMap<ServerId, Epoch>,
    /// Backend servers of the cell.
    pub backend_servers: BTreeMap<ServerId, BackendServer>,
    /// Remembered requests with an idempotency key.
    pub remembered: usize,
    /// Bytes that they take.
    pub remembered_bytes: Bytes,
    /// Requests counted that are not known to stand in the log.
    pub usage_at_risk: u64,
}

/// Reads of the control stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LogReads {
    /// From the log itself.
    pub direct: u64,
    /// Through another host.
    pub relayed: u64,
    /// Times that another host failed, and the log itself was read at once.
    pub fallbacks: u64,
    /// Reads of other hosts that this one answered.
    pub relayed_for_others: u64,
}

/// A configured service.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Team that is charged.
    pub team: TeamName,
    /// Number of slots; absent for an undivided service.
    pub slots: Option<usize>,
    /// Slots with an owner.
    pub owned: Option<usize>,
    /// Active backend servers.
    pub servers: usize,
}

/// Another entry host of the cell.
#[derive(Debug, Clone, Serialize)]
pub struct Member {
    /// Its name.
    pub host: HostId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Milliseconds since its last heartbeat.
    pub age_ms: Option<u64>,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Configuration in force there.
    pub config_version: Option<ConfigVersion>,
    /// Next record of the control stream that it has not read.
    pub log_next: Option<Offset>,
}

/// A backend server of the cell.
#[derive(Debug, Clone, Serialize)]
pub struct BackendServer {
    /// Service that it serves.
    pub service: ServiceName,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
    /// Slots that it owns.
    pub owns: usize,
    /// Slots whose memory of idempotency keys is gathered here and copied to the successor.
    pub slots_remembered: usize,
    /// What this host does about it.
    pub attendant: String,
    /// Its admission, if this host attends it.
    pub admission: Option<attended::Snapshot>,
    /// Connections to it, if this host attends it.
    pub connections: Option<Connections>,
}

/// Connections to a backend server.
#[derive(Debug, Clone, Serialize)]
pub struct Connections {
    /// Most that may be open.
    pub limit: u32,
    /// Open or being opened.
    pub open: u32,
    /// Open and not in use.
    pub idle: u32,
    /// Closed because one went silent, since this host attends the server.
    pub suspected: u64,
}

/// Connections to other entry hosts.
#[derive(Debug, Clone, Serialize)]
pub struct Peers {
    /// Of the control thread.
    pub control: Vec<Peer>,
    /// Of the traffic threads.
    pub traffic: Vec<Peer>,
}

/// One connection to another entry host.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether new requests use this connection.
    pub current: bool,
    /// Requests and questions in progress.
    pub streams: usize,
    /// Bytes read since the connection was opened.
    pub bytes_read: u64,
    /// Bytes written since the connection was opened.
    pub bytes_written: u64,
}

impl From<PeerDump> for Peer {
    fn from(peer: PeerDump) -> Self {
        let PeerDump { addr, current, streams, bytes_read, bytes_written } = peer;
        Self { address: addr, current, streams, bytes_read, bytes_written }
    }
}
