//! State of a host while it leads, and what it does at a tick.

mod majority;
mod plan;
mod record;
mod renew;
mod restore;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_route::Servers;
use jacinthbeam_types::prelude::*;

use majority::{Fence, InDoubtRecords};
use restore::Restored;

use super::{
    Action, NoAnswer, View,
    owner_state::{Outcome, OwnerState},
    pending_move::{PendingMove, Stage},
    timing::{CHECK_EVERY, CHECK_EVERY_WHILE_CONNECTING, MOVE_COOLDOWN, renew_every},
};
use crate::{
    demand::Demand,
    key::KeyRange,
    map::{Leader, Map, Owner},
};

/// Delay before the store is asked again for a confirmation if the last request got no answer.
const CHECK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// With fewer owners than this, their silence does not indicate a fault of this host's own network.
const MIN_OWNERS_TO_RESIGN: usize = 3;

/// Assumed duration of a request before any was measured. Only the proportions between servers
/// matter.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(200);

/// The map in force, what is known about each owner, and the moves in progress.
#[derive(Debug)]
pub(in crate::grantor) struct Leading {
    /// The newest record, which names this process as the leader.
    pub(in crate::grantor) map: Map,
    pub(in crate::grantor) demand: Demand,
    /// When the read or append was sent by which the store last confirmed this leader.
    confirmed_at: Instant,
    /// When the store was last asked for a confirmation.
    last_check: Option<Instant>,
    /// Until then predecessors may have renewed grants.
    predecessors_until: Instant,
    /// The leaders that this one replaces.
    predecessors: Vec<Leader>,
    /// Set until most owners refuse each predecessor.
    fence: Option<Fence>,
    /// The record that is being appended.
    pending_record: Option<Map>,
    /// Earlier records that may yet be committed.
    in_doubt: InDoubtRecords,
    /// When an append last failed or went unanswered.
    record_failed_at: Option<Instant>,
    /// The highest token given out. Kept apart from the map, since moves take tokens while a record
    /// is being appended.
    token: Token,
    owners: BTreeMap<ServerId, OwnerState>,
    moves: Vec<PendingMove>,
    /// Ranges whose owner refused its token; they need a higher one.
    refused: BTreeSet<KeyRange>,
    /// Ranges that moved recently, each with the time until which it isn't moved again.
    cooling_down: Vec<(Instant, KeyRange)>,
    last_balanced: Option<Instant>,
    /// Set when the store was restored while this process led.
    restored: Option<Restored>,
}

impl Leading {
    pub(in crate::grantor) fn new(
        map: Map,
        confirmed_at: Instant,
        predecessors_until: Instant,
        predecessors: Vec<Leader>,
    ) -> Self {
        Self {
            predecessors,
            fence: Some(Fence::of(&map)),
            token: map.first_token(),
            map,
            demand: Demand::default(),
            confirmed_at,
            last_check: None,
            predecessors_until,
            pending_record: None,
            in_doubt: InDoubtRecords::default(),
            record_failed_at: None,
            owners: BTreeMap::new(),
            moves: Vec::new(),
            refused: BTreeSet::new(),
            cooling_down: Vec::new(),
            last_balanced: None,
            restored: None,
        }
    }

