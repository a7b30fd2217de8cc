//! Decides, for one service, what the host that grants its keys does next.
//!
//! At most one life of a process leads at a time: the one that the newest record names. It goes on only within [`timing::PROOF`]
//! of the last confirmation by the store, and everything it changes is recorded in the store, on the condition that nothing
//! else was, before a new owner hears of it. A leader that is replaced, cut off or suspended therefore can't name an owner,
//! and its renewals are refused by servers that its successor has reached, or end with its last confirmation.

mod contact;
mod event;
mod leading;
mod moving;
mod order;
mod stopping;
pub mod timing;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_route::{Server, Servers};
use jacinthbeam_types::prelude::*;

pub use contact::{Outcome, longest_hold};
pub use event::{Event, NoAnswer};
use leading::Leading;
pub use order::{Call, Order};
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
    pub settled: bool,
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
    known: bool,
    newest: Option<Map>,
    claim: Option<Claim>,
    next_claim: Option<Instant>,
    leading: Option<Leading>,
    /// Records whose fate has not been told yet.
    ///
    /// A record can be read back before the answer to its append arrives. If another were ordered by then, that answer would
    /// be taken for the other's, and grants would follow from a map that the store may never keep: a successor, which reads
    /// the store, would grant the same keys to their former owners. With one at a time, each answer has one meaning.
    pending: u32,
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
    replaces: Vec<Leader>,
}

impl Grantor {
    /// A grantor that knows nothing yet.
    pub fn new(service: ServiceName, me: Leader) -> Self {
        Self {
            service,
            me,
            duty: false,
            stopping: None,
            known: false,
            newest: None,
            claim: None,
            next_claim: None,
            leading: None,
            pending: 0,
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
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        let leading = self.leading.as_ref()?;
        Some(now.saturating_duration_since(leading.proof()))
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
    pub fn step(&mut self, view: View<'_>, event: Event) -> Vec<Order> {
        if matches!(event, Event::Recorded { .. } | Event::NotRecorded) {
            self.pending = self.pending.saturating_sub(1);
        }
        let orders = self.react(view, event);
        let records = orders.iter().filter(|order| matches!(order, Order::Record(_)));
        self.pending += records.count() as u32;
        orders
    }

    fn react(&mut self, view: View<'_>, event: Event) -> Vec<Order> {
        match event {
            Event::Duty(duty) => self.duty = duty,
            Event::Read { asked, map } => self.on_read(view, asked, map),
            Event::Recorded { asked } => self.on_recorded(view, asked),
            Event::NotRecorded => self.on_not_recorded(view),
            Event::Stop => self.stopping = Some(view.now),
            Event::End => return self.end(view.now),
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
                return grant.into_iter().chain(leading.check_opened(view.now)).collect();
            }
            Event::Released { range, token, handover } => {
                self.while_leading(|leading| leading.on_released(range, token, handover));
                return Vec::new();
            }
            Event::Heard(map) => self.on_heard(view, &map),
            Event::Stopped { leader, epoch, others_left } => {
                self.on_stopped(leader, epoch, view.now + others_left.max(timing::CALL_TAKES));
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

    fn act(&mut self, view: View<'_>) -> Vec<Order> {
        if let Some(since) = self.stopping {
            return self.wind_up(view, since);
        }
        match &mut self.leading {
            Some(leading) if leading.reaches_too_few(view) => self.resign(view),
            Some(leading) => leading.act(view, &self.service, self.pending == 0),
            None => self.tell_stopped(view.now).into_iter().chain(self.try_claim(view)).collect(),
        }
    }

    /// A host that the store turns away hears of its successor from others, seconds before its own right ends. Stopping is
    /// always safe, whatever the source.
    fn on_heard(&mut self, view: View<'_>, map: &Map) {
        let newer = self.leading.as_ref().is_some_and(|leading| leading.map.epoch < map.epoch);
        if newer && !self.is_me(Some(map)) {
            // What was read before is old: a claim needs another read.
            self.known = false;
            self.step_down(view.now, map);
        }
    }

    fn is_me(&self, map: Option<&Map>) -> bool {
        map.is_some_and(|map| map.leader.as_ref() == Some(&self.me))
    }

    fn on_read(&mut self, view: View<'_>, asked: Instant, map: Option<Map>) {
        self.known = true;
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
            (Some(leading), _) => leading.on_own_record(asked, newest),
            (None, Some(claim)) => self.begin(view, asked, newest, &claim),
            // Without a claim there is nothing to lead: this process has stopped.
            (None, None) => {}
        }
    }

    fn on_recorded(&mut self, view: View<'_>, asked: Instant) {
        if let Some(leading) = &mut self.leading {
            leading.on_recorded(view.now, asked);
            self.newest = Some(leading.map.clone());
        } else if let Some(claim) = self.claim.take() {
            let newer = self.newest.clone().filter(|newest| claim.map.is_older_than(newest));
            self.begin(view, asked, claim.map.clone(), &claim);
            // Its successor's record was read before the answer to the claim came. Leading on, it would put its next record over that one, and
            // two hosts would grant under tokens of two epochs. It grants nothing, and says so to the successor, which waits for it.
            match newer {
                Some(newer) => self.step_down(view.now, &newer),
                None => self.newest = Some(claim.map),
            }
        }
    }

    fn on_not_recorded(&mut self, view: View<'_>) {
        self.next_claim = Some(view.now + timing::CLAIM_AGAIN);
        self.while_leading(|leading| leading.on_not_recorded(view.now));
    }

    fn begin(&mut self, view: View<'_>, asked: Instant, map: Map, claim: &Claim) {
        // A host that said that it has stopped may have had a call under way.
        let others = if claim.replaces.is_empty() { timing::CALL_TAKES } else { timing::PROOF };
        let replaces = claim.replaces.clone();
        self.replaced = None;
        let mut leading = Leading::new(map, asked, view.now + others, replaces);
        self.stopped.iter().for_each(|s| leading.on_stopped(&s.leader, s.epoch, s.until));
        self.leading = Some(leading);
    }

    fn try_claim(&mut self, view: View<'_>) -> Option<Order> {
        let early = self.next_claim.is_some_and(|at| view.now < at);
        if !self.duty || !self.known || early || self.pending > 0 {
            return None;
        }
        let mut map = self.newest.clone().unwrap_or_else(Map::unowned);
        if self.newest.is_none() && !self.divide(view, &mut map) {
            return None;
        }
        // An earlier claim may still be kept late; what it would have replaced counts too.
        let mut replaces = self.claim.take().map_or_else(Vec::new, |claim| claim.replaces);
        replaces.extend(map.leader.clone().filter(|leader| !replaces.contains(leader)));
        map.begin_epoch(self.me.clone());
        self.claim = Some(Claim { map: map.clone(), replaces });
        self.next_claim = Some(view.now + timing::CLAIM_AGAIN);
        Some(Order::Record(map))
    }

    /// Divides the keys for the first time. Returns whether there was anyone to give them to.
    fn divide(&self, view: View<'_>, map: &mut Map) -> bool {
        if !view.settled {
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
