//! Decides, for one service, what the host that grants its keys does next.
//!
//! At most one life of a process leads at a time: the one that the newest record names. It goes on only within [`timing::CONFIRMATION_VALID_FOR`]
//! of the last confirmation by the store, and everything it changes is recorded in the store, on the condition that nothing
//! else was, before a new owner hears of it. A leader that is replaced, cut off or suspended therefore can't name an owner,
//! and its renewals are refused by servers that its successor has reached, or end with its last confirmation.

mod action;
mod event;
mod leading;
mod owner_state;
mod pending_move;
mod stopping;
pub mod timing;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_route::{Server, Servers};
use jacinthbeam_types::prelude::*;

pub use action::{Action, RangeGrant};
pub use event::{Event, NoAnswer};
use leading::Leading;
pub use owner_state::{Outcome, longest_hold};
use stopping::{Replaced, Stopped};

use crate::{
    admission::{self, Gate},
    balance::{self, Candidate},
    key::KeyRange,
    map::{Leader, Map, Owner},
};

/// What is known at the time of an event.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Now, on a clock that counts suspension.
    pub now: Instant,
    /// The backend servers.
    pub servers: &'a Servers,
    /// Whether the list has been known and unchanged for a while, so that a first division is worth making.
    pub servers_stable: bool,
}

/// The part of one host in granting the keys of one service.
#[derive(Debug)]
pub struct Grantor {
    service: ServiceName,
    me: Leader,
    duty: bool,
    /// When the word came that this process is about to stop.
    stopping: Option<Instant>,
    /// Whether a read has told what the newest record is.
    has_read: bool,
    newest: Option<Map>,
    claim: Option<Claim>,
    next_claim: Option<Instant>,
    leading: Option<Leading>,
    /// Records whose fate has not been told yet.
    ///
    /// A record can be read back before the answer to its append arrives. If another were ordered by then, that answer would
    /// be taken for the other's, and grants would follow from a map that the store may never keep: a successor, which reads
    /// the store, would grant the same keys to their former owners. With one at a time, each answer has one meaning.
    pending_records: u32,
    replaced: Option<Replaced>,
    /// Hosts that said that they have stopped.
    stopped: Vec<Stopped>,
}

/// A claim that is on its way to the store, or whose fate is not known.
#[derive(Debug)]
struct Claim {
    map: Map,
    /// Predecessors, which may go on renewing for as long as they have a confirmation from before the claim. More than one if
    /// an earlier claim may be the one that is kept.
    predecessors: Vec<Leader>,
}

impl Grantor {
    /// A grantor that knows nothing yet.
    pub fn new(service: ServiceName, me: Leader) -> Self {
        Self {
            service,
            me,
            duty: false,
            stopping: None,
            has_read: false,
            newest: None,
            claim: None,
            next_claim: None,
            leading: None,
            pending_records: 0,
            replaced: None,
            stopped: Vec::new(),
        }
    }

