//! What traffic threads see of control state: one immutable view, replaced as a whole.

pub mod attended;
pub mod meter;
pub mod route;
pub mod unreachable;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use jacinthbeam_state::State;
use jacinthbeam_types::prelude::*;

pub use attended::Attended;

/// One view of control state. Requests load it anew for each attempt.
#[derive(Debug, Default)]
pub struct Version {
    /// The fold of the control stream, as far as this host has read it.
    pub state: State,
    /// Backend servers that this host attends.
    pub attended: BTreeMap<ServerId, Arc<Attended>>,
    /// Attendants of the cell's other backend servers, as heard in heartbeats.
    pub attendants: BTreeMap<ServerId, SocketAddr>,
    /// Peer addresses of entry hosts by cell, by the witness sets and the platform's list.
    pub cells: Arc<BTreeMap<CellId, Vec<SocketAddr>>>,
    /// Whether the host takes no new requests.
    pub stopping: bool,
}
