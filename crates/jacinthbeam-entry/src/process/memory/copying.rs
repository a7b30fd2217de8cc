//! Copying to the successor.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_admission::duplicate::{Copy, Progress, Scope, SlotOf};
use jacinthbeam_peer::message::{Answer, Claim, ClaimedSlot, Copies, Question, Remembered, Stage};
use jacinthbeam_types::prelude::*;

use super::{Inner, Phase, Place, Shared, held::PAGE, session::Own, wire};

/// Time for a copy to be acknowledged.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Copies of whole slots for the successor.
#[derive(Debug)]
pub(super) struct Export {
    pub(super) to: SocketAddr,
    pub(super) token: Token,
    pub(super) slots: BTreeMap<SlotId, Claim>,
    /// Hosts that have to know of the new claims first.
    pub(super) announce: BTreeSet<SocketAddr>,
    pub(super) pages: Vec<Copies>,
}

/// A message without copies that names the successor.
#[derive(Debug)]
pub(super) struct Naming {
    pub(super) to: SocketAddr,
    pub(super) token: Token,
    pub(super) copies: Copies,
}

/// What is to be done about the successor.
#[derive(Debug)]
pub(super) enum Copying {
    /// It holds everything, or none is needed.
    Done,
    /// This host goes on alone, but not yet.
    Wait,
    /// Send this.
    Copy(Export),
}

/// What the successor must have got before a request is sent.
enum Backing {
    /// This host is alone in its cell.
    Alone,
    /// The successor and the message for it.
    Copy(SocketAddr, Box<Copies>),
    /// The slot is not ready.
    NotReady,
}

impl Shared {
    /// Waits until the successor holds a copy of the entry.
    ///
    /// An entry that was begun while the slot was ready is part of what any later successor gets. So one acknowledged copy is
    /// enough, whoever is the successor by the time the request is sent.
    pub(super) async fn until_copied(
        &self,
        place: &Place,
        scope: &Scope,
        until: Instant,
    ) -> Result<(), Refusal> {
        let mut changes = self.changes.subscribe();
        loop {
            match self.backing(place, scope) {
                Backing::Alone => return Ok(()),
                Backing::Copy(to, copies) => match self.send(to, *copies, COPY_TIMEOUT).await {
                    Some(true) => return Ok(()),
                    Some(false) => self.break_copies(&place.server, place.token, to),
                    // The members will tell soon whether it is lost.
                    None => {}
                },
                Backing::NotReady => {}
            }
            self.wait(&mut changes, until).await?;
        }
    }

    /// Sends the present state of an entry to the successor, without waiting for it.
    pub(super) fn update(&self, place: &Place, scope: &Scope) {
        let Backing::Copy(to, copies) = self.backing(place, scope) else { return };
        let Ok(permit) = self.updates.clone().try_acquire_owned() else { return };
        let open = self.open(&place.server);
        self.runtime.spawn(async move {
            open.shared.send(to, *copies, COPY_TIMEOUT).await;
            drop((open, permit));
        });
    }