    /// Whether this process leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.leading.is_some()
    }

    /// Which owners are asked for more than they should be sent, given the objective of the least urgent requests. Empty
    /// unless this process leads.
    pub fn gates(&self, view: View<'_>, objective: Duration) -> BTreeMap<ServerId, Gate> {
        let Some(leading) = &self.leading else { return BTreeMap::new() };
        let mean = leading.mean_work(view.servers, &self.service);
        let servers = view.servers.iter().filter(|server| server.service == self.service);
        let gate = |server: &Server| {
            let work = leading.demand.service_time(&server.id).unwrap_or(mean);
            let load = leading.demand.load(&server.id, server.slots, work)?;
            Some((server.id.clone(), admission::gate(&load, objective)?))
        };
        servers.filter_map(gate).collect()
    }

    /// While this process leads, the time since the store confirmed its right.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let leading = self.leading.as_ref()?;
        Some(now.saturating_duration_since(leading.confirmed_at()))
    }

    /// While this process leads and something is asked, requests of the busiest owner over the mean of all owners.
    pub fn imbalance(&self) -> Option<f64> {
        let leading = self.leading.as_ref()?;
        balance::imbalance(&leading.map, &leading.demand.rates(&leading.map))
    }

    /// The newest map known, also when others lead.
    pub fn map(&self) -> Option<&Map> {
        self.leading.as_ref().map(|leading| &leading.map).or(self.newest.as_ref())
    }

    /// Takes an event and says what to do.
    pub fn step(&mut self, view: View<'_>, event: Event) -> Vec<Action> {
        if matches!(event, Event::Recorded { .. } | Event::NotRecorded) {
            self.pending_records = self.pending_records.saturating_sub(1);
        }
        let actions = self.react(view, event);
        let records = actions.iter().filter(|action| matches!(action, Action::Record(_)));
        self.pending_records += records.count() as u32;
        actions
    }

    fn react(&mut self, view: View<'_>, event: Event) -> Vec<Action> {
        match event {
            Event::Duty(duty) => self.duty = duty,
            Event::Read { sent_at, map } => self.on_read(view, sent_at, map),
            Event::Recorded { sent_at } => self.on_recorded(view, sent_at),
            Event::NotRecorded => self.on_not_recorded(view),
            Event::ShutdownStarted => self.stopping = Some(view.now),
            Event::Exit => return self.end(view.now),
            // These come hundreds of times a second from a large fleet, and a look at everything takes a time that grows with it: a
            // host that granted 1,100 ranges heard of a configuration 3.9 s late, behind what it had to do for each answer. The next tick
            // is soon enough for what they change, but for new ranges of the same server.
            Event::Load { from, report } => {
                self.while_leading(|leading| leading.demand.add(&from, view.now, &report));
                return Vec::new();
            }
            Event::Granted { server, outcome, last_call, confirmed, refused } => {
                let Some(leading) = &mut self.leading else { return Vec::new() };
                leading.on_granted(view.now, &server, outcome, last_call, &confirmed, refused);
                let grant = leading.grant(&server, view.now);
                return grant.into_iter().chain(leading.check_new_connections(view.now)).collect();
            }
            Event::Released { range, token, handover } => {
                self.while_leading(|leading| leading.on_released(range, token, handover));
                return Vec::new();
            }
            Event::PeerMap(map) => self.on_heard(view, &map),
            Event::PeerStopped { leader, epoch, others_left } => {
                self.on_stopped(leader, epoch, view.now + others_left.max(timing::MAX_CALL_TIME));
            }
            Event::Tick => {}
        }
        self.act(view)
    }

    fn while_leading(&mut self, f: impl FnOnce(&mut Leading)) {
        if let Some(leading) = &mut self.leading {
            f(leading);
        }
    }

    fn act(&mut self, view: View<'_>) -> Vec<Action> {
        if let Some(since) = self.stopping {
            return self.shut_down(view, since);
        }
        match &mut self.leading {
            Some(leading) if leading.reaches_too_few(view) => self.resign(view),
            Some(leading) => leading.act(view, &self.service, self.pending_records == 0),
            None => {
                self.notify_successor(view.now).into_iter().chain(self.try_claim(view)).collect()
            }
        }
    }

    /// A host that the store turns away hears of its successor from others, seconds before its own right ends. Stopping is
    /// always safe, whatever the source.
    fn on_heard(&mut self, view: View<'_>, map: &Map) {
        let newer = self.leading.as_ref().is_some_and(|leading| leading.map.epoch < map.epoch);
        if newer && !self.is_me(Some(map)) {
            // What was read before is old: a claim needs another read.
            self.has_read = false;
            self.step_down(view.now, map);
        }
    }

    fn is_me(&self, map: Option<&Map>) -> bool {
        map.is_some_and(|map| map.leader.as_ref() == Some(&self.me))
    }

    fn on_read(&mut self, view: View<'_>, sent_at: Instant, map: Option<Map>) {
        self.has_read = true;
        let mine = self.is_me(map.as_ref());
        self.newest = map;
        let Some(newest) = self.newest.clone().filter(|_| mine) else {
            if let Some(newest) = self.newest.clone() {
                self.step_down(view.now, &newest);
            }
            self.leading = None;
            return;
        };
        // A process that has led before has left a record that names it too. Taken for the claim while that is on its way, it would lead on
        // in the old epoch and give out its tokens anew, below those that servers still have.
        let kept = self.claim.take_if(|claim| claim.map.epoch == newest.epoch);
        match (&mut self.leading, kept) {
            (Some(leading), _) => leading.on_own_record(sent_at, newest),
            (None, Some(claim)) => self.begin(view, sent_at, newest, &claim),
            // Without a claim there is nothing to lead: this process has stopped.
            (None, None) => {}
        }
    }

    fn on_recorded(&mut self, view: View<'_>, sent_at: Instant) {
        if let Some(leading) = &mut self.leading {
            leading.on_recorded(view.now, sent_at);
            self.newest = Some(leading.map.clone());
        } else if let Some(claim) = self.claim.take() {
            let newer = self.newest.clone().filter(|newest| claim.map.is_older_than(newest));
            self.begin(view, sent_at, claim.map.clone(), &claim);
            // Its successor's record was read before the answer to the claim came. Leading on, it would put its next record over that one, and
            // two hosts would grant under tokens of two epochs. It grants nothing, and says so to the successor, which waits for it.
            match newer {
                Some(newer) => self.step_down(view.now, &newer),
                None => self.newest = Some(claim.map),
            }
        }
    }

    fn on_not_recorded(&mut self, view: View<'_>) {
        self.next_claim = Some(view.now + timing::CLAIM_RETRY_DELAY);
        self.while_leading(|leading| leading.on_not_recorded(view.now));
    }

    fn begin(&mut self, view: View<'_>, sent_at: Instant, map: Map, claim: &Claim) {
        // A host that said that it has stopped may have had a call under way.
        let wait = if claim.predecessors.is_empty() {
            timing::MAX_CALL_TIME
        } else {
            timing::CONFIRMATION_VALID_FOR
        };
        let predecessors = claim.predecessors.clone();
        self.replaced = None;
        let mut leading = Leading::new(map, sent_at, view.now + wait, predecessors);
        self.stopped.iter().for_each(|s| leading.on_stopped(&s.leader, s.epoch, s.until));
        self.leading = Some(leading);
    }

    fn try_claim(&mut self, view: View<'_>) -> Option<Action> {
        let early = self.next_claim.is_some_and(|at| view.now < at);
        if !self.duty || !self.has_read || early || self.pending_records > 0 {
            return None;
        }
        let mut map = self.newest.clone().unwrap_or_else(Map::unowned);
        if self.newest.is_none() && !self.divide(view, &mut map) {
            return None;
        }
        // An earlier claim may still be kept late; what it would have replaced counts too.
        let mut predecessors = self.claim.take().map_or_else(Vec::new, |claim| claim.predecessors);
        predecessors.extend(map.leader.clone().filter(|leader| !predecessors.contains(leader)));
        map.begin_epoch(self.me.clone());
        self.claim = Some(Claim { map: map.clone(), predecessors });
        self.next_claim = Some(view.now + timing::CLAIM_RETRY_DELAY);
        Some(Action::Record(map))
    }

    /// Divides the keys for the first time. Returns whether there was anyone to give them to.
    fn divide(&self, view: View<'_>, map: &mut Map) -> bool {
        if !view.servers_stable {
            return false;
        }
        let servers: Vec<_> = view.servers.of(&self.service).collect();
        let slots: u32 = servers.iter().map(|server| server.slots).sum();
        let mut below = 0;
        for server in &servers {
            let at = |slots_below: u32| crate::key::KEY_COUNT * slots_below / slots;
            let (first, end) = (at(below), at(below + server.slots));
            below += server.slots;
            let Some(range) = KeyRange::new(first as u16, end.saturating_sub(1) as u16) else {
                continue;
            };
            let owner = Owner { server: server.id.clone(), addr: server.addr };
            map.assign(range, Some(owner), map.first_token(), None);
        }
        slots > 0
    }
}

