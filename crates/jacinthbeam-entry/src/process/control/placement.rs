//! Which slots should leave the backend servers that this host attends, and which hot keys get a slot of their own.
//!
//! The decisions are those of `jacinthbeam-placement`; this module measures, asks a few other hosts for their loads, and
//! hands planned moves to the attendants. The cost is bounded by the servers attended here and a fixed sample of others.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_config::Division;
use jacinthbeam_lease::attendant;
use jacinthbeam_peer::message::{Answer, Question, ServerLoad};
use jacinthbeam_placement::{
    Policy, Progress, View,
    convert::{self, Known, Measured},
    evict, hot, joined, rebalance,
    sample::{self, MAX_SAMPLE},
    view::{Load, Standing},
};
use jacinthbeam_state::{Change, How, Record};
use jacinthbeam_types::prelude::*;

use super::{Control, Event};
use crate::version::meter::Reading;

/// Time between two decisions, and length of one window of measurement.
const WINDOW: Duration = Duration::from_secs(2);
/// Windows that a load is the mean of.
const WINDOWS: usize = 5;
/// Other hosts asked for their loads in each window.
const ASKED: usize = 4;
/// A planned move that is not done by then is given up, so that its slot is not held back for good.
const PATIENCE: Duration = Duration::from_secs(20);
/// Loads kept of servers that this host does not attend.
const MAX_LOADS: usize = 1024;

/// What placement remembers.
#[derive(Debug)]
pub struct Placement {
    started: Instant,
    next: Instant,
    meters: BTreeMap<ServerId, VecDeque<Reading>>,
    /// Loads of other hosts' servers.
    heard: BTreeMap<ServerId, Measured>,
    progress: BTreeMap<ServiceName, Progress>,
    cooling: BTreeMap<ServerId, hot::Cooling>,
    cold: BTreeMap<ServerId, Instant>,
    begun: BTreeMap<SlotOf, Instant>,
    rng: fastrand::Rng,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SlotOf {
    server: ServerId,
    slot: SlotId,
}

impl Placement {
    /// Knows nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            next: now + WINDOW,
            meters: BTreeMap::new(),
            heard: BTreeMap::new(),
            progress: BTreeMap::new(),
            cooling: BTreeMap::new(),
            cold: BTreeMap::new(),
            begun: BTreeMap::new(),
            rng: fastrand::Rng::new(),
        }
    }

    fn note_reading(&mut self, server: &ServerId, reading: Reading) {
        let readings = self.meters.entry(server.clone()).or_default();
        readings.push_back(reading);
        if readings.len() > WINDOWS {
            readings.pop_front();
        }
    }

    fn load(&self, server: &ServerId) -> Option<Load> {
        let readings = self.meters.get(server)?;
        let busy = readings.iter().map(|reading| reading.total).sum();
        Some(Load::of(busy, WINDOW * readings.len() as u32))
    }

    fn slot_loads(&self, server: &ServerId) -> BTreeMap<SlotId, Load> {
        let Some(readings) = self.meters.get(server) else { return BTreeMap::new() };
        let window = WINDOW * readings.len() as u32;
        let mut loads: BTreeMap<SlotId, Load> = BTreeMap::new();
        for (slot, busy) in readings.iter().flat_map(|reading| &reading.slots) {
            *loads.entry(*slot).or_default() += Load::of(*busy, window);
        }
        loads
    }
}

impl Control {
    /// Measures and decides when a window ends.
    pub(super) fn place(&mut self, now: Instant) {
        if now < self.placement.next {
            return;
        }
        self.placement.next = now + WINDOW;
        self.measure();
        self.ask_for_loads();
        self.give_up_moves(now);
        let attended: BTreeSet<ServiceName> =
            self.open_servers().map(|(_, service)| service.clone()).collect();
        for service in attended {
            self.place_service(now, &service);
        }
    }

    fn open_servers(&self) -> impl Iterator<Item = (&ServerId, &ServiceName)> {
        let open = self.tended.iter().filter(|(_, tended)| tended.open);
        open.map(|(id, tended)| (id, &tended.service))
    }

