//! Whether a backend server that does not answer one host answers another.

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// See [`Question::Probe`](super::Question::Probe).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The backend server that does not answer.
    pub server: ServerId,
    /// Its epoch in the fold of the host that asks.
    pub server_epoch: Epoch,
    /// Epoch of the cell's witnesses in the fold of the host that asks.
    pub witness_epoch: Epoch,
}

/// See [`Question::Probe`](super::Question::Probe).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probed {
    /// The backend server answered this host.
    Reached,
    /// It did not answer, and this host promised to be silent for it.
    Promised,
    /// It did not answer; this host is no witness under these epochs and promised nothing.
    NotReached,
}
