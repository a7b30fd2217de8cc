//! Whether the memory that a new attendant could gather is all there was.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::SlotOf;

/// Word of a host that it holds a copy of all that the attendant under this token remembers.
///
/// An attendant sends it after its successor has acknowledged a copy of every entry, and from then on sends a request only after the successor has
/// acknowledged that entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coverage {
    /// The attended backend server.
    pub server: ServerId,
    /// Token of the attendant's grant.
    pub token: Token,
}

/// What a new attendant knows of the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Before {
    /// Highest token that the backend server had accepted.
    pub token: Token,
    /// Whether the backend server is in its first life, so that token 0 means that nobody attended it yet.
    pub first_life: bool,
}

/// Whether a new attendant has gathered all memory, from its own copies and those of the hosts that answered.
pub fn is_complete(server: &ServerId, before: Before, heard: &[Coverage]) -> bool {
    // A restarted backend server reports token 0 again, though requests were sent to its earlier life.
    let never_attended = before.token == Token(0) && before.first_life;
    let covers = |held: &Coverage| held.server == *server && held.token == before.token;
    never_attended || (before.token != Token(0) && heard.iter().any(covers))
}

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
