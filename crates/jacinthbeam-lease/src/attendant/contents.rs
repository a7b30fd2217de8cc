//! Which slots the next grant holds, and what it is based on.
//!
//! The server refuses a grant with a lower token, and one with a lower `based_on`. Neither is a comparison
//! with what the sender had read, so a grant that was computed from an old answer may arrive after a newer
//! one of another host. These rules make that harmless:
//!
//! - A slot is **added** only by a record newer than the `based_on` that the server reported under this
//!   host's own token, and the grant is based on that record. So a slot that was taken out comes back by a
//!   new record only.
//! - A slot is **released** by a grant with a `based_on` higher than the server reported. So a successor that
//!   read the state before the release, and would put the slot back with its higher token, is refused for its
//!   lower `based_on`.
//! - Any other grant repeats the reported `based_on`, however much newer the fold is.
//! - Records are taken in the order of the log. A slot that has to wait for an earlier owner's lease holds up
//!   later ones, else the grant's `based_on` would pass it and it could never be added.

use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_state::{Owner, State, record::SlotBase};
use jacinthbeam_types::prelude::*;

use crate::grant::GrantState;

/// What the next grant holds, and which records are needed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Contents {
    pub(super) slots: BTreeSet<SlotId>,
    pub(super) based_on: Offset,
    /// Slots of the server that its grant lacks and that no newer record gives to it. They are free to be
    /// moved by a record based on these epochs, and need one to be granted again.
    pub(super) lacking: Vec<SlotBase>,
    /// Slots that can't be released before some newer record stands in the log.
    pub(super) blocked: Vec<SlotBase>,
}

/// What the contents are computed from.
pub(super) struct Sources<'a> {
    pub(super) state: &'a State,
    pub(super) server: &'a ServerId,
    /// The last answer of the server, under this host's token.
    pub(super) seen: &'a GrantState,
    /// Slots to release: no request for them can have an effect any more.
    pub(super) drained: &'a BTreeSet<SlotId>,
    /// Whether the leases of earlier owners have ended.
    pub(super) is_settled: &'a dyn Fn(&Owner) -> bool,
}

/// What a grant may be based on before the server reported anything: everything before it joined.
pub(super) fn reported_base(state: &State, server: &ServerId, seen: &GrantState) -> Offset {
    let joined = state.servers.get(server).map_or(Offset(0), |known| known.joined);
    seen.based_on.unwrap_or(Offset(joined.0.saturating_sub(1)))
}

impl Sources<'_> {
    /// The grant by which a host takes over: exactly what the server reported, less what the fold
    /// gives to others.
    pub(super) fn takeover(&self) -> Contents {
        let owned = self.owned();
        Contents {
            slots: self.kept(&owned),
            based_on: reported_base(self.state, self.server, self.seen),
            lacking: Vec::new(),
            blocked: Vec::new(),
        }
    }

    /// The grant of a host whose token the server has confirmed.
    pub(super) fn renewal(&self) -> Contents {
        let owned = self.owned();
        let base = reported_base(self.state, self.server, self.seen);
        let mut slots = self.kept(&owned);
        let missing = owned.iter().filter(|(slot, _)| !slots.contains(slot));
        let (newer, lacking): (Vec<_>, Vec<_>) =
            missing.map(|(slot, owner)| (*slot, owner)).partition(|(_, owner)| owner.since > base);

        let newest = Offset(self.state.next.0.saturating_sub(1));
        let waiting = newer.iter().filter(|(_, owner)| !(self.is_settled)(owner));
        let first_waiting = waiting.map(|(_, owner)| owner.since).min();
        let ceiling = first_waiting.map_or(newest, |since| Offset(since.0.saturating_sub(1)));

        let added: Vec<_> = newer.iter().filter(|(_, owner)| owner.since <= ceiling).collect();
        let mut based_on = added.iter().map(|(_, owner)| owner.since).fold(base, Offset::max);
        slots.extend(added.iter().map(|(slot, _)| *slot));

        let leaving: Vec<SlotId> = slots.intersection(self.drained).copied().collect();
        let mut blocked = Vec::new();
        if !leaving.is_empty() && ceiling > base {
            slots.retain(|slot| !self.drained.contains(slot));
            based_on = ceiling;
        } else if !leaving.is_empty() && first_waiting.is_none() {
            blocked = leaving
                .iter()
                .filter_map(|slot| Some(slot_base(*slot, owned.get(slot)?)))
                .collect();
        }
        let lacking = lacking.into_iter().map(|(slot, owner)| slot_base(slot, owner));
        Contents { slots, based_on, lacking: lacking.collect(), blocked }
    }

    fn owned(&self) -> BTreeMap<SlotId, Owner> {
        let owned = self.state.slots_of(self.server).chain(self.state.to_release(self.server));
        owned.map(|(_, slot, owner)| (slot, owner)).collect()
    }

    fn kept(&self, owned: &BTreeMap<SlotId, Owner>) -> BTreeSet<SlotId> {
        self.seen.slots.iter().filter(|slot| owned.contains_key(slot)).copied().collect()
    }
}

fn slot_base(slot: SlotId, owner: &Owner) -> SlotBase {
    SlotBase { slot, epoch: owner.epoch }
}
