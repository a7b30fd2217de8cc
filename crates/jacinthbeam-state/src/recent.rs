//! The last records about each backend server, for operators. No decision depends on them.

use std::{collections::VecDeque, sync::Arc};

use jacinthbeam_types::prelude::*;

use crate::{Change, RecordId, chunked::Chunked};

/// How many records are kept of each backend server.
pub const KEPT: usize = 16;
/// Servers per shared chunk.
const CHUNK: usize = 64;

/// A record that changed something, and why it was written.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Where it stands in the stream.
    pub offset: Offset,
    /// Who appended it.
    pub id: RecordId,
    /// Its author's reason.
    pub why: String,
    /// What it changed.
    pub changes: Vec<Change>,
}

/// Last entries of each server, by its place in the table of servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recent(Chunked<Arc<VecDeque<Arc<Entry>>>, CHUNK>);

impl Recent {
    pub(crate) fn push(&mut self, place: usize, entry: &Arc<Entry>) {
        while self.0.len() <= place {
            self.0.push(Arc::default());
        }
        let Some(kept) = self.0.get_mut(place) else { return };
        let kept = Arc::make_mut(kept);
        if kept.len() >= KEPT {
            kept.pop_front();
        }
        kept.push_back(entry.clone());
    }

    pub(crate) fn forget(&mut self, place: usize) {
        if let Some(kept) = self.0.get_mut(place) {
            *kept = Arc::default();
        }
    }

    pub(crate) fn of(&self, place: usize) -> impl Iterator<Item = &Entry> + '_ {
        self.0.get(place).into_iter().flat_map(|kept| kept.iter()).map(Arc::as_ref)
    }
}

impl Change {
    /// The backend servers that the change is about.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> + '_ {
        let pair = match self {
            Self::Joined { server, .. }
            | Self::Evicted { server }
            | Self::Kept { server }
            | Self::Left { server }
            | Self::Split { server, .. }
            | Self::Merged { server, .. } => [Some(server), None],
            Self::Slots { from, to, .. } => {
                let to = to.as_ref().filter(|_| to != from);
                [from.as_ref(), to]
            }
            Self::Config(_)
            | Self::Retired { .. }
            | Self::Restored { .. }
            | Self::Dropped { .. }
            | Self::Founded { .. }
            | Self::Witnesses { .. }
            | Self::SnapshotPart { .. } => [None, None],
        };
        pair.into_iter().flatten()
    }

    /// Whether the change is about this slot of this service.
    pub fn is_about(&self, service: &ServiceName, slot: SlotId) -> bool {
        match self {
            Self::Slots { service: of, slots, .. } | Self::Joined { service: of, slots, .. } => {
                of == service && slots.contains(&slot)
            }
            Self::Split { service: of, slot: own, .. }
            | Self::Merged { service: of, slot: own, .. } => of == service && *own == slot,
            Self::Founded { service: of, .. } => of == service,
            _ => false,
        }
    }
}