    fn measure(&mut self) {
        let open: Vec<(ServerId, Reading)> = self
            .tended
            .iter()
            .filter(|(_, tended)| tended.open)
            .filter_map(|(id, tended)| Some((id.clone(), tended.attended.as_ref()?.read_meter())))
            .collect();
        self.placement.meters.retain(|id, _| open.iter().any(|(open, _)| open == id));
        for (server, reading) in open {
            self.placement.note_reading(&server, reading);
        }
    }

    /// Asks a few hosts picked at random, so that what a host is asked does not grow with the fleet.
    fn ask_for_loads(&mut self) {
        let mut hosts: Vec<SocketAddr> =
            self.list.entry_hosts.iter().map(|host| host.peer_address).collect();
        hosts.retain(|addr| *addr != self.me.peer_address);
        for addr in self.placement.rng.choose_multiple(hosts, ASKED) {
            let peers = self.peers.clone();
            let timeout = self.timing.alive_within;
            self.spawn_event(async move {
                match peers.ask(addr, &Question::Loads, timeout).await {
                    Ok(Answer::Loads(loads)) => Some(Event::Loads(loads)),
                    Ok(_) | Err(_) => None,
                }
            });
        }
    }

    /// Loads of the servers attended here.
    pub(super) fn answer_loads(&self) -> Answer {
        let load = |id: &ServerId| Some((self.placement.load(id)?.0 * 1000.0) as u32);
        let loads = self
            .open_servers()
            .filter_map(|(id, _)| Some(ServerLoad { server: id.clone(), milli_busy: load(id)? }));
        Answer::Loads(loads.collect())
    }

    /// Another host told its loads.
    pub(super) fn heard_loads(&mut self, loads: Vec<ServerLoad>) {
        let at = self.clock.now();
        if self.placement.heard.len() + loads.len() > MAX_LOADS {
            self.placement.heard.clear();
        }
        for ServerLoad { server, milli_busy } in loads {
            let load = Load(f64::from(milli_busy) / 1000.0);
            self.placement.heard.insert(server, Measured { load, at });
        }
    }

    fn place_service(&mut self, now: Instant, service: &ServiceName) {
        let Some(cfg) = self.state.service(service) else { return };
        if matches!(cfg.division, Division::Undivided) {
            return;
        }
        let active = self.state.servers_of(service).count().max(1);
        let own = self.open_servers().filter(|(_, other)| *other == service).count();
        let policy = Policy::configured(&cfg.balance, own as f64 / active as f64);
        let Some(mut view) = self.view(service) else { return };
        let mut progress = self.placement.progress.remove(service).unwrap_or_default();
        progress.add_pending(&mut view, &policy, now);
        let mut rng = self.placement.rng.clone();
        let mut moves = Vec::new();
        for (server, seen) in &view.servers {
            if seen.attended && seen.standing == Standing::Draining {
                let leaving = evict::leave(&view, server, &policy, &mut rng);
                moves.extend(
                    leaving.into_iter().filter(|planned| !progress.is_moving(planned.slot)),
                );
            }
        }
        if moves.is_empty() {
            for (server, seen) in &view.servers {
                if matches!(seen.standing, Standing::Cold { .. }) {
                    moves.extend(joined(&view, server, &policy, &progress, now, &mut rng));
                }
            }
        }
        if moves.is_empty() {
            moves.extend(rebalance(&view, &[], &policy, &progress, now, &mut rng));
        }
        for planned in &moves {
            progress.begin(planned, &policy.pace, now);
            self.hand_over(now, planned);
        }
        self.split_hot_keys(now, service, &view, &policy, &mut progress);
        self.placement.rng = rng;
        self.placement.progress.insert(service.clone(), progress);
    }

    /// Tells the attendant of the losing server; it holds, drains, releases and records the move.
    fn hand_over(&mut self, now: Instant, planned: &jacinthbeam_placement::PlannedMove) {
        let Some(tended) = self.tended.get_mut(&planned.from) else { return };
        if tended.planned.iter().any(|known| known.slot == planned.slot) {
            return;
        }
        tended.planned.push(attendant::PlannedMove {
            slot: planned.slot,
            to: planned.to.clone(),
            why: planned.why.to_string(),
        });
        let slot = SlotOf { server: planned.from.clone(), slot: planned.slot };
        self.placement.begun.insert(slot, now);
    }

