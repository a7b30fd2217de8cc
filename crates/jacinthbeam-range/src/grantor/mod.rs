//! State machine that decides, for one service, what the host that grants its keys does next.
//!
//! At most one process incarnation leads at a time: the one named by the newest record in the
//! store. A leader may grant only within [`timing::MAJORITY_VALID_FOR`] of the last time that the
//! store confirmed it or more than half of the owners accepted its grants, and in any case only
//! within [`timing::CONFIRMATION_VALID_FOR`] of the store's last confirmation. Every
//! change of owner is first appended to the store, on the condition that nothing else was appended
//! meanwhile, and only then granted to the new owner. A leader that was replaced, partitioned or
//! suspended therefore cannot appoint an owner. Its renewals are refused by the servers that its
//! successor has reached, and elsewhere end when these limits expire.

mod action;
mod event;
mod leading;
mod owner_state;
mod pending_move;
mod stopping;
pub mod timing;

use std::{
    collections::{BTreeMap, BTreeSet},
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
    map::{self, Leader, Map, Owner},
    owners,
};

/// What the grantor can see at the time of an event.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Current time, on a clock that keeps running while the host is suspended.
    pub now: Instant,
    /// The listed backend servers.
    pub servers: &'a Servers,
    /// Whether the list has been known and unchanged for a while, so that the first assignment of
    /// keys is worth making.
    pub servers_stable: bool,
    /// Most servers of a service that are assigned keys; present owners keep theirs.
    pub max_owners: usize,
}

/// One host's state in granting the keys of one service.
#[derive(Debug)]
pub struct Grantor {
    service: ServiceName,
    me: Leader,
    /// Whether the store's consumer group has assigned the duty to grant to this host.
    duty: bool,
    /// When this process was told to shut down.
    stopping: Option<Instant>,
    /// Whether the newest record has been read from the store.
    has_read: bool,
    /// The newest record that was read or successfully appended.
    newest: Option<Map>,
    claim: Option<Claim>,
    /// No claim is made before this time.
    next_claim: Option<Instant>,
    leading: Option<Leading>,
    /// Number of appended records whose result has not arrived.
    ///
    /// A record can be read back before the answer to its append arrives. If another one were
    /// appended by then, the answer would be attributed to the wrong record, and grants would
    /// follow from a map that the store may never keep. A successor, which reads the store, would
    /// then grant the same keys to their former owners. With at most one record outstanding, each
    /// answer is unambiguous.
    pending_records: u32,
    replaced: Option<Replaced>,
    /// Hosts that reported that they no longer grant.
    stopped: Vec<Stopped>,
    /// The latest era of the store, and when this process first saw it.
    era: Option<(Era, Instant)>,
    /// Whether no record can have been lost, since the whole system has started for the first time and the store
    /// was not restored since.
    first_start: bool,
}

/// A claim of leadership that is being appended, or whose result is unknown.
#[derive(Debug)]
struct Claim {
    map: Map,
    /// Predecessors, which may go on renewing for as long as they have a confirmation from before
    /// the claim. More than one if an earlier claim may still turn out to be the committed one.
    predecessors: Vec<Leader>,
}

