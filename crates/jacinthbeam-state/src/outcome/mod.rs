//! What a record changed, or why it is void, for operators and for what the host keeps itself.

mod text;

use std::fmt;

use jacinthbeam_types::prelude::*;

use crate::How;

/// What became of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The record took effect, if only for some of its slots.
    Applied {
        /// What changed, in order.
        changes: Vec<Change>,
        /// Slots that the record named and did not change.
        void: Vec<SlotVoid>,
    },
    /// The record changed nothing.
    Void(Why),
}

impl Outcome {
    pub(crate) fn one(change: Change) -> Self {
        Self::Applied { changes: vec![change], void: Vec::new() }
    }

    /// Whether the record changed anything.
    pub fn is_applied(&self) -> bool {
        matches!(self, Self::Applied { .. })
    }

    /// What changed; empty if the record is void.
    pub fn changes(&self) -> &[Change] {
        match self {
            Self::Applied { changes, .. } => changes,
            Self::Void(_) => &[],
        }
    }
}

/// One change of the state.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration is in force.
    Config(ConfigVersion),
    /// A service is no longer divided by the configuration, but servers still own its slots.
    Retired {
        /// The service.
        service: ServiceName,
        /// Slots that wait for their release.
        owned: usize,
    },
    /// The configuration divides a retired service again as before; owners stay.
    Restored {
        /// The service.
        service: ServiceName,
    },
    /// No slot of a retired service is owned any more; its division is forgotten.
    Dropped {
        /// The service.
        service: ServiceName,
    },
    /// A service got its division.
    Founded {
        /// The service.
        service: ServiceName,
        /// Number of slots.
        slots: u32,
        /// Number of slots with an owner.
        owned: usize,
        /// Number of servers that own slots.
        servers: usize,
    },
    /// A backend server joined; the slots that it owned before, if any, have a new epoch.
    Joined {
        /// The backend server.
        server: ServerId,
        /// Service that it serves.
        service: ServiceName,
        /// Cell that attends it.
        cell: CellId,
        /// Its life.
        incarnation: Incarnation,
        /// Slots that it keeps.
        slots: Vec<SlotId>,
    },
    /// Slots got another owner, none, or a new epoch.
    Slots {
        /// The service.
        service: ServiceName,
        /// The slots.
        slots: Vec<SlotId>,
        /// Owner before.
        from: Option<ServerId>,
        /// Owner now.
        to: Option<ServerId>,
        /// Why.
        how: How,
    },
    /// A backend server may own nothing until it joins again.
    Evicted {
        /// The backend server.
        server: ServerId,
    },
    /// A backend server has a new epoch and keeps its slots.
    Kept {
        /// The backend server.
        server: ServerId,
    },
    /// A backend server is forgotten.
    Left {
        /// The backend server.
        server: ServerId,
    },
    /// A key has a slot of its own.
    Split {
        /// The service.
        service: ServiceName,
        /// The key.
        key: KeyHash,
        /// Its own slot.
        slot: SlotId,
        /// Owner before and after.
        server: ServerId,
    },
    /// A key is back in its slot.
    Merged {
        /// The service.
        service: ServiceName,
        /// The key.
        key: KeyHash,
        /// The slot that holds it again.
        slot: SlotId,
        /// Owner before and after.
        server: ServerId,
    },
    /// A cell has new witnesses.
    Witnesses {
        /// The cell.
        cell: CellId,
        /// Their hosts.
        hosts: Vec<HostId>,
    },
    /// A part of a snapshot. A reader that has state has no need of it.
    SnapshotPart {
        /// First record that the snapshot does not contain.
        upto: Offset,
        /// Number of the part, from 0.
        part: u32,
        /// Number of parts.
        of: u32,
    },
}

/// A slot that a record named and did not change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotVoid {
    /// The slot.
    pub slot: SlotId,
    /// Why.
    pub why: Why,
}

/// Why a record, or its part about one slot, is void.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Why {
    /// The bytes are no record.
    Garbage(String),
    /// Files of the configuration have changed since the author read them.
    ConfigConflict(Vec<String>),
    /// The configuration would be invalid.
    ConfigInvalid(Vec<String>),
    /// No such service is configured.
    UnknownService(ServiceName),
    /// The service is not divided by key, or not yet.
    NotDivided(ServiceName),
    /// The record divides the service into another number of slots than configured.
    SlotCount {
        /// In the configuration.
        configured: u32,
        /// In the record.
        record: u32,
    },
    /// The record's list of owners does not fit its servers or its slots.
    BadOwners(String),
    /// Slots of the division before still have owners.
    StillOwned {
        /// The service.
        service: ServiceName,
        /// How many slots.
        owned: usize,
    },
    /// No backend server of that name has joined.
    UnknownServer(ServerId),
    /// The backend server was evicted and has not joined again.
    NotActive(ServerId),
    /// The backend server has joined with other properties than the record says.
    OtherServer(ServerId),
    /// The backend server serves another service.
    OtherService(ServerId, ServiceName),
    /// The backend server has joined in this life already.
    AlreadyJoined(ServerId),
    /// The backend server still owns slots.
    OwnsSlots(ServerId, usize),
    /// The epoch that the record is based on is no longer the present one.
    Stale {
        /// What has the epoch.
        of: Subject,
        /// Epoch in the record.
        base: Option<Epoch>,
        /// Present epoch.
        present: Option<Epoch>,
    },
    /// Too few witnesses promised.
    TooFewPromises {
        /// Promises of members of the present set, with members declared lost.
        promised: usize,
        /// How many are needed.
        needed: usize,
    },
    /// The list of witnesses can't be a set.
    BadWitnesses(String),
    /// There is no such slot.
    UnknownSlot(SlotId),
    /// The slot has another owner, or none.
    NotOwner(Option<ServerId>),
    /// The slot is to move to the server that owns it.
    SameOwner(ServerId),
    /// The next owner is not an active server of the service, so the slot has no owner.
    BadTarget(ServerId),
    /// The key has a slot of its own already.
    AlreadySplit(KeyHash),
    /// The key has no slot of its own.
    NotSplit(KeyHash),
    /// The id for the slot of a split key is not the next one.
    SplitId {
        /// In the record.
        record: SlotId,
        /// The next one.
        next: SlotId,
    },
    /// The service has as many split keys as it may have.
    TooManySplit(usize),
    /// The key's own slot and the slot that it returns to have different owners.
    OwnersDiffer(Option<ServerId>, Option<ServerId>),
    /// It is void for each of its slots.
    AllSlots(Vec<SlotVoid>),
    /// The record changes nothing.
    Nothing,
}

/// What has an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A slot.
    Slot(SlotId),
    /// A backend server.
    Server(ServerId),
    /// The witnesses of a cell.
    Witnesses(CellId),
    /// The division of a service.
    Division(ServiceName),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slot(slot) => write!(f, "slot {slot}"),
            Self::Server(server) => write!(f, "backend server {server}"),
            Self::Witnesses(cell) => write!(f, "the witnesses of cell {cell}"),
            Self::Division(service) => write!(f, "the division of service {service}"),
        }
    }
}
