//! The records of the control stream.

pub mod codec;

use std::fmt;

use jacinthbeam_config::change::Change;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Names one append of one process life, so that an append whose answer was lost is found again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    /// The process that appended it.
    pub incarnation: Incarnation,
    /// Counts up within that process.
    pub sequence: u64,
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// A record as it stands in the stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who appended it.
    pub id: RecordId,
    /// Why it was appended, for operators. No decision depends on it.
    pub why: String,
    /// What it says.
    pub record: Record,
}

/// What a record says. Each names the epochs it is based on and is void if one of them is stale.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Changes configuration files.
    Config(Change),
    /// Divides a keyed service for the first time, or anew once no slot of the old division is owned.
    Found {
        /// The service, keyed in the configuration in force.
        service: ServiceName,
        /// Epoch of the division that is replaced; `None` if there is none.
        base: Option<Epoch>,
        /// Number of slots, as configured.
        slots: u32,
        /// Servers that own slots. They join with this record if they have not joined before.
        servers: Vec<JoinServer>,
        /// Owners of the slots from 0 upward. Slots beyond the last run get no owner.
        owners: Vec<OwnerRun>,
    },
    /// A backend server joins, returns after an eviction, or has restarted.
    Join {
        /// The backend server.
        server: ServerId,
        /// Service that it serves.
        service: ServiceName,
        /// Cell that attends it.
        cell: CellId,
        /// Its present life.
        incarnation: Incarnation,
        /// Its epoch so far; `None` if it is not known.
        base: Option<Epoch>,
    },
    /// Hands slots over. The losing server's grant no longer holds them.
    Move {
        /// Service of the slots.
        service: ServiceName,
        /// The slots, each based on its own epoch; a stale one is void by itself.
        slots: Vec<SlotBase>,
        /// Present owner.
        from: ServerId,
        /// Next owner.
        to: ServerId,
    },
    /// Gives slots up without a next owner. The losing server's grant no longer holds them.
    Release {
        /// Service of the slots.
        service: ServiceName,
        /// The slots, each based on its own epoch; a stale one is void by itself.
        slots: Vec<SlotBase>,
        /// Present owner.
        from: ServerId,
    },
    /// Gives slots to the server that owns them already, by a new epoch, or places slots that nobody owns.
    Reassign {
        /// Service of the slots.
        service: ServiceName,
        /// Present owner, or next owner of slots without one.
        server: ServerId,
        /// The slots, each based on its own epoch; a stale one is void by itself.
        slots: Vec<SlotBase>,
    },
    /// Takes all slots from a backend server that does not answer.
    Evict {
        /// The silent backend server.
        server: ServerId,
        /// Its epoch.
        server_epoch: Epoch,
        /// Epoch of its cell's witnesses; `None` if the cell has none.
        witness_epoch: Option<Epoch>,
        /// Witnesses that promised silence for it under these two epochs.
        promised: Vec<Incarnation>,
        /// Next owners. A slot that is not named here, or whose next owner is not active, gets none.
        to: Vec<SlotTarget>,
    },
    /// The backend server answers again: evictions based on its old epoch are void, promises end.
    Keep {
        /// The backend server.
        server: ServerId,
        /// Its epoch.
        server_epoch: Epoch,
    },
    /// The backend server is gone for good and owns nothing.
    Leave {
        /// The backend server.
        server: ServerId,
        /// Its epoch.
        server_epoch: Epoch,
    },
    /// Gives a hot key a slot of its own. It stays with the owner of its slot; a `Move` may follow.
    Split {
        /// Service of the key.
        service: ServiceName,
        /// The key.
        key: KeyHash,
        /// Id of the new slot: [`Division::next_split`](crate::Division::next_split).
        slot: SlotId,
        /// Epoch of the slot that holds the key so far.
        base: Epoch,
    },
    /// Puts a split key back into its slot. Both must have the same owner.
    Merge {
        /// Service of the key.
        service: ServiceName,
        /// The key.
        key: KeyHash,
        /// Epoch of the key's own slot.
        base: Epoch,
        /// Epoch of the slot that it returns to.
        parent_base: Epoch,
    },
    /// Names the witnesses of a cell.
    Witnesses {
        /// The cell.
        cell: CellId,
        /// Epoch of the set that is replaced; `None` if the cell has none.
        base: Option<Epoch>,
        /// The new set: one to [`MAX_WITNESSES`](crate::witness::MAX_WITNESSES) members.
        members: Vec<crate::Witness>,
        /// Members of the old set that promised to vouch no more under its epoch.
        retired: Vec<Incarnation>,
    },
    /// Part of a copy of the state, so that older records may expire.
    Snapshot(SnapshotPart),
}

/// A backend server as it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinServer {
    /// The backend server.
    pub server: ServerId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Cell that attends it.
    pub cell: CellId,
}

/// Adjacent slots with one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRun {
    /// Index into the list of servers of the record.
    pub server: u32,
    /// How many slots.
    pub slots: u32,
}

/// A slot and the epoch that a record is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotBase {
    /// The slot.
    pub slot: SlotId,
    /// Its epoch as the author of the record knew it.
    pub epoch: Epoch,
}

/// A slot and its next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTarget {
    /// The slot.
    pub slot: SlotId,
    /// Its next owner.
    pub to: ServerId,
}

/// Part of a snapshot; see [`crate::snapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// First record that the snapshot does not contain.
    pub upto: Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub of: u32,
    /// Checksum of the whole encoded state.
    pub checksum: u64,
    /// This part of the encoded state.
    pub bytes: Vec<u8>,
}
