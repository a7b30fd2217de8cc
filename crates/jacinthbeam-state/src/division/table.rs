//! Entries of the owner table and how they change.

use std::sync::Arc;

use super::*;

/// Seat of a slot without an owner.
const NOBODY: u32 = u32::MAX;
/// The offset and the kind of the last record share one word: the kind takes the lowest bits.
const HOW_BITS: u32 = 8;

/// State of one slot in 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Entry {
    seat: u32,
    /// 0 if the slot was never taken without a release; else 1 + the number of records between that
    /// one and the last.
    lapse: u32,
    since: u64,
}

impl Entry {
    pub(super) fn new(seat: Option<u32>, since: Offset, how: How, lapse: Option<Offset>) -> Self {
        // A distance beyond 32 bits is dropped: a lease of seconds ended long before four billion
        // more records.
        let lapse = lapse
            .and_then(|lapse| since.0.checked_sub(lapse.0))
            .and_then(|distance| u32::try_from(distance).ok()?.checked_add(1))
            .unwrap_or(0);
        Self { seat: seat.unwrap_or(NOBODY), lapse, since: since.0 << HOW_BITS | how.code() }
    }

    pub(super) fn seat(&self) -> Option<u32> {
        (self.seat != NOBODY).then_some(self.seat)
    }

    pub(super) fn since(&self) -> Offset {
        Offset(self.since >> HOW_BITS)
    }

    pub(super) fn epoch(&self) -> Epoch {
        Epoch(self.since().0)
    }

    pub(super) fn how(&self) -> How {
        How::from_code(self.since & ((1 << HOW_BITS) - 1))
    }

    pub(super) fn lapse(&self) -> Option<Offset> {
        let distance = u64::from(self.lapse.checked_sub(1)?);
        self.since().0.checked_sub(distance).map(Offset)
    }
}

impl How {
    /// All kinds; the place of a kind is its code.
    const ALL: [Self; 8] = [
        Self::Founded,
        Self::Moved,
        Self::Evicted,
        Self::Reassigned,
        Self::Placed,
        Self::Joined,
        Self::Split,
        Self::Released,
    ];

    fn code(self) -> u64 {
        Self::ALL.iter().position(|how| *how == self).unwrap_or_default() as u64
    }

    fn from_code(code: u64) -> Self {
        Self::ALL.get(code as usize).copied().unwrap_or(Self::Founded)
    }
}

impl Division {
    /// A division whose slots get owners run by run. `owners` and `names` must fit each other and `slots`.
    pub(crate) fn found(
        slots: u32,
        at: Offset,
        names: Vec<ServerId>,
        owners: impl Iterator<Item = (u32, u32)>,
    ) -> Self {
        let entry = |seat| Entry::new(seat, at, How::Founded, Some(at));
        let runs =
            owners.flat_map(|(seat, len)| std::iter::repeat_n(entry(Some(seat)), len as usize));
        let mut table: Chunked<_, CHUNK> = runs.collect();
        let owned = table.len() as u32;
        (owned..slots).for_each(|_| table.push(entry(None)));
        Self {
            slots,
            epoch: Epoch(at.0),
            table,
            names: names.into_iter().map(Some).collect(),
            free: Vec::new(),
            split: Arc::default(),
            own: Arc::default(),
            next_split: slots,
            owned,
        }
    }

    /// The index that stands for an owner in the table, for a server that owns nothing yet.
    pub(crate) fn seat(&mut self, server: &ServerId) -> u32 {
        let seat = match self.free.pop() {
            Some(seat) => seat,
            None => {
                self.names.push(None);
                (self.names.len() - 1) as u32
            }
        };
        if let Some(name) = self.names.get_mut(seat as usize) {
            *name = Some(server.clone());
        }
        seat
    }

    /// Gives back the index of a server that owns nothing any more.
    pub(crate) fn unseat(&mut self, seat: u32) {
        if let Some(name) = self.names.get_mut(seat as usize) {
            *name = None;
            self.free.push(seat);
        }
    }

    /// Sets the state of a slot that exists.
    pub(crate) fn set(
        &mut self,
        slot: SlotId,
        seat: Option<u32>,
        since: Offset,
        how: How,
        lapse: Option<Offset>,
    ) {
        let new = Entry::new(seat, since, how, lapse);
        let entry = if slot.0 < self.slots {
            self.table.get_mut(slot.0 as usize)
        } else {
            Arc::make_mut(&mut self.own).get_mut(&slot)
        };
        let Some(entry) = entry else { return };
        let old = std::mem::replace(entry, new);
        self.owned -= u32::from(old.seat().is_some());
        self.owned += u32::from(seat.is_some());
    }

    /// Adds the slot of a split key, with the state of the slot that the key leaves.
    pub(crate) fn insert_split(&mut self, key: KeyHash, parent: SlotId) -> SlotId {
        let slot = SlotId(self.next_split);
        let Some(entry) = self.entry(parent).copied() else { return slot };
        self.next_split += 1;
        self.owned += u32::from(entry.seat().is_some());
        Arc::make_mut(&mut self.own).insert(slot, entry);
        Arc::make_mut(&mut self.split).insert(key, slot);
        slot
    }

    /// Removes the slot of a split key.
    pub(crate) fn remove_split(&mut self, key: KeyHash) {
        let Some(slot) = Arc::make_mut(&mut self.split).remove(&key) else { return };
        if let Some(entry) = Arc::make_mut(&mut self.own).remove(&slot) {
            self.owned -= u32::from(entry.seat().is_some());
        }
    }
}