    /// What this host knows of a service: the servers it attends, and a bounded sample of others.
    fn view(&mut self, service: &ServiceName) -> Option<View> {
        let attended: BTreeMap<ServerId, BTreeMap<SlotId, Load>> = self
            .open_servers()
            .filter(|(_, other)| *other == service)
            .map(|(id, _)| (id.clone(), self.placement.slot_loads(id)))
            .collect();
        let now = self.clock.now();
        let mut loads = self.placement.heard.clone();
        for id in attended.keys() {
            if let Some(load) = self.placement.load(id) {
                loads.insert(id.clone(), Measured { load, at: now });
            }
        }
        let others: Vec<ServerId> = self
            .state
            .servers_of(service)
            .filter(|(_, server)| !self.is_abandoned(&server.cell))
            .map(|(id, _)| id.clone())
            .filter(|id| !attended.contains_key(id))
            .collect();
        let sample = sample::pick(&others, MAX_SAMPLE, &mut self.placement.rng);
        let leaving = self.leaving_servers();
        let known = Known {
            attended: &attended,
            sample: &sample,
            loads: &loads,
            cold: &self.placement.cold,
            leaving: &leaving,
            started: self.placement.started,
        };
        convert::view(&self.state, service, &known, |offset| Some(self.observed.at(offset)))
    }

    fn leaving_servers(&self) -> BTreeSet<ServerId> {
        let listed = self.list.backend_servers.iter().filter(|server| server.leaving);
        let tended = self.tended.iter().filter(|(_, tended)| tended.leaving);
        listed.map(|server| server.id.clone()).chain(tended.map(|(id, _)| id.clone())).collect()
    }

    /// Where the slots of a lost server go.
    pub(super) fn evict_targets(
        &self,
        lost: &ServerId,
    ) -> Vec<jacinthbeam_state::record::SlotTarget> {
        self.evict_targets_after(lost, &BTreeMap::new())
    }

    /// The same, once servers have been given slots of this load.
    pub(super) fn evict_targets_after(
        &self,
        lost: &ServerId,
        given: &BTreeMap<ServerId, Load>,
    ) -> Vec<jacinthbeam_state::record::SlotTarget> {
        let Some(known) = self.state.servers.get(lost) else { return Vec::new() };
        let Some(cfg) = self.state.service(&known.service) else { return Vec::new() };
        let policy = Policy::configured(&cfg.balance, 1.0);
        let loads = self.placement.slot_loads(lost);
        let slots = known.slots().iter().map(|slot| (*slot, loads.get(slot).copied())).collect();
        let Some(mut view) = self.view_of_all(&known.service) else { return Vec::new() };
        for (server, load) in given {
            if let Some(seen) = view.servers.get_mut(server) {
                seen.pending += *load;
            }
        }
        let mut rng = self.placement.rng.clone();
        evict::evict_targets(&view, lost, &slots, &policy, &mut rng)
            .into_iter()
            .map(|(slot, to)| jacinthbeam_state::record::SlotTarget { slot, to })
            .collect()
    }

    /// A view with every active server of the service that is not cut off: a lost server's slots are spread once, and evenly.
    fn view_of_all(&self, service: &ServiceName) -> Option<View> {
        let sample: Vec<ServerId> = self
            .state
            .servers_of(service)
            .filter(|(_, server)| !self.is_abandoned(&server.cell))
            .map(|(id, _)| id.clone())
            .collect();
        let mut loads = self.placement.heard.clone();
        let now = self.clock.now();
        for (id, _) in self.open_servers() {
            if let Some(load) = self.placement.load(id) {
                loads.insert(id.clone(), Measured { load, at: now });
            }
        }
        let leaving = self.leaving_servers();
        let known = Known {
            attended: &BTreeMap::new(),
            sample: &sample,
            loads: &loads,
            cold: &self.placement.cold,
            leaving: &leaving,
            started: self.placement.started,
        };
        convert::view(&self.state, service, &known, |offset| Some(self.observed.at(offset)))
    }

