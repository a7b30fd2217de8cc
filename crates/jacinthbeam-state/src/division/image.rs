//! A division as it stands in a snapshot: equal neighbours in one run.

use std::collections::BTreeSet;

use super::*;

/// Encoded form of a [`Division`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DivisionImage {
    slots: u32,
    epoch: Epoch,
    names: Vec<Option<ServerId>>,
    free: Vec<u32>,
    runs: Vec<Run>,
    split: BTreeMap<KeyHash, SlotId>,
    own: BTreeMap<SlotId, EntryImage>,
    next_split: u32,
}

/// Adjacent slots in the same state.
#[derive(Debug, Serialize, Deserialize)]
struct Run {
    len: u32,
    entry: EntryImage,
}

/// State of a slot.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct EntryImage {
    seat: Option<u32>,
    since: Offset,
    how: How,
    lapse: Option<Offset>,
}

impl From<&Entry> for EntryImage {
    fn from(entry: &Entry) -> Self {
        Self { seat: entry.seat(), since: entry.since(), how: entry.how(), lapse: entry.lapse() }
    }
}

impl EntryImage {
    fn entry(self) -> Entry {
        Entry::new(self.seat, self.since, self.how, self.lapse)
    }
}

impl Division {
    pub(crate) fn image(&self) -> DivisionImage {
        let mut runs: Vec<Run> = Vec::new();
        let mut last = None;
        for entry in self.table.iter() {
            match runs.last_mut() {
                Some(run) if last == Some(entry) => run.len += 1,
                _ => runs.push(Run { len: 1, entry: entry.into() }),
            }
            last = Some(entry);
        }
        DivisionImage {
            slots: self.slots,
            epoch: self.epoch,
            names: self.names.iter().cloned().collect(),
            free: self.free.clone(),
            runs,
            split: self.split.as_ref().clone(),
            own: self.own.iter().map(|(slot, entry)| (*slot, entry.into())).collect(),
            next_split: self.next_split,
        }
    }
}

impl DivisionImage {
    /// The division, or what is wrong with the image.
    pub(crate) fn division(self) -> Result<Division, String> {
        self.check()?;
        let unrolled = self.runs.iter();
        let unrolled =
            unrolled.flat_map(|run| std::iter::repeat_n(run.entry.entry(), run.len as usize));
        let table: Chunked<_, CHUNK> = unrolled.collect();
        let own: BTreeMap<_, _> =
            self.own.into_iter().map(|(slot, entry)| (slot, entry.entry())).collect();
        let owned = table.iter().chain(own.values()).filter(|entry| entry.seat().is_some());
        let owned = owned.count() as u32;
        Ok(Division {
            slots: self.slots,
            epoch: self.epoch,
            table,
            names: self.names.into_iter().collect(),
            free: self.free,
            split: Arc::new(self.split),
            own: Arc::new(own),
            next_split: self.next_split,
            owned,
        })
    }
}

impl DivisionImage {
    /// Refuses what [`Division::image`] never writes, so that a damaged snapshot can't break the table later.
    fn check(&self) -> Result<(), String> {
        let len: u64 = self.runs.iter().map(|run| u64::from(run.len)).sum();
        if len != u64::from(self.slots) || self.slots > MAX_SLOTS {
            return Err(format!("a division of {} slots has {len} entries", self.slots));
        }
        let entries = self.runs.iter().map(|run| &run.entry).chain(self.own.values());
        let seated = |seat: u32| self.names.get(seat as usize).is_some_and(Option::is_some);
        if let Some(seat) = entries.filter_map(|entry| entry.seat).find(|seat| !seated(*seat)) {
            return Err(format!("owner {seat} of a slot has no name"));
        }
        let vacant = self.names.iter().enumerate().filter(|(_, name)| name.is_none());
        let vacant: BTreeSet<_> = vacant.map(|(seat, _)| seat as u32).collect();
        let free: BTreeSet<_> = self.free.iter().copied().collect();
        if free != vacant || free.len() != self.free.len() {
            return Err("its list of free seats is wrong".into());
        }
        let split: BTreeSet<_> = self.split.values().collect();
        let in_range = self.own.keys().all(|slot| (self.slots..self.next_split).contains(&slot.0));
        if !split.iter().copied().eq(self.own.keys())
            || split.len() != self.split.len()
            || !in_range
        {
            return Err("its split keys and their slots do not match".into());
        }
        Ok(())
    }
}