    /// `None` if there was no answer.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        copies: Copies,
        timeout: Duration,
    ) -> Option<bool> {
        match self.peers.ask(to, &Question::Remember(copies), timeout).await {
            Ok(Answer::Done { agreed }) => Some(agreed),
            Ok(_) => Some(false),
            Err(err) => {
                log::debug!("memory: copy for {to}: {err}");
                None
            }
        }
    }

    fn backing(&self, place: &Place, scope: &Scope) -> Backing {
        let inner = self.lock();
        if inner.ready(&place.server, place.slot) != Some(place.token) {
            return Backing::NotReady;
        }
        let Some(session) = inner.sessions.get(&place.server) else { return Backing::NotReady };
        let Some(to) = session.successor else { return Backing::Alone };
        let (Some(own), Some(copy)) = (session.slots.get(&place.slot), inner.memory.copy(scope))
        else {
            return Backing::NotReady;
        };
        let copies = Copies {
            service: scope.service.clone(),
            slots: vec![ClaimedSlot { slot: place.slot, claim: own.claim.clone() }],
            stage: Stage::Update,
            copies: vec![Remembered { slot: Some(place.slot), ..wire::into_message(copy) }],
            lost: Vec::new(),
        };
        Backing::Copy(to, Box::new(copies))
    }

    /// The successor lacks what came before: it is copied anew.
    pub(super) fn break_copies(&self, server: &ServerId, token: Token, to: SocketAddr) {
        let mut inner = self.lock();
        let Some(session) = inner.sessions.get_mut(server) else { return };
        if session.successor == Some(to) && session.wanted.token == token {
            session.broken = true;
            session.work.notify_one();
        }
    }

    /// Names the successor again, so that it goes on vouching.
    pub(super) fn naming(&self, server: &ServerId) -> Option<Naming> {
        let inner = self.lock();
        let session = inner.sessions.get(server)?;
        let is_ready = |(slot, own): &(&SlotId, &Own)| {
            own.phase == Phase::Ready
                && inner.claims.is_covered(&session.wanted.slot(**slot), &own.claim)
        };
        let ready = session.slots.iter().filter(is_ready);
        let ready: BTreeMap<SlotId, Claim> =
            ready.map(|(slot, own)| (*slot, own.claim.clone())).collect();
        let to = session.successor.filter(|_| !ready.is_empty())?;
        let service = &session.wanted.service;
        Some(Naming {
            to,
            token: session.wanted.token,
            copies: page(service, &ready, Stage::Update),
        })
    }

    /// What has to be copied to the successor now.
    pub(super) fn begin_copying(&self, server: &ServerId) -> Copying {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Inner { claims, sessions, memory, .. } = &mut *inner;
        let Some(session) = sessions.get_mut(server) else { return Copying::Done };
        if !session.is_copying_due() {
            return Copying::Done;
        }
        let slots = session.begin_copying(now, claims);
        let token = session.wanted.token;
        let Some(to) = session.successor else {
            if session.alone_from.is_some_and(|from| now < from) {
                return Copying::Wait;
            }
            session.announce = false;
            let mine = session.slots.iter_mut().filter(|(slot, _)| slots.contains_key(slot));
            mine.for_each(|(_, own)| own.phase = Phase::Ready);
            inner.used.insert((server.clone(), token));
            drop(inner);
            self.changes.send_replace(());
            return Copying::Done;
        };
        if slots.is_empty() {
            return Copying::Done;
        }
        let others = session.wanted.live.iter().copied().filter(|addr| *addr != to);
        let announce = if session.announce { others.collect() } else { BTreeSet::new() };
        let service = session.wanted.service.clone();
        let lost_at = |slot: SlotId| {
            let slot = SlotOf { service: service.clone(), slot: Some(slot) };
            memory.lost_at(now, &slot)
        };
        let lost = slots.keys().filter_map(|slot| Some((*slot, lost_at(*slot)?)));
        let lost: Vec<(SlotId, Duration)> =
            lost.map(|(slot, when)| (slot, now.saturating_duration_since(when))).collect();
        let is_lost = |slot: Option<SlotId>| lost.iter().any(|(lost, _)| Some(*lost) == slot);
        let picked = |scope: &Scope, slot: Option<SlotId>| {
            scope.service == service && slot.is_some_and(|slot| slots.contains_key(&slot))
        };
        // An attempt that followed this one may be what was lost. The receiver can't tell, since the entry is new to it.
        let honest = |copy: Copy| match copy.progress {
            Progress::NotRun if is_lost(copy.slot) => Copy { progress: Progress::Sent, ..copy },
            _ => copy,
        };
        let copies = memory.export(picked).map(honest);
        let pages = pages(&service, &slots, copies, lost.clone());
        Copying::Copy(Export { to, token, slots, announce, pages })
    }

    /// The successor holds all of it: the slots may be used.
    pub(super) fn copied(&self, server: &ServerId, export: &Export) {
        let mut inner = self.lock();
        let Inner { sessions, used, .. } = &mut *inner;
        let Some(session) = sessions.get_mut(server) else { return };
        if session.wanted.token != export.token {
            return;
        }
        used.insert((server.clone(), export.token));
        session.announce = false;
        for (slot, claim) in &export.slots {
            let own = session.slots.get_mut(slot).filter(|own| own.claim == *claim);
            if let Some(own) = own.filter(|own| own.phase == Phase::Gathered) {
                own.phase = Phase::Ready;
            }
        }
        drop(inner);
        self.changes.send_replace(());
    }
}

fn page(service: &ServiceName, slots: &BTreeMap<SlotId, Claim>, stage: Stage) -> Copies {
    let claimed =
        |(slot, claim): (&SlotId, &Claim)| ClaimedSlot { slot: *slot, claim: claim.clone() };
    Copies {
        service: service.clone(),
        slots: slots.iter().map(claimed).collect(),
        stage,
        copies: Vec::new(),
        lost: Vec::new(),
    }
}

fn pages(
    service: &ServiceName,
    slots: &BTreeMap<SlotId, Claim>,
    copies: impl Iterator<Item = Copy>,
    lost: Vec<(SlotId, Duration)>,
) -> Vec<Copies> {
    let mut pages = vec![page(service, slots, Stage::First)];
    let mut bytes = 0;
    for copy in copies {
        if bytes > PAGE {
            pages.push(page(service, slots, Stage::More));
            bytes = 0;
        }
        bytes += wire::size(&copy);
        if let Some(last) = pages.last_mut() {
            last.copies.push(wire::into_message(copy));
        }
    }
    // Losses come after all entries, so that they are known to concern them.
    pages.push(Copies { lost, ..page(service, slots, Stage::Last) });
    pages
}
