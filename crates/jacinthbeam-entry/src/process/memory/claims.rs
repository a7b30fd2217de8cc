//! Who keeps the memory of a slot, as far as this host knows.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::duplicate::SlotOf;
use jacinthbeam_peer::message::{Claim, KnownSlot, Stage};

/// Most slots about which something is known. Larger than the slots of all servers of a cell; a peer can't fill this host's memory.
const MAX_SLOTS: usize = 1 << 18;
/// How long a host vouches for copies after their keeper last named it as its successor.
///
/// A keeper that can reach nobody any more goes on alone after a longer time. Without this bound its old successor, which was only cut off
/// from it, could vouch for too little. Must exceed the time that the longest takeover takes, which is that of slots whose
/// backend server and attendant are lost together: 2.8 s as measured. With less, nobody vouches by then, and orders
/// with unknown keys are refused for as long as keys are remembered.
pub(super) const MARK_LIFE: Duration = Duration::from_secs(4);

/// What is known of one slot.
#[derive(Debug, Clone)]
struct Known {
    /// Highest claim heard of. Copies under lower ones are refused.
    highest: Claim,
    /// The highest before that one.
    before: Option<Claim>,
    /// This host holds all that was remembered under this claim.
    covered: Option<Claim>,
    /// When the keeper last named this host as its successor; `None` if this host is the keeper.
    named: Option<Instant>,
    /// Entries are being gathered or received under this claim; it is used only after this host has covered it.
    receiving: Option<Claim>,
}

/// What is known of all slots.
#[derive(Debug, Default)]
pub(super) struct Claims(BTreeMap<SlotOf, Known>);

/// What to do with copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taking {
    /// Refuse them: a later keeper is known, or this host lacks what came before.
    Refuse,
    /// Take them.
    Take,
    /// Drop what is held of the slot, then take them.
    Replace,
}

impl Claims {
    /// Notes a claim; `false` if a later one is known.
    pub(super) fn raise(&mut self, slot: &SlotOf, claim: &Claim) -> bool {
        let full = self.0.len() >= MAX_SLOTS;
        let Some(known) = self.0.get_mut(slot) else {
            if full {
                return false;
            }
            let new = Known {
                highest: claim.clone(),
                before: None,
                covered: None,
                named: None,
                receiving: None,
            };
            self.0.insert(slot.clone(), new);
            return true;
        };
        if known.highest >= *claim {
            return known.highest == *claim;
        }
        // What was covered under a claim that was not the last one is stale: entries of the one in between are missing.
        if known.covered.as_ref() != Some(&known.highest) {
            known.covered = None;
        }
        known.before = Some(std::mem::replace(&mut known.highest, claim.clone()));
        true
    }

    /// Notes that this host has begun to gather under its own claim, and has sent nothing under it yet.
    pub(super) fn begin(&mut self, slot: &SlotOf, claim: &Claim) {
        if let Some(known) = self.0.get_mut(slot) {
            known.receiving = Some(claim.clone());
        }
    }

    /// What this host tells the sender of a claim that was just raised.
    pub(super) fn answer(&self, now: Instant, slot: &SlotOf, claim: &Claim) -> Option<KnownSlot> {
        let known = self.0.get(slot)?;
        let is_named = known.named.is_none_or(|named| now < named + MARK_LIFE);
        let highest = match known.highest == *claim {
            true => known.before.clone(),
            false => Some(known.highest.clone()),
        };
        Some(KnownSlot {
            slot: slot.slot?,
            highest,
            covered: known.covered.clone().filter(|_| is_named),
            unused: known.receiving.clone().filter(|claim| known.covered.as_ref() != Some(claim)),
            lost: None,
        })
    }

    /// Judges copies that arrive under a claim.
    pub(super) fn receive(
        &mut self,
        now: Instant,
        slot: &SlotOf,
        claim: &Claim,
        stage: Stage,
    ) -> Taking {
        if stage == Stage::First {
            return self.receive_first(slot, claim);
        }
        let Some(known) = self.0.get_mut(slot) else { return Taking::Refuse };
        let expected = match stage {
            Stage::Update => &known.covered,
            Stage::First | Stage::More | Stage::Last => &known.receiving,
        };
        if known.highest != *claim || expected.as_ref() != Some(claim) {
            return Taking::Refuse;
        }
        if known.named.is_some() {
            known.named = Some(now);
        }
        Taking::Take
    }

    fn receive_first(&mut self, slot: &SlotOf, claim: &Claim) -> Taking {
        if !self.raise(slot, claim) {
            return Taking::Refuse;
        }
        let Some(known) = self.0.get_mut(slot) else { return Taking::Refuse };
        let same_keeper = |held: &Claim| held.epoch == claim.epoch && held.token == claim.token;
        known.receiving = Some(claim.clone());
        // Entries of another keeper may contradict this one's: the number of an attempt says nothing across keepers.
        match known.covered.as_ref().is_some_and(same_keeper) {
            true => Taking::Take,
            false => {
                known.covered = None;
                Taking::Replace
            }
        }
    }

    /// From now on this host holds all that is remembered under its own claim.
    pub(super) fn cover(&mut self, slot: &SlotOf, claim: &Claim) {
        self.set_covered(slot, claim, None);
    }

    /// From now on this host holds all that another one remembers under its claim.
    pub(super) fn cover_for(&mut self, now: Instant, slot: &SlotOf, claim: &Claim) {
        self.set_covered(slot, claim, Some(now));
    }

    fn set_covered(&mut self, slot: &SlotOf, claim: &Claim, named: Option<Instant>) {
        if let Some(known) = self.0.get_mut(slot) {
            known.covered = Some(claim.clone());
            known.named = named;
            known.receiving = None;
        }
    }

    /// Whether this is the last claim, and this host holds all that is remembered under it.
    pub(super) fn is_covered(&self, slot: &SlotOf, claim: &Claim) -> bool {
        let known = self.0.get(slot);
        known.is_some_and(|known| known.highest == *claim && known.covered.as_ref() == Some(claim))
    }

    /// Holds nothing for other hosts any more.
    pub(super) fn drop_held(&mut self) {
        for known in self.0.values_mut().filter(|known| known.named.is_some()) {
            known.covered = None;
        }
    }
}