/// The servers of a service that can be given keys, with what they can work off.
///
/// A cold server whose rate is bounded gets none while there are warm ones: its arrivals are the sum of what all hosts send, and a key may
/// become hot at any moment.
fn candidates(leading: &Leading, view: View<'_>, service: &ServiceName) -> Vec<Candidate> {
    let servers = view.servers.of(service).filter(|server| leading.is_usable(&server.id));
    let (bounded, free): (Vec<&Server>, Vec<&Server>) =
        servers.partition(|server| server.is_cold() && server.cold_rate.is_some());
    let mean = leading.mean_work(view.servers, service);
    let candidate = |server: &Server| {
        let work = leading.demand.service_time(&server.id).unwrap_or(mean);
        let owner = Owner { server: server.id.clone(), addr: server.addr };
        let capacity = f64::from(server.slots) / work.as_secs_f64().max(0.001);
        let cold = server.is_cold();
        let capacity = if cold { cold_capacity(server, capacity) } else { capacity };
        Candidate { owner, capacity, cold }
    };
    let servers = if free.is_empty() { bounded } else { free };
    servers.into_iter().map(candidate).collect()
}

/// What a cold server is given: less than its share, and no more than it takes.
fn cold_capacity(server: &Server, warm: f64) -> f64 {
    let most = server.cold_rate.map_or(f64::INFINITY, Rate::per_second);
    (warm * balance::COLD_CAPACITY_SHARE).min(most)
}
