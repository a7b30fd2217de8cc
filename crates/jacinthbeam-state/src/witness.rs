//! Witnesses of a cell: the entry hosts whose word lets leases be renewed while the log is out of reach.

use std::net::SocketAddr;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Most witnesses of a cell.
pub const MAX_WITNESSES: usize = 5;

/// One life of an entry host that may vouch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The host.
    pub host: HostId,
    /// The life that is meant; a restarted host is no witness.
    pub incarnation: Incarnation,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
}

/// The witnesses of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// Offset of the record that named them.
    pub epoch: Epoch,
    /// One to [`MAX_WITNESSES`] members.
    pub members: Vec<Witness>,
}

impl WitnessSet {
    /// Words that a renewal without the log needs: `r`, a majority.
    ///
    /// With half of the members, two of four that are lost at once, as with a rack, would block
    /// every eviction in the cell for good. While the log answers, renewals need no words;
    /// evictions always need promises.
    pub fn renewal_quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Promises that an eviction or a change of the set needs: `n - r + 1`, so that they meet every
    /// renewal quorum.
    pub fn eviction_quorum(&self) -> usize {
        self.members.len() - self.renewal_quorum() + 1
    }

    /// Whether this life of a host is a member.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.members.iter().any(|member| member.incarnation == incarnation)
    }
}
