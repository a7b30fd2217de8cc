//! The memory that this host keeps as attendant of one backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::duplicate::{Scope, SlotOf};
use jacinthbeam_peer::message::Claim;
use jacinthbeam_types::prelude::*;
use tokio::sync::Notify;

use super::{
    claims::{Claims, MARK_LIFE},
    judge::Source,
};

/// Added to the time for which an earlier successor may vouch: clocks differ and messages are late.
const SLACK: Duration = Duration::from_millis(500);

/// What control wants to be kept for a backend server that this host attends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Service of the server.
    pub service: ServiceName,
    /// Number of slots by which the service is divided.
    pub divided_by: u32,
    /// Keys with a slot of their own.
    pub split: BTreeMap<KeyHash, SlotId>,
    /// Token of the server's grant.
    pub token: Token,
    /// Token that the server had accepted before; 0 for none in its present life.
    pub before: Token,
    /// Slots that may be served.
    pub slots: BTreeMap<SlotId, WantedSlot>,
    /// Other live hosts of the cell.
    pub live: BTreeSet<SocketAddr>,
    /// The one among them that is to hold the copies; `None` if this host is alone.
    pub successor: Option<SocketAddr>,
}

/// One slot that may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedSlot {
    /// Its epoch.
    pub epoch: Epoch,
    /// Where its memory is, if this host does not have it yet.
    pub source: Source,
}

impl Wanted {
    /// The slot that holds a key.
    pub(super) fn slot_of(&self, key: KeyHash) -> SlotId {
        key.slot(self.divided_by, &self.split)
    }

    pub(super) fn slot(&self, slot: SlotId) -> SlotOf {
        SlotOf { service: self.service.clone(), slot: Some(slot) }
    }

    /// Whether the entry belongs to a slot of this session, or did before its key was merged.
    pub(super) fn is_own(&self, scope: &Scope, slot: SlotId) -> bool {
        let undivided = scope.key.slot(self.divided_by, &BTreeMap::new());
        scope.service == self.service
            && (self.slots.contains_key(&slot) || self.slots.contains_key(&undivided))
    }

    /// The slot that a key with a slot of its own was split out of.
    fn parent_of(&self, slot: SlotId) -> Option<SlotId> {
        let (key, _) = self.split.iter().find(|(_, own)| **own == slot)?;
        Some(key.slot(self.divided_by, &BTreeMap::new()))
    }
}

/// How far the memory of a slot is ready for use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The other hosts are being asked for it.
    Gathering,
    /// It is here; the successor does not hold all of it yet.
    Gathered,
    /// It is here and with the successor.
    Ready,
}

/// A slot whose memory this host keeps.
#[derive(Debug, Clone)]
pub(super) struct Own {
    pub(super) claim: Claim,
    pub(super) phase: Phase,
}

/// The memory of one attended backend server, under one token.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) wanted: Wanted,
    pub(super) slots: BTreeMap<SlotId, Own>,
    pub(super) successor: Option<SocketAddr>,
    /// Whether the successor has refused a copy, so that it needs all of them again.
    pub(super) broken: bool,
    /// Whether all live hosts have to be told of the next round: an earlier successor may hold a mark that will be stale.
    pub(super) announce: bool,
    pub(super) round: u32,
    /// Not before then does this host go on without a successor, after it had one.
    pub(super) alone_from: Option<Instant>,
    /// Wakes the task that works on it.
    pub(super) work: Arc<Notify>,
}

impl Session {
    pub(super) fn new(wanted: Wanted, work: Arc<Notify>) -> Self {
        Self {
            wanted,
            slots: BTreeMap::new(),
            successor: None,
            broken: false,
            announce: false,
            round: 0,
            alone_from: None,
            work,
        }
    }

    /// Takes over what control wants, and claims slots that are new.
    pub(super) fn sync(&mut self, server: &ServerId, wanted: Wanted, claims: &mut Claims) {
        self.wanted = wanted;
        let before = std::mem::take(&mut self.slots);
        let is_here = |(slot, own): &(&SlotId, &Own)| {
            own.phase != Phase::Gathering
                && claims.is_covered(&self.wanted.slot(**slot), &own.claim)
        };
        let here: BTreeSet<SlotId> = before.iter().filter(is_here).map(|(slot, _)| *slot).collect();
        for (slot, slot_wanted) in &self.wanted.slots {
            let known = before.get(slot);
            let own = match known.filter(|own| own.claim.epoch == slot_wanted.epoch) {
                Some(own) => own.clone(),
                None => self.claimed(server, *slot, slot_wanted, &here, claims),
            };
            self.slots.insert(*slot, own);
        }
    }

    /// Claims a slot that is new, or has got a new epoch. `here`: slots whose memory this host has.
    fn claimed(
        &self,
        server: &ServerId,
        slot: SlotId,
        wanted: &WantedSlot,
        here: &BTreeSet<SlotId>,
        claims: &mut Claims,
    ) -> Own {
        let (epoch, token) = (wanted.epoch, self.wanted.token);
        let claim = Claim { epoch, token, round: self.round, server: server.clone() };
        let slot_of = self.wanted.slot(slot);
        // A slot that got a new epoch, or was split out, while this host kept it.
        let stays =
            matches!(&wanted.source, Source::From { server: Some(from), .. } if from == server);
        let is_here = here.contains(&slot)
            || self.wanted.parent_of(slot).is_some_and(|parent| here.contains(&parent));
        let is_last = claims.raise(&slot_of, &claim);
        let phase = if stays && is_here && is_last { Phase::Gathered } else { Phase::Gathering };
        match phase {
            Phase::Gathered | Phase::Ready => claims.cover(&slot_of, &claim),
            Phase::Gathering if is_last => claims.begin(&slot_of, &claim),
            Phase::Gathering => {}
        }
        Own { claim, phase }
    }

    /// Whether there is something to be copied, or slots could be ready without a copy.
    pub(super) fn is_copying_due(&self) -> bool {
        self.broken
            || self.successor != self.wanted.successor
            || self.slots.values().any(|own| own.phase == Phase::Gathered)
    }

    /// Starts to copy to the successor what it does not hold: the slots and their new claims.
    pub(super) fn begin_copying(
        &mut self,
        now: Instant,
        claims: &mut Claims,
    ) -> BTreeMap<SlotId, Claim> {
        let successor = self.wanted.successor;
        if self.successor != successor || self.broken {
            // The one before may only be cut off, and would vouch for what it holds if both this host and it were asked about later on.
            if successor.is_none() && self.successor.is_some() {
                self.alone_from = Some(now + MARK_LIFE + SLACK);
            }
            self.announce |= self.slots.values().any(|own| own.phase == Phase::Ready);
            self.successor = successor;
            self.broken = false;
            let ready = self.slots.values_mut().filter(|own| own.phase == Phase::Ready);
            ready.for_each(|own| own.phase = Phase::Gathered);
        }
        // A message of an earlier try that arrives late has a lower round and is refused.
        self.round += 1;
        let mut copied = BTreeMap::new();
        for (slot, own) in &mut self.slots {
            let slot_of = self.wanted.slot(*slot);
            if own.phase != Phase::Gathered || !claims.is_covered(&slot_of, &own.claim) {
                continue;
            }
            own.claim.round = self.round;
            claims.raise(&slot_of, &own.claim);
            claims.cover(&slot_of, &own.claim);
            copied.insert(*slot, own.claim.clone());
        }
        copied
    }
}
