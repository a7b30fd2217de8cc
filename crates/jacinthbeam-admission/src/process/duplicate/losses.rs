//! Slots whose memory may have been lost.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::SlotOf;

/// Slots whose memory may have been lost, and since when. Bounded by the number of slots.
#[derive(Debug, Default)]
pub(super) struct Losses {
    since: BTreeMap<SlotOf, Instant>,
}

impl Losses {
    pub(super) fn add(&mut self, slot: SlotOf, when: Instant) {
        let since = self.since.entry(slot).or_insert(when);
        *since = (*since).max(when);
    }

    /// When memory of the slot was last lost, if what was lost then would still be remembered.
    pub(super) fn since(&self, now: Instant, slot: &SlotOf, keep: Duration) -> Option<Instant> {
        self.since.get(slot).copied().filter(|since| now < *since + keep)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    pub(super) fn forget(&mut self, now: Instant, keep: Duration) {
        self.since.retain(|_, since| now < *since + keep);
    }
}