    /// Takes note of a record that was read.
    pub(super) fn note_placed(&mut self, change: &Change) {
        let now = self.clock.now();
        match change {
            Change::Joined { server, .. } => {
                self.placement.cold.insert(server.clone(), now);
            }
            Change::Evicted { server } | Change::Left { server } => {
                self.placement.cold.remove(server);
                self.placement.heard.remove(server);
            }
            Change::Slots { service, slots, from: Some(from), to, how } => {
                let done = to.as_ref() != Some(from) && *how == How::Moved;
                self.end_moves(now, service, from, slots, done);
            }
            _ => {}
        }
    }

    fn end_moves(
        &mut self,
        now: Instant,
        service: &ServiceName,
        from: &ServerId,
        slots: &[SlotId],
        done: bool,
    ) {
        if let Some(progress) = self.placement.progress.get_mut(service) {
            slots.iter().for_each(|slot| progress.end(*slot, done, now));
        }
        for slot in slots {
            self.placement.begun.remove(&SlotOf { server: from.clone(), slot: *slot });
        }
        let Some(tended) = self.tended.get_mut(from) else { return };
        tended.planned.retain(|planned| !slots.contains(&planned.slot));
        if let Some(attended) = tended.attended.as_ref().filter(|_| done) {
            attended.moved(&slots.iter().copied().collect());
        }
    }

    /// Ends moves whose drain or record takes too long; a leaving server's are planned anew in the next window.
    fn give_up_moves(&mut self, now: Instant) {
        let late = |since: &Instant| now > *since + PATIENCE;
        let late: Vec<SlotOf> = self
            .placement
            .begun
            .iter()
            .filter(|(_, since)| late(since))
            .map(|(slot, _)| slot.clone())
            .collect();
        for slot in late {
            log::warn!("move: slot {} of {} is given up for now", slot.slot, slot.server);
            let Some(service) = self.tended.get(&slot.server).map(|tended| tended.service.clone())
            else {
                self.placement.begun.remove(&slot);
                continue;
            };
            self.end_moves(now, &service, &slot.server, &[slot.slot], false);
        }
    }

    fn split_hot_keys(
        &mut self,
        now: Instant,
        service: &ServiceName,
        view: &View,
        policy: &Policy,
        progress: &mut Progress,
    ) {
        let Some(division) = self.state.services.get(service).cloned() else { return };
        let splits = convert::splits(&division);
        let keys = hot::Keys { slots: division.slots(), splits: &splits };
        let servers: Vec<ServerId> = self
            .open_servers()
            .filter(|(_, of)| *of == service)
            .map(|(id, _)| id.clone())
            .collect();
        for server in servers {
            let Some(attended) = self.tended.get(&server).and_then(|t| t.attended.clone()) else {
                continue;
            };
            let sketch = attended.heaviest_keys();
            let owned = hot::Owned { server: &server, sketch: &sketch, window: WINDOW * 2 };
            let mut cooling = self.placement.cooling.remove(&server).unwrap_or_default();
            let actions = hot::plan(&owned, &keys, view, policy, &mut cooling, now);
            self.placement.cooling.insert(server, cooling);
            for action in actions {
                match action {
                    hot::Action::MoveBack(planned) => {
                        progress.begin(&planned, &policy.pace, now);
                        self.hand_over(now, &planned);
                    }
                    hot::Action::Split { key, parent, .. } => {
                        let Some(base) = division.owner(parent).map(|owner| owner.epoch) else {
                            continue;
                        };
                        let slot = division.next_split();
                        let service = service.clone();
                        self.append_unattended(
                            Record::Split { service, key, slot, base },
                            "a hot key",
                        );
                        // The id of the next one depends on this one being read.
                        break;
                    }
                    hot::Action::Merge { key, slot, parent } => {
                        let epoch = |slot| division.owner(slot).map(|owner| owner.epoch);
                        let (Some(base), Some(parent_base)) = (epoch(slot), epoch(parent)) else {
                            continue;
                        };
                        let service = service.clone();
                        self.append_unattended(
                            Record::Merge { service, key, base, parent_base },
                            "the key cooled down",
                        );
                    }
                }
            }
        }
    }

    /// Appends a record whose outcome shows in the fold; if it does not, the next window decides again.
    fn append_unattended(&self, record: Record, why: &str) {
        tokio::spawn(self.append(record, why.to_owned()));
    }
}