impl Grantor {
    /// A grantor that has neither the duty nor read the store.
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
            era: None,
            first_start: false,
        }
    }

    /// Tells that the whole system starts for the first time, so that no record can have been lost.
    pub fn at_first_start(self, first_start: bool) -> Self {
        Self { first_start, ..self }
    }

    /// Whether this process leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.leading.is_some()
    }

    /// Admission gates for owners with more demand than they should be sent, given the objective of
    /// the least urgent requests. Empty unless this process leads.
    pub fn gates(&self, view: View<'_>, objective: Duration) -> BTreeMap<ServerId, Gate> {
        let Some(leading) = &self.leading else { return BTreeMap::new() };
        let mean = leading.mean_service_time();
        let servers = leading.owner_ids().into_iter().filter_map(|id| view.servers.get(id));
        let gate = |server: &Server| {
            let service_time = leading.demand.service_time(&server.id).unwrap_or(mean);
            let load = leading.demand.load(&server.id, server.slots, service_time)?;
            Some((server.id.clone(), admission::gate(&load, objective)?))
        };
        servers.filter_map(gate).collect()
    }

    /// Time since the store last confirmed this leader; `None` unless this process leads.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let leading = self.leading.as_ref()?;
        Some(now.saturating_duration_since(leading.confirmed_at()))
    }

    /// Load of the busiest owner over the mean of all owners; `None` unless this process leads and
    /// there are requests.
    pub fn imbalance(&self) -> Option<f64> {
        let leading = self.leading.as_ref()?;
        balance::imbalance(&leading.map, &leading.demand.rates(&leading.map))
    }

    /// The newest map known, also when another host leads.
    pub fn map(&self) -> Option<&Map> {
        self.leading.as_ref().map(|leading| &leading.map).or(self.newest.as_ref())
    }

    /// Handles an event and returns the actions that follow from it.
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
            Event::Read { sent_at, map, era } => self.on_read(view, sent_at, map, era),
            Event::Recorded { sent_at } => self.on_recorded(view, sent_at),
            Event::NotRecorded => self.on_not_recorded(view),
            Event::Partitioned if self.leads() => return self.resign(view),
            Event::Partitioned => {}
            Event::ShutdownStarted => self.stopping = Some(view.now),
            Event::Exit => return self.on_exit(view.now),
            // The next three events arrive hundreds of times a second in a large fleet, and a full
            // pass takes a time that grows with the fleet. With 1,100 ranges, a full pass
            // after each answer delayed a configuration by 3.9 s. The next tick is soon enough for
            // what these events change, except for new ranges of the same server.
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
            Event::PeerMap(map) => self.on_peer_map(view, &map),
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

    /// Steps down if another host already has a newer leader's map.
    ///
    /// A host whose access to the store fails learns of its successor from its peers, seconds
    /// before its own right to grant expires. Stepping down is always safe, whatever the source of
    /// the map.
    fn on_peer_map(&mut self, view: View<'_>, map: &Map) {
        let newer = self.leading.as_ref().is_some_and(|leading| leading.map.epoch < map.epoch);
        if newer && !self.is_me(Some(map)) {
            // What was read before is outdated, so a new claim needs another read.
            self.has_read = false;
            self.step_down(view.now, map);
        }
    }

    fn is_me(&self, map: Option<&Map>) -> bool {
        map.is_some_and(|map| map.leader.as_ref() == Some(&self.me))
    }

    fn on_read(&mut self, view: View<'_>, sent_at: Instant, map: Option<Map>, era: Era) {
        if self.era.is_none_or(|(known, _)| known < era) {
            self.first_start &= self.era.is_none();
            self.era = Some((era, view.now));
        }
        self.has_read = true;
        if self.may_have_lost_records(map.as_ref()) {
            self.on_restored(view.now, map, era);
            return;
        }
        let mine = self.is_me(map.as_ref());
        self.newest = map;
        let Some(newest) = self.newest.clone().filter(|_| mine) else {
            if let Some(newest) = self.newest.clone() {
                self.step_down(view.now, &newest);
            }
            self.leading = None;
            return;
        };
        // A process that has led before has left an older record that also names it. If that were
        // taken for the pending claim, this process would lead in the old epoch and reissue its
        // tokens, which are lower than those that servers already hold.
        let committed = self.claim.take_if(|claim| claim.map.epoch == newest.epoch);
        match (&mut self.leading, committed) {
            (Some(leading), _) => leading.on_own_record(sent_at, newest),
            (None, Some(claim)) => self.begin(view, sent_at, newest, &claim),
            // No claim is pending, so this process has stopped leading since.
            (None, None) => {}
        }
    }

    /// Whether records that followed this newest one may have been lost when the store was restored.
    fn may_have_lost_records(&self, newest: Option<&Map>) -> bool {
        let Some((era, _)) = self.era else { return false };
        match newest {
            Some(map) => map.is_stale(era),
            None => era > map::FIRST_ERA && !self.first_start,
        }
    }

    /// The store was restored, and its newest record may not be the last one that was acknowledged.
    ///
    /// A leader goes on with its own map if it was confirmed shortly before; any other host waits.
    fn on_restored(&mut self, now: Instant, newest: Option<Map>, era: Era) {
        self.newest = newest;
        // Its record may be lost, and one that was committed meanwhile doesn't show that nobody leads.
        self.claim = None;
        if let Some(leading) = &mut self.leading
            && !leading.resume_in(era, now)
        {
            self.leading = None;
        }
    }

    fn on_recorded(&mut self, view: View<'_>, sent_at: Instant) {
        if let Some(leading) = &mut self.leading {
            leading.on_recorded(view.now, sent_at);
            self.newest = Some(leading.map.clone());
        } else if let Some(claim) = self.claim.take() {
            let newer = self.newest.clone().filter(|newest| claim.map.is_older_than(newest));
            self.begin(view, sent_at, claim.map.clone(), &claim);
            // The successor's record was read before the answer to this claim arrived. If this
            // process kept leading, its next record would replace the successor's, and two hosts
            // would grant under tokens of two epochs. It grants nothing and notifies the successor,
            // which waits for it.
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
        // A predecessor that recorded that it has stopped may still have a call in flight.
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
        let (era, era_seen_at) = self.era?;
        let unsettled = self.newest.as_ref().is_some_and(|map| map.unsettled);
        let unsettled = unsettled || self.may_have_lost_records(self.newest.as_ref());
        if unsettled && view.now < era_seen_at + timing::restore_wait() {
            return None;
        }
        let mut map = self.newest.clone().unwrap_or_else(Map::unowned);
        if self.newest.is_none() && !self.divide(view, &mut map) {
            return None;
        }
        // An earlier claim may still be committed late, so its predecessors count too.
        let mut predecessors = self.claim.take().map_or_else(Vec::new, |claim| claim.predecessors);
        predecessors.extend(map.leader.clone().filter(|leader| !predecessors.contains(leader)));
        map.begin_epoch(self.me.clone(), era);
        self.claim = Some(Claim { map: map.clone(), predecessors });
        self.next_claim = Some(view.now + timing::CLAIM_RETRY_DELAY);
        Some(Action::Record(map))
    }

    /// Assigns the keys for the first time, in proportion to the servers' slots. Returns whether
    /// there was any server to assign them to.
    fn divide(&self, view: View<'_>, map: &mut Map) -> bool {
        let listed = || view.servers.of(&self.service);
        // The list of a large fleet changes for as long as its servers start.
        if !view.servers_stable && listed().count() < view.max_owners {
            return false;
        }
        let servers = owners::select(listed(), &BTreeSet::new(), view.max_owners);
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

/// The servers of a service that can be assigned keys, with their capacity.
///
/// A cold server with a bounded rate is left out while there are others: it receives the sum of
/// what all hosts send, and any key may become hot at any moment.
fn candidates(leading: &Leading, view: View<'_>, service: &ServiceName) -> Vec<Candidate> {
    let is_usable = |server: &&Server| {
        leading.is_usable(&server.id) && leading.takes_work(&server.id, view.servers)
    };
    let usable = view.servers.of(service).filter(is_usable);
    let (bounded, free): (Vec<&Server>, Vec<&Server>) =
        usable.partition(|server| server.is_cold() && server.cold_rate.is_some());
    let mean = leading.mean_service_time();
    let candidate = |server: &Server| {
        let service_time = leading.demand.service_time(&server.id).unwrap_or(mean);
        let owner = Owner { server: server.id.clone(), addr: server.addr };
        let capacity = f64::from(server.slots) / service_time.as_secs_f64().max(0.001);
        let cold = server.is_cold();
        let capacity = if cold { cold_capacity(server, capacity) } else { capacity };
        let rate_limit = leading.demand.rate_limit(&server.id);
        let capacity = rate_limit.map_or(capacity, |rate| capacity.min(limited_capacity(rate)));
        let admitted_share = leading.demand.admitted_share(&server.id);
        let refuses_excess = rate_limit.is_some() || admitted_share < 1.0;
        Candidate { owner, capacity: capacity * admitted_share, cold, refuses_excess }
    };
    let servers = if free.is_empty() { bounded } else { free };
    let selected = owners::select(servers.into_iter(), &leading.owner_ids(), view.max_owners);
    selected.into_iter().map(candidate).collect()
}

/// Load that is assigned to a server with this rate limit. The rest of the limit is left for the variance
/// of the arrivals, since what exceeds the limit is refused.
fn limited_capacity(limit: Rate) -> f64 {
    limit.per_second() * balance::LIMITED_CAPACITY_SHARE
}

/// Capacity of a cold server: a part of its warm capacity, and at most its cold rate.
fn cold_capacity(server: &Server, warm: f64) -> f64 {
    let most = server.cold_rate.map_or(f64::INFINITY, Rate::per_second);
    (warm * balance::COLD_CAPACITY_SHARE).min(most)
}
