//! How the keys of a service are divided into slots, and who owns each.

mod image;
mod table;

use std::{collections::BTreeMap, fmt, sync::Arc};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::chunked::Chunked;
pub(crate) use image::DivisionImage;
use table::Entry;

/// Most slots of a division. A table entry takes 16 bytes.
pub const MAX_SLOTS: u32 = 1 << 22;
/// Most keys of a service that have slots of their own at one time.
pub const MAX_SPLIT: usize = 4096;
/// Slots per shared chunk of the owner table.
const CHUNK: usize = 1024;
/// Owners per shared chunk of the list of their names.
const NAMES: usize = 256;

/// By which kind of record a slot got its present owner, or lost its last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// By the division of the service.
    Founded,
    /// By a planned move.
    Moved,
    /// By the eviction of the owner before.
    Evicted,
    /// By a new epoch for the same owner.
    Reassigned,
    /// Nobody owned it, and it was placed.
    Placed,
    /// The owner restarted.
    Joined,
    /// A key was split from it or merged into it, or it is the key's own slot.
    Split,
    /// The owner gave it up.
    Released,
}

impl fmt::Display for How {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Founded => "founded",
            Self::Moved => "moved",
            Self::Evicted => "evicted",
            Self::Reassigned => "reassigned",
            Self::Placed => "placed",
            Self::Joined => "joined",
            Self::Split => "split",
            Self::Released => "released",
        })
    }
}

/// Owner of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The backend server.
    pub server: ServerId,
    /// Epoch of the slot; a record about the slot is based on it.
    pub epoch: Epoch,
    /// Offset of the last record that changed the slot.
    pub since: Offset,
    /// What that record did.
    pub how: How,
    /// Last record that took the slot from a server without its release, if there was one.
    ///
    /// An earlier owner's lease may still run. Nobody grants the slot before lease and margin have
    /// passed since this host read that record. A move passes it on: else a slot that moves on
    /// right after an eviction would be granted at once, while the evicted server still serves it.
    pub lapse: Option<Offset>,
}

/// Present state of a slot, with or without an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// The owner, if there is one.
    pub server: Option<ServerId>,
    /// Epoch of the slot; a record about the slot is based on it.
    pub epoch: Epoch,
    /// Offset of the last record that changed the slot.
    pub since: Offset,
    /// What that record did.
    pub how: How,
    /// See [`Owner::lapse`].
    pub lapse: Option<Offset>,
}

/// A server in the owner table.
pub(crate) struct Seated<'a> {
    pub(crate) seat: u32,
    pub(crate) server: &'a ServerId,
    pub(crate) slots: Vec<SlotId>,
}

/// The slots of a service and their owners. A clone shares the table.
#[derive(Debug, Clone, PartialEq)]
pub struct Division {
    slots: u32,
    epoch: Epoch,
    table: Chunked<Entry, CHUNK>,
    names: Chunked<Option<ServerId>, NAMES>,
    free: Vec<u32>,
    split: Arc<BTreeMap<KeyHash, SlotId>>,
    own: Arc<BTreeMap<SlotId, Entry>>,
    next_split: u32,
    owned: u32,
}

impl Division {
    /// Number of slots, without those of split keys.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Offset of the record that divided the service.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Split keys and their own slots.
    pub fn split(&self) -> &BTreeMap<KeyHash, SlotId> {
        &self.split
    }

    /// Id of the next slot that is split out. Ids are not used again within a division.
    pub fn next_split(&self) -> SlotId {
        SlotId(self.next_split)
    }

    /// The slot that holds a key.
    pub fn slot_of(&self, key: KeyHash) -> SlotId {
        key.slot(self.slots, &self.split)
    }

    /// The slot that holds a key while it is not split out.
    pub fn parent_of(&self, key: KeyHash) -> SlotId {
        key.slot(self.slots, &BTreeMap::new())
    }

    /// Owner of a slot; `None` if nobody owns it or there is no such slot.
    pub fn owner(&self, slot: SlotId) -> Option<Owner> {
        let entry = self.entry(slot)?;
        let server = self.name(entry)?.clone();
        let epoch = entry.epoch();
        Some(Owner { server, epoch, since: entry.since(), how: entry.how(), lapse: entry.lapse() })
    }

    /// State of a slot; `None` if there is no such slot.
    pub fn slot(&self, slot: SlotId) -> Option<Slot> {
        let entry = self.entry(slot)?;
        let server = self.name(entry).cloned();
        let epoch = entry.epoch();
        Some(Slot { server, epoch, since: entry.since(), how: entry.how(), lapse: entry.lapse() })
    }

    /// All slots in order, those of split keys last.
    pub fn iter(&self) -> impl Iterator<Item = SlotId> + '_ {
        (0..self.slots).map(SlotId).chain(self.own.keys().copied())
    }

    /// Number of slots, with those of split keys.
    pub fn len(&self) -> usize {
        self.slots as usize + self.own.len()
    }

    /// Whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of slots that have an owner.
    pub fn owned(&self) -> usize {
        self.owned as usize
    }

    /// Number of servers that own slots.
    pub fn owning_servers(&self) -> usize {
        self.names.len() - self.free.len()
    }

    /// Slots without an owner and their epochs. Scans the whole table if there are any.
    pub fn vacant(&self) -> impl Iterator<Item = (SlotId, Epoch)> + '_ {
        let any = self.owned() < self.len();
        let all = any.then(|| self.entries()).into_iter().flatten();
        all.filter(|(_, entry)| entry.seat().is_none()).map(|(slot, entry)| (slot, entry.epoch()))
    }

    /// Every slot with its owner. Scans the whole table.
    pub fn owners(&self) -> impl Iterator<Item = (SlotId, Option<&ServerId>)> + '_ {
        self.entries().map(|(slot, entry)| (slot, self.name(entry)))
    }

    /// Every server that owns slots, with its seat and its slots in order. Scans the whole table.
    pub(crate) fn seated(&self) -> impl Iterator<Item = Seated<'_>> + '_ {
        let mut lists = vec![Vec::new(); self.names.len()];
        for (slot, entry) in self.entries() {
            let list = entry.seat().and_then(|seat| lists.get_mut(seat as usize));
            list.into_iter().for_each(|list| list.push(slot));
        }
        let named = self.names.iter().zip(lists).enumerate();
        named.filter_map(|(seat, (name, slots))| {
            Some(Seated { seat: seat as u32, server: name.as_ref()?, slots })
        })
    }

    fn entries(&self) -> impl Iterator<Item = (SlotId, &Entry)> + '_ {
        let table = (0..self.slots).map(SlotId).zip(self.table.iter());
        table.chain(self.own.iter().map(|(slot, entry)| (*slot, entry)))
    }

    fn entry(&self, slot: SlotId) -> Option<&Entry> {
        if slot.0 < self.slots {
            return self.table.get(slot.0 as usize);
        }
        self.own.get(&slot)
    }

    fn name(&self, entry: &Entry) -> Option<&ServerId> {
        self.names.get(entry.seat()? as usize)?.as_ref()
    }
}
