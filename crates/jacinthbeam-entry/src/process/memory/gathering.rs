//! Gathering the memory of slots that this host has begun to attend.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use jacinthbeam_admission::duplicate::{Imported, SlotOf};
use jacinthbeam_peer::message::{Claim, ClaimSlots, ClaimedSlot, Fetch, KnownSlot, Remembered};
use jacinthbeam_types::prelude::*;

use super::{
    Inner, Phase, Shared,
    judge::{Source, Word},
    wire,
};

/// Slots to be gathered.
#[derive(Debug)]
pub(super) struct Gather {
    pub(super) token: Token,
    pub(super) slots: BTreeMap<SlotId, Wants>,
    /// Hosts to ask.
    pub(super) hosts: BTreeSet<SocketAddr>,
    /// The question for them.
    pub(super) question: ClaimSlots,
    /// What this host knows itself.
    pub(super) own: Vec<KnownSlot>,
    pub(super) unused_before: bool,
    pub(super) divided_by: u32,
}

/// One of them.
#[derive(Debug)]
pub(super) struct Wants {
    pub(super) claim: Claim,
    pub(super) source: Source,
    pub(super) words: Vec<Word>,
}

impl Gather {
    /// Notes what a host says; `None` is this one.
    pub(super) fn hear(&mut self, host: Option<SocketAddr>, known: Vec<KnownSlot>) {
        for known in known {
            if let Some(wants) = self.slots.get_mut(&known.slot) {
                wants.words.push(Word { host, known });
            }
        }
    }

    /// The question for the copies of some slots.
    pub(super) fn fetch(&self, slots: &BTreeSet<SlotId>) -> Fetch {
        Fetch {
            service: self.question.service.clone(),
            slots: slots.iter().copied().collect(),
            divided_by: self.divided_by,
            after: None,
        }
    }
}

/// What came of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Found {
    /// This host holds all of it.
    Here,
    /// The copies are all there was, but for what the host that held them lost itself so long ago.
    Complete {
        /// How long ago.
        lost: Option<Duration>,
    },
    /// Some of it may be lost.
    Lost,
}

impl Shared {
    /// The slots of a backend server that have to be gathered, if there are any.
    pub(super) fn begin_gathering(&self, server: &ServerId) -> Option<Gather> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let session = inner.sessions.get(server)?;
        let wanted = session.wanted.clone();
        let gathering = session.slots.iter().filter(|(_, own)| own.phase == Phase::Gathering);
        let mut slots = BTreeMap::new();
        let mut hosts = wanted.live.clone();
        for (slot, own) in gathering {
            let Some(slot_wanted) = wanted.slots.get(slot) else { continue };
            if let Source::From { hosts: others, .. } = &slot_wanted.source {
                hosts.extend(others);
            }
            let (claim, source) = (own.claim.clone(), slot_wanted.source.clone());
            slots.insert(*slot, Wants { claim, source, words: Vec::new() });
        }
        if slots.is_empty() {
            return None;
        }
        let claimed = |(slot, wants): (&SlotId, &Wants)| ClaimedSlot {
            slot: *slot,
            claim: wants.claim.clone(),
        };
        let question = ClaimSlots {
            service: wanted.service.clone(),
            slots: slots.iter().map(claimed).collect(),
            before: wanted.before,
        };
        let own = question.slots.iter();
        let own = own.filter_map(|slot| inner.claimed(now, &wanted.service, slot)).collect();
        let unused_before = self.is_unused(&inner, server, wanted.before);
        let (token, divided_by) = (wanted.token, wanted.divided_by);
        Some(Gather { token, slots, hosts, question, own, unused_before, divided_by })
    }

    /// Takes in what was gathered. Slots whose claim is no longer the last one stay as they are.
    pub(super) fn gathered(
        &self,
        server: &ServerId,
        gather: &Gather,
        found: &BTreeMap<SlotId, Found>,
        copies: Vec<Remembered>,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Inner { memory, claims, sessions, .. } = &mut *inner;
        let Some(session) = sessions.get_mut(server) else { return };
        if session.wanted.token != gather.token {
            return;
        }
        let wanted = session.wanted.clone();
        let is_last = |slot: &SlotId, own: &super::session::Own| {
            let wants = gather.slots.get(slot);
            wants.is_some_and(|wants| wants.claim == own.claim)
                && claims.raise(&wanted.slot(*slot), &own.claim)
        };
        let mut done: BTreeMap<SlotId, Found> = BTreeMap::new();
        let mut claims_of = BTreeMap::new();
        let mut is_last = is_last;
        for (slot, found) in found {
            let Some(own) = session.slots.get(slot) else { continue };
            if is_last(slot, own) {
                done.insert(*slot, *found);
                claims_of.insert(*slot, own.claim.clone());
            }
        }
        let service = wanted.service.clone();
        // What stands here of a slot that another host holds whole is stale: the number of an attempt says nothing across keepers.
        memory.supersede(|scope, slot| {
            let found = slot.and_then(|slot| done.get(&slot));
            scope.service == service && matches!(found, Some(Found::Complete { .. }))
        });
        for remembered in copies {
            let slot = wanted.slot_of(remembered.key);
            if remembered.service != service || !done.contains_key(&slot) {
                continue;
            }
            let copy = wire::from_message(Remembered { slot: Some(slot), ..remembered });
            if memory.import(now, copy) == Imported::Full {
                done.insert(slot, Found::Lost);
            }
        }
        for (slot, found) in &done {
            let slot_of = SlotOf { service: service.clone(), slot: Some(*slot) };
            match found {
                Found::Here | Found::Complete { lost: None } => {}
                Found::Complete { lost: Some(ago) } => {
                    memory.lost_since([slot_of.clone()], now.checked_sub(*ago).unwrap_or(now));
                }
                Found::Lost => memory.lost_since([slot_of.clone()], now),
            }
            if let (Some(own), Some(claim)) = (session.slots.get_mut(slot), claims_of.get(slot)) {
                claims.cover(&slot_of, claim);
                own.phase = Phase::Gathered;
            }
        }
        let lost = done.values().filter(|found| **found == Found::Lost).count();
        if lost > 0 {
            log::warn!(
                "memory: {server}: may be incomplete for {lost} of {} slots, unknown idempotency keys are refused there",
                done.len()
            );
        }
    }
}
