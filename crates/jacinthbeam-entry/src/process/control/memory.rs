//! What this host has to remember of requests with an idempotency key, as attendant.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_admission::duplicate::SlotOf;
use jacinthbeam_lease::GrantState;
use jacinthbeam_state::{Change, How, Owner};
use jacinthbeam_types::prelude::*;

use super::{Control, Event, attend::Tended};
use crate::process::memory::{Source, Wanted, WantedSlot};

/// What a backend server has said of its grant, as far as its memory is concerned.
#[derive(Debug, Default)]
pub struct Granted {
    last: Option<GrantState>,
    /// The last answer under another token than the last one's.
    before: Option<GrantState>,
    /// Token of the permit.
    token: Token,
    /// Slots that were permitted under it.
    slots: BTreeSet<SlotId>,
}

impl Granted {
    /// Notes an answer of the server.
    pub(super) fn reported(&mut self, state: &GrantState) {
        let is_other =
            |last: &GrantState| last.token != state.token || last.incarnation != state.incarnation;
        if let Some(last) = self.last.take_if(|last| is_other(last)) {
            self.before = Some(last);
        }
        self.last = Some(state.clone());
    }

    /// Notes a permit.
    pub(super) fn permitted(&mut self, token: Token, slots: BTreeSet<SlotId>) {
        if self.token != token {
            self.token = token;
            self.slots.clear();
        }
        self.slots.extend(slots);
    }

    /// What the server reported before this host took over, in the same life.
    fn taken_over(&self) -> Option<&GrantState> {
        let last = self.last.as_ref()?;
        let before = self.before.as_ref()?;
        let is_it = last.token == self.token
            && before.incarnation == last.incarnation
            && before.token != Token(0);
        is_it.then_some(before)
    }
}

/// Whether the ends of the last attempts at a server have reached the successor, before the server is handed over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Parting {
    /// Not looked at yet.
    #[default]
    No,
    /// They are on their way.
    Waiting,
    /// They have arrived, or were waited for long enough.
    Done,
}

/// Longest wait for the last copies. Longer than one of them may take.
const LAST_COPIES: Duration = Duration::from_millis(500);

/// Who owned a slot before its present owner.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Origin {
    server: ServerId,
    cell: CellId,
}

/// Earlier owners of slots that a backend server of this cell owns, or nobody. At most one a slot.
#[derive(Debug, Default)]
pub struct Origins(BTreeMap<SlotOf, Origin>);

impl Control {
    /// Notes who owned the slots of a change before; the record alone tells it.
    pub(super) fn note_origin(&mut self, change: &Change) {
        let Change::Slots { service, slots, from, to, .. } = change else { return };
        let cell_of = |server: &ServerId| Some(self.state.servers.get(server)?.cell.clone());
        let goes_elsewhere = to.as_ref().and_then(cell_of).is_some_and(|cell| cell != self.me.cell);
        let origin = from.as_ref().filter(|from| to.as_ref() != Some(*from));
        let origin = origin.and_then(|server| Some((server.clone(), cell_of(server)?)));
        for slot in slots {
            let slot = SlotOf { service: service.clone(), slot: Some(*slot) };
            if goes_elsewhere {
                self.origins.0.remove(&slot);
            } else if let Some((server, cell)) = origin.clone() {
                self.origins.0.insert(slot, Origin { server, cell });
            }
        }
    }

    /// Tells traffic what to remember for each server that this host attends.
    pub(super) fn keep_memory(&mut self, now: Instant) {
        self.traffic.memory.look_at_clock(self.timing.alive_within);
        let open = self.tended.iter().filter(|(_, tended)| tended.open);
        for server in open.map(|(server, _)| server.clone()).collect::<Vec<_>>() {
            self.keep_memory_of(&server, now);
        }
    }

    /// Whether the server may be handed over as far as its memory is concerned.
    ///
    /// Once the successor has taken over it refuses copies. It would know the last requests as sent only, and refuse their repeats, also of
    /// those that were waiting here and never sent.
    pub(super) fn has_copied(&mut self, server: &ServerId) -> bool {
        let Some(tended) = self.tended.get_mut(server) else { return true };
        if tended.parting == Parting::No && !self.traffic.memory.is_idle(server) {
            tended.parting = Parting::Waiting;
            let memory = self.traffic.memory.clone();
            let server = server.clone();
            self.spawn_event(async move {
                // An end that does not arrive is taken for a request that may have run.
                let _ = tokio::time::timeout(LAST_COPIES, memory.until_idle(&server)).await;
                Some(Event::Copied { server })
            });
            return false;
        }
        tended.parting != Parting::Waiting
    }

    /// The last copies have arrived, or were waited for long enough.
    pub(super) fn copied(&mut self, server: &ServerId) {
        if let Some(tended) = self.tended.get_mut(server).filter(|t| t.parting == Parting::Waiting)
        {
            tended.parting = Parting::Done;
            self.report_traffic(server);
        }
    }

    pub(super) fn keep_memory_of(&self, server: &ServerId, now: Instant) {
        let Some(tended) = self.tended.get(server) else { return };
        if let Some(wanted) = self.wanted_memory(server, tended, now) {
            self.traffic.memory.keep(server, wanted);
        }
    }

    fn wanted_memory(&self, server: &ServerId, tended: &Tended, now: Instant) -> Option<Wanted> {
        let division = self.state.services.get(&tended.service)?;
        let taken_over = tended.granted.taken_over();
        let owned = self.state.slots_of(server);
        let permitted = owned.filter(|(_, slot, _)| tended.granted.slots.contains(slot));
        let slots = permitted.map(|(service, slot, owner)| {
            let slot_of = SlotOf { service: service.clone(), slot: Some(slot) };
            let source = self.source(server, &slot_of, &owner, taken_over);
            (slot, WantedSlot { epoch: owner.epoch, source })
        });
        let others = |addr: &SocketAddr| *addr != self.me.peer_address;
        let ranked = self.members.ranked(now, server.as_str());
        Some(Wanted {
            service: tended.service.clone(),
            divided_by: division.slots(),
            split: division.split().clone(),
            token: tended.token,
            before: taken_over.map_or(Token(0), |before| before.token),
            slots: slots.collect(),
            live: self.members.live(now).map(|host| host.peer_address).filter(others).collect(),
            successor: ranked.iter().map(|host| host.peer_address).find(others),
        })
    }

    /// Where the memory of a slot is. What the server reported as granted before this host took over stayed with the attendant before; a newer record
    /// names the owner before.
    fn source(
        &self,
        server: &ServerId,
        slot: &SlotOf,
        owner: &Owner,
        taken_over: Option<&GrantState>,
    ) -> Source {
        let is_kept = |before: &&GrantState| {
            slot.slot.is_some_and(|slot| before.slots.contains(&slot))
                && before.based_on.is_some_and(|based_on| owner.since <= based_on)
        };
        if let Some(before) = taken_over.filter(is_kept) {
            return Source::Kept { before: before.token, founded: owner.how == How::Founded };
        }
        match owner.how {
            How::Founded => Source::Fresh,
            How::Reassigned | How::Joined | How::Split => {
                Source::From { server: Some(server.clone()), hosts: Vec::new() }
            }
            How::Moved | How::Evicted | How::Placed | How::Released => {
                let origin = self.origins.0.get(slot);
                let hosts = origin.map_or(&[][..], |origin| self.cells.of(&origin.cell));
                let others = hosts.iter().copied().filter(|addr| *addr != self.me.peer_address);
                let server = origin.map(|origin| origin.server.clone());
                Source::From { server, hosts: others.collect() }
            }
        }
    }
}