    /// A read found a record of this process: the present one, or one whose acknowledgement was
    /// lost.
    pub(in crate::grantor) fn on_own_record(&mut self, sent_at: Instant, map: Map) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        if map.is_older_than(&self.map) {
            // The read was sent before the last record was committed.
            return;
        }
        if self.pending_record.as_ref() == Some(&map) {
            self.pending_record = None;
        }
        if self.map.is_older_than(&map) {
            self.in_doubt.clear();
        }
        self.adopt(map);
    }

    pub(in crate::grantor) fn on_recorded(&mut self, now: Instant, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        if let Some(map) = self.pending_record.take() {
            self.in_doubt.clear();
            for moving in &self.moves {
                if matches!(moving.stage, Stage::Free(_)) {
                    self.cooling_down.push((now + MOVE_COOLDOWN, moving.range));
                }
            }
            self.adopt(map);
        }
    }

    /// The record was rejected, or its result is unknown and it may be committed later.
    pub(in crate::grantor) fn on_not_recorded(&mut self, now: Instant) {
        self.record_failed_at = Some(now);
        if let Some(map) = self.pending_record.take() {
            self.in_doubt.add(map);
        }
    }

    /// Puts a record in force. Moves that it contains are complete.
    fn adopt(&mut self, map: Map) {
        self.map = map;
        self.token = self.token.max(self.map.first_token());
        let map = &self.map;
        self.moves.retain(|moving| {
            let assignment = map.lookup(moving.range.first);
            assignment.token < moving.token || assignment.owner.as_ref() != Some(&moving.to)
        });
        for state in self.owners.values_mut() {
            let assignments = map.owned_by(&state.owner.server);
            state.retain_confirmed(&assignments.map(|a| (a.range, a.token)).collect::<Vec<_>>());
        }
    }

    pub(in crate::grantor) fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }

    pub(in crate::grantor) fn predecessors_until(&self) -> Instant {
        self.predecessors_until
    }

    /// The predecessor has stopped: only calls that it sent before may still arrive, and those of its
    /// own predecessors.
    pub(in crate::grantor) fn on_stopped(&mut self, leader: &Leader, epoch: Epoch, until: Instant) {
        let is_last = epoch.next() == self.map.epoch;
        if is_last && self.predecessors == std::slice::from_ref(leader) {
            self.predecessors_until = self.predecessors_until.min(until);
        }
    }

    /// Continues to renew, and checks whether the store is reachable again.
    pub(in crate::grantor) fn keep_renewing(&mut self, view: View<'_>) -> Vec<Action> {
        self.track_owners();
        self.give_up_lost(view.now);
        let check = self.check_again(view.now);
        check.into_iter().chain(self.grants(view.now)).collect()
    }

    pub(in crate::grantor) fn on_granted(
        &mut self,
        now: Instant,
        server: &ServerId,
        outcome: Outcome,
        last_call: Option<Instant>,
        confirmed: &[(KeyRange, Token)],
        refused: Vec<KeyRange>,
    ) {
        if let Some(state) = self.owners.get_mut(server) {
            let pause = renew_every(self.map.assignments().len());
            state.on_round_end(now, outcome, last_call, confirmed, !refused.is_empty(), pause);
            if let Outcome::Opened(at) = outcome {
                let token = &mut self.token;
                state.on_connected(at, || {
                    *token = token.next();
                    *token
                });
            }
        }
        self.refused.extend(refused);
    }

    /// Requests the confirmation that new connections wait for, once no more connections are being
    /// opened.
    pub(in crate::grantor) fn check_new_connections(&mut self, now: Instant) -> Option<Action> {
        let is_connecting = self.owners.values().any(OwnerState::is_connecting);
        if is_connecting { None } else { self.check(now) }
    }

    pub(in crate::grantor) fn on_released(
        &mut self,
        range: KeyRange,
        token: Token,
        handover: Result<Option<String>, NoAnswer>,
    ) {
        // Without an answer only the end of the hold frees the range.
        let Ok(handover) = handover else { return };
        let moving = self.moves.iter_mut().find(|m| m.range == range && m.token == token);
        if let Some(moving) = moving {
            moving.stage = Stage::Free(handover);
        }
    }

    /// Whether a server may be assigned keys: it is not known to be lost or silent.
    pub(in crate::grantor) fn is_usable(&self, server: &ServerId) -> bool {
        self.owners.get(server).is_none_or(OwnerState::is_responsive)
    }

    /// Mean duration of a request over the owners for which it was measured.
    pub(in crate::grantor) fn mean_service_time(&self) -> Duration {
        let measured: Vec<Duration> =
            self.owners.keys().filter_map(|id| self.demand.service_time(id)).collect();
        if measured.is_empty() {
            return ASSUMED_SERVICE_TIME;
        }
        measured.iter().sum::<Duration>() / measured.len() as u32
    }

    /// A full pass over everything that may be due.
    pub(in crate::grantor) fn act(
        &mut self,
        view: View<'_>,
        service: &ServiceName,
        may_record: bool,
    ) -> Vec<Action> {
        self.advance_time(view);
        self.track_owners();
        if self.is_unsettled(view.now) {
            return self.act_unsettled(view.now, may_record);
        }
        self.update_fence(view.now);
        self.give_up_lost(view.now);
        self.resume_returned(view.servers);
        let mut actions = Vec::new();
        actions.extend(self.check(view.now));
        self.plan(view, service);
        actions.extend(self.releases(view.now));
        self.free_lapsed(view.now);
        if may_record {
            actions.extend(self.record(view, service));
        }
        actions.extend(self.grants(view.now));
        actions
    }

    fn advance_time(&mut self, view: View<'_>) {
        self.demand.advance(view.now, |id| view.servers.get(id).map(|server| server.slots));
        self.cooling_down.retain(|(until, _)| *until > view.now);
    }

    /// Keeps a state for every owner and for the sources and targets of moves.
    fn track_owners(&mut self) {
        let new: BTreeSet<Owner> = self
            .map
            .assignments()
            .iter()
            .filter_map(|assignment| assignment.owner.as_ref())
            .filter(|owner| !self.owners.contains_key(&owner.server))
            .cloned()
            .collect();
        for owner in new {
            self.track_owner(owner);
        }
        let owners =
            self.map.assignments().iter().filter_map(|assignment| assignment.owner.as_ref());
        let moving = self.moves.iter().flat_map(|moving| [&moving.from, &moving.to]);
        let needed: BTreeSet<&ServerId> = owners.chain(moving).map(|owner| &owner.server).collect();
        let is_needed =
            |id: &ServerId, state: &OwnerState| state.round_in_flight || needed.contains(id);
        let dropped: Vec<ServerId> = self
            .owners
            .iter()
            .filter(|(id, state)| !is_needed(id, state))
            .map(|(id, _)| id.clone())
            .collect();
        dropped.iter().for_each(|id| self.drop_owner(id));
    }

    /// Drops the state of an owner. The calls to it may have reached any incarnation of its name, so their
    /// time counts for those that are left.
    fn drop_owner(&mut self, id: &ServerId) {
        let Some(dropped) = self.owners.remove(id) else { return };
        let others: Vec<ServerId> =
            self.incarnations_of(id).map(|state| state.owner.server.clone()).collect();
        for other in others {
            if let Some(state) = self.owners.get_mut(&other) {
                state.inherit_calls(&dropped);
            }
        }
    }

    /// Adds the state of a new owner.
    ///
    /// If an earlier incarnation is tracked, grants to it may have reached this one before the
    /// record that names this one was committed. Each new connection raised their token, possibly
    /// above the token of the record.
    fn track_owner(&mut self, owner: Owner) {
        let id = owner.server.clone();
        let has_other_incarnation = self.incarnations_of(&id).next().is_some();
        let state = match has_other_incarnation {
            true => OwnerState::with_min_token(owner, self.next_token()),
            false => OwnerState::new(owner),
        };
        self.owners.insert(id, state);
    }

    /// The servers that own keys, and the targets of moves.
    pub(in crate::grantor) fn owner_ids(&self) -> BTreeSet<&ServerId> {
        let owners =
            self.map.assignments().iter().filter_map(|assignment| assignment.owner.as_ref());
        let targets = self.moves.iter().map(|moving| &moving.to);
        owners.chain(targets).map(|owner| &owner.server).collect()
    }

    /// All tracked incarnations that share the name of a server.
    fn incarnations_of(&self, id: &ServerId) -> impl Iterator<Item = &OwnerState> {
        let first = ServerId::from(id.name().clone());
        let incarnations = self
            .owners
            .range(first..)
            .take_while(|(incarnation, _)| incarnation.name() == id.name());
        incarnations.map(|(_, state)| state)
    }

    /// Stops grants to servers that have been silent for too long, so that their holds expire.
    fn give_up_lost(&mut self, now: Instant) {
        for state in self.owners.values_mut() {
            state.given_up |= state.is_lost(now);
        }
    }

    /// Resumes grants to servers that have returned while the record still names them.
    ///
    /// Otherwise the keys of a failure domain that was cut off for a few seconds would stay unserved
    /// after the cut, until the holds that this leader waits for have expired. It is not allowed
    /// while a record is being appended or in doubt: that record may give the keys to another
    /// server, and both would hold them.
    fn resume_returned(&mut self, servers: &Servers) {
        let records_resolved = self.pending_record.is_none() && self.in_doubt.is_empty();
        for state in self.owners.values_mut() {
            let back = state.is_back(servers.takes_work(&state.owner.server));
            if back && records_resolved {
                state.resume();
            }
        }
    }

    /// Whether grants to more than half of the owners were given up although the servers are listed
    /// as usable.
    pub(in crate::grantor) fn reaches_too_few(&self, view: View<'_>) -> bool {
        let listed =
            |state: &&OwnerState| !state.ended && view.servers.takes_work(&state.owner.server);
        let given_up = self.owners.values().filter(listed).filter(|state| state.given_up).count();
        self.owners.len() >= MIN_OWNERS_TO_RESIGN && given_up * 2 > self.owners.len()
    }

    fn check(&mut self, now: Instant) -> Option<Action> {
        let is_awaited = !self.is_unsettled(now)
            && self.owners.values().any(|state| !state.is_connection_confirmed(self.confirmed_at));
        let is_old = now.saturating_duration_since(self.confirmed_at) >= CHECK_EVERY;
        // A store that answered the last request is expected to answer the next one.
        let was_answered = self.last_check.is_none_or(|at| self.confirmed_at >= at);
        let pause = if is_awaited && was_answered {
            CHECK_EVERY_WHILE_CONNECTING
        } else {
            CHECK_RETRY_DELAY
        };
        let is_recent = self.last_check.is_some_and(|at| now < at + pause);
        if !(is_old || is_awaited) || is_recent {
            return None;
        }
        self.last_check = Some(now);
        Some(Action::Check)
    }

    /// Requests a confirmation from the store, unless a request sent less than
    /// [`CHECK_RETRY_DELAY`] ago is still unanswered. Unlike [`Self::check`], it does not wait
    /// until the last confirmation is old.
    fn check_again(&mut self, now: Instant) -> Option<Action> {
        if self.last_check.is_some_and(|at| now < at + CHECK_RETRY_DELAY && at > self.confirmed_at)
        {
            return None;
        }
        self.last_check = Some(now);
        Some(Action::Check)
    }

    fn next_token(&mut self) -> Token {
        self.token = self.token.next();
        self.token
    }
}
