//! The state of a host that leads.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_route::Servers;
use jacinthbeam_types::prelude::*;

use super::{
    Call, NoAnswer, Order, View, candidates,
    contact::{Contact, Outcome, longest_hold},
    moving::{Moving, Stage},
    timing::{
        BALANCE_EVERY, CHECK_EVERY, MOVES_AT_ONCE, PROOF, RANGES_PER_OWNER, RELEASES_AT_ONCE,
        SETTLE,
    },
};
use crate::{
    balance::{self, Candidate, Move},
    demand::Demand,
    key::KeyRange,
    map::{Held, Map},
};

/// Pause between two questions for a confirmation if the last one got no answer.
const CHECK_AGAIN: Duration = Duration::from_millis(500);

/// Owners below which their silence says nothing of this host's own links.
const FEWEST_TO_JUDGE: usize = 3;

/// Time that a request takes, assumed before any answer was measured. Only the proportions between servers matter.
const ASSUMED_WORK: Duration = Duration::from_millis(200);

#[derive(Debug)]
pub(super) struct Leading {
    /// The newest record, which names this process.
    pub(super) map: Map,
    pub(super) demand: Demand,
    /// When the read was sent that last confirmed the record.
    proof: Instant,
    checked: Option<Instant>,
    /// Until then the predecessor may have renewed grants.
    others_until: Instant,
    /// The record that is being written.
    writing: Option<Map>,
    /// The last token given out. Kept apart from the map, since moves take tokens while a record is being written.
    token: Token,
    contacts: BTreeMap<ServerId, Contact>,
    moves: Vec<Moving>,
    /// Ranges whose owner refused its token; they need a higher one.
    refused: BTreeSet<KeyRange>,
    settling: Vec<(Instant, KeyRange)>,
    balanced: Option<Instant>,
}

impl Leading {
    pub(super) fn new(map: Map, proof: Instant, others_until: Instant) -> Self {
        Self {
            token: map.first_token(),
            map,
            demand: Demand::default(),
            proof,
            checked: None,
            others_until,
            writing: None,
            contacts: BTreeMap::new(),
            moves: Vec::new(),
            refused: BTreeSet::new(),
            settling: Vec::new(),
            balanced: None,
        }
    }

    /// A read found a record of this process: the present one, or one whose acknowledgement was lost.
    pub(super) fn on_own_record(&mut self, asked: Instant, map: Map) {
        self.proof = self.proof.max(asked);
        if map.is_older_than(&self.map) {
            // A read that was sent before the last record was kept.
            return;
        }
        if self.writing.as_ref() == Some(&map) {
            self.writing = None;
        }
        self.adopt(map);
    }

    pub(super) fn on_recorded(&mut self, now: Instant, asked: Instant) {
        self.proof = self.proof.max(asked);
        if let Some(map) = self.writing.take() {
            for moving in &self.moves {
                if matches!(moving.stage, Stage::Free(_)) {
                    self.settling.push((now + SETTLE, moving.range));
                }
            }
            self.adopt(map);
        }
    }

    pub(super) fn on_not_recorded(&mut self) {
        self.writing = None;
    }

    /// Takes a record over as the one in force. Moves that it contains are done.
    fn adopt(&mut self, map: Map) {
        self.map = map;
        let map = &self.map;
        self.moves.retain(|moving| {
            let held = map.of(moving.range.first);
            held.token < moving.token || held.owner.as_ref() != Some(&moving.to)
        });
        for contact in self.contacts.values_mut() {
            let held = map.of_server(&contact.owner.server);
            contact.forget_but(&held.map(|h| (h.range, h.token)).collect::<Vec<_>>());
        }
    }

    pub(super) fn on_granted(
        &mut self,
        now: Instant,
        server: &ServerId,
        outcome: Outcome,
        last_call: Option<Instant>,
        confirmed: &[(KeyRange, Token)],
        refused: Vec<KeyRange>,
    ) {
        if let Some(contact) = self.contacts.get_mut(server) {
            contact.on_round(now, outcome, last_call, confirmed, !refused.is_empty());
        }
        self.refused.extend(refused);
    }

    pub(super) fn on_released(
        &mut self,
        now: Instant,
        range: KeyRange,
        token: Token,
        handover: Result<Option<String>, NoAnswer>,
    ) {
        let Some(moving) = self.moves.iter_mut().find(|m| m.range == range && m.token == token)
        else {
            return;
        };
        moving.stage = match handover {
            Ok(handover) => Stage::Free(handover),
            Err(NoAnswer) => {
                // Renewals of the range had ended before the release was sent, so the present is a safe bound of the last one.
                Stage::Lapsing(now)
            }
        };
    }

    /// Whether a server may be given keys: it is not known to be lost or silent.
    pub(super) fn is_usable(&self, server: &ServerId) -> bool {
        self.contacts.get(server).is_none_or(Contact::is_well)
    }

    /// Mean time of a request over the servers that were measured.
    pub(super) fn mean_work(&self, servers: &Servers, service: &ServiceName) -> Duration {
        let measured: Vec<Duration> =
            servers.of(service).filter_map(|server| self.demand.work(&server.id)).collect();
        if measured.is_empty() {
            return ASSUMED_WORK;
        }
        measured.iter().sum::<Duration>() / measured.len() as u32
    }

    pub(super) fn act(
        &mut self,
        view: View<'_>,
        service: &ServiceName,
        may_record: bool,
    ) -> Vec<Order> {
        self.pass_time(view);
        self.meet_owners();
        self.give_up_lost(view.now);
        let mut orders = Vec::new();
        orders.extend(self.check(view.now));
        self.plan(view, service);
        orders.extend(self.releases());
        self.free_lapsed(view.now);
        if may_record {
            orders.extend(self.record(view, service));
        }
        orders.extend(self.grants(view.now));
        orders
    }

    fn pass_time(&mut self, view: View<'_>) {
        self.demand.pass_time(view.now, |id| view.servers.get(id).map(|server| server.slots));
        self.settling.retain(|(until, _)| *until > view.now);
    }

    /// Keeps a contact for every owner, and for those that ranges come from or go to.
    fn meet_owners(&mut self) {
        for owner in self.map.held().iter().filter_map(|held| held.owner.as_ref()) {
            if !self.contacts.contains_key(&owner.server) {
                self.contacts.insert(owner.server.clone(), Contact::new(owner.clone()));
            }
        }
        let owners = self.map.held().iter().filter_map(|held| held.owner.as_ref());
        let moving = self.moves.iter().flat_map(|moving| [&moving.from, &moving.to]);
        let needed: BTreeSet<&ServerId> = owners.chain(moving).map(|owner| &owner.server).collect();
        self.contacts.retain(|id, contact| contact.busy || needed.contains(id));
    }

    fn give_up_lost(&mut self, now: Instant) {
        for contact in self.contacts.values_mut() {
            contact.given_up |= contact.is_lost(now);
        }
    }

    /// Whether more than half of the owners gave no answer although they are listed.
    pub(super) fn reaches_too_few(&self, view: View<'_>) -> bool {
        let listed = |c: &&Contact| !c.ended && view.servers.takes_work(&c.owner.server);
        let lost = self.contacts.values().filter(listed).filter(|c| c.given_up).count();
        self.contacts.len() >= FEWEST_TO_JUDGE && lost * 2 > self.contacts.len()
    }

    fn check(&mut self, now: Instant) -> Option<Order> {
        let old = now.saturating_duration_since(self.proof) >= CHECK_EVERY;
        let asked = self.checked.is_some_and(|at| now < at + CHECK_AGAIN);
        if !old || asked {
            return None;
        }
        self.checked = Some(now);
        Some(Order::Check)
    }

    /// Starts moves: off servers that leave, and off owners that have too much to do.
    fn plan(&mut self, view: View<'_>, service: &ServiceName) {
        let candidates = candidates(self, view, service);
        let leaving: Vec<KeyRange> = self
            .map
            .held()
            .iter()
            .filter(|held| self.is_leaving(held, view.servers) && !self.is_moving(held.range))
            .map(|held| held.range)
            .collect();
        let room = RELEASES_AT_ONCE.saturating_sub(self.moves.len());
        if !leaving.is_empty() {
            let moves = balance::place(&self.expected(), &self.demand, &candidates, &leaving);
            self.start(moves.into_iter().take(room));
            return;
        }
        let due = self.balanced.is_none_or(|at| view.now >= at + BALANCE_EVERY);
        if due {
            self.balanced = Some(view.now);
            let fixed: Vec<KeyRange> = self
                .moves
                .iter()
                .map(|m| m.range)
                .chain(self.settling.iter().map(|(_, range)| *range))
                .collect();
            let most = MOVES_AT_ONCE.min(room);
            let moves = balance::relieve(&self.expected(), &self.demand, &candidates, &fixed, most);
            self.start(moves.into_iter());
        }
    }

    /// The map as it will be when all moves are done.
    fn expected(&self) -> Map {
        let mut map = self.map.clone();
        for moving in &self.moves {
            map.assign(moving.range, Some(moving.to.clone()), moving.token, None);
        }
        map
    }

    /// Whether the owner can still be asked to give the range up, and should be.
    fn is_leaving(&self, held: &Held, servers: &Servers) -> bool {
        let Some(owner) = &held.owner else { return false };
        self.is_usable(&owner.server) && !servers.takes_work(&owner.server)
    }

    fn is_moving(&self, range: KeyRange) -> bool {
        self.moves.iter().any(|moving| moving.range.overlaps(range))
    }

    fn start(&mut self, moves: impl Iterator<Item = Move>) {
        for Move { range, to } in moves {
            let held = self.map.of(range.first);
            let Some(from) = held.owner.clone().filter(|from| *from != to) else { continue };
            let token = self.next_token();
            self.moves.push(Moving { range, from, to, token, stage: Stage::Waiting });
        }
    }

    fn next_token(&mut self) -> Token {
        self.token = self.token.next();
        self.token
    }

    /// Releases of ranges whose owner has no renewal under way.
    fn releases(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        for moving in &mut self.moves {
            let contact = self.contacts.get(&moving.from.server);
            if moving.stage != Stage::Waiting || contact.is_some_and(|contact| contact.busy) {
                continue;
            }
            moving.stage = Stage::Releasing;
            let (from, range, token) = (moving.from.clone(), moving.range, moving.token);
            orders.push(Order::Release { from, range, token });
        }
        orders
    }

    fn free_lapsed(&mut self, now: Instant) {
        for moving in &mut self.moves {
            let Stage::Lapsing(last) = moving.stage else { continue };
            let ended = self.contacts.get(&moving.from.server).is_some_and(|c| c.ended);
            if ended || now >= last.max(self.others_until) + longest_hold() {
                moving.stage = Stage::Free(None);
            }
        }
    }

    /// Ranges of lost servers whose holds have run out. Nobody has them.
    fn lapsed(&self, now: Instant) -> Vec<KeyRange> {
        let free = |held: &&Held| {
            let Some(owner) = &held.owner else { return true };
            self.contacts.get(&owner.server).is_some_and(|contact| {
                let lost = contact.given_up || contact.ended;
                lost && contact.has_lapsed(now, self.others_until)
            })
        };
        let ranges = self.map.held().iter().filter(free).map(|held| held.range);
        ranges.filter(|range| !self.is_moving(*range)).collect()
    }

    /// The next record, if there is something to record.
    fn record(&mut self, view: View<'_>, service: &ServiceName) -> Option<Order> {
        if !self.has_right(view.now) {
            return None;
        }
        let mut map = self.map.clone();
        let changed = self.put_free(&mut map);
        let changed = self.put_lapsed(&mut map, view, service) || changed;
        let changed = self.raise_refused(&mut map) || changed;
        if !changed {
            return None;
        }
        self.join(&mut map);
        map.version += 1;
        self.writing = Some(map.clone());
        Some(Order::Record(map))
    }

    fn put_free(&self, map: &mut Map) -> bool {
        let mut changed = false;
        for moving in &self.moves {
            if let Stage::Free(handover) = &moving.stage {
                map.assign(moving.range, Some(moving.to.clone()), moving.token, handover.clone());
                changed = true;
            }
        }
        changed
    }

    fn put_lapsed(&mut self, map: &mut Map, view: View<'_>, service: &ServiceName) -> bool {
        let lapsed = self.lapsed(view.now);
        if lapsed.is_empty() {
            return false;
        }
        let candidates: Vec<Candidate> = candidates(self, view, service);
        let moves = balance::place(&self.expected(), &self.demand, &candidates, &lapsed);
        if moves.is_empty() {
            self.contacts.values_mut().filter(|c| !c.ended).for_each(Contact::try_anew);
            return false;
        }
        let token = self.next_token();
        for Move { range, to } in moves {
            map.assign(range, Some(to), token, None);
        }
        true
    }

    /// A token above the refused one, for the same owner.
    fn raise_refused(&mut self, map: &mut Map) -> bool {
        let refused = std::mem::take(&mut self.refused);
        let open: Vec<KeyRange> =
            refused.into_iter().filter(|range| !self.is_moving(*range)).collect();
        if open.is_empty() {
            return false;
        }
        let token = self.next_token();
        for range in open {
            let Held { owner, .. } = map.of(range.first).clone();
            if map.of(range.first).range.covers(range) {
                map.assign(range, owner, token, None);
            }
        }
        true
    }

    /// Joins neighbouring ranges of one owner under a new token, once there are many ranges.
    fn join(&mut self, map: &mut Map) {
        map.join_neighbours();
        if map.held().len() <= RANGES_PER_OWNER * self.contacts.len() {
            return;
        }
        for range in map.mergeable() {
            let owner = map.of(range.first).owner.clone();
            let steady = map.held().iter().filter(|held| range.covers(held.range)).all(|held| {
                let id = held.owner.as_ref().map(|owner| &owner.server);
                let contact = id.and_then(|id| self.contacts.get(id));
                contact.is_some_and(|c| c.has_confirmed(held.range, held.token))
            });
            if !steady || self.is_moving(range) {
                continue;
            }
            let token = self.next_token();
            map.assign(range, owner, token, None);
        }
    }

    fn has_right(&self, now: Instant) -> bool {
        now < self.proof + PROOF
    }

    fn grants(&mut self, now: Instant) -> Vec<Order> {
        let mut of_owner: BTreeMap<ServerId, Vec<Held>> = BTreeMap::new();
        for held in self.map.held() {
            if let Some(owner) = &held.owner {
                of_owner.entry(owner.server.clone()).or_default().push(held.clone());
            }
        }
        of_owner.iter().filter_map(|(server, held)| self.grant_held(server, held, now)).collect()
    }

    /// What one server should be granted now.
    pub(super) fn grant(&mut self, server: &ServerId, now: Instant) -> Option<Order> {
        let held: Vec<Held> = self.map.of_server(server).cloned().collect();
        self.grant_held(server, &held, now)
    }

    fn grant_held(&mut self, server: &ServerId, held: &[Held], now: Instant) -> Option<Order> {
        if !self.has_right(now) {
            return None;
        }
        let calls = self.calls(self.contacts.get(server)?, held, now);
        let contact = self.contacts.get_mut(server)?;
        contact.busy |= !calls.is_empty();
        let (to, until) = (contact.owner.clone(), self.proof + PROOF);
        (!calls.is_empty()).then_some(Order::Grant { to, calls, until })
    }

    /// What to grant to one server now: all its ranges if a renewal is due, else those it has not confirmed.
    fn calls(&self, contact: &Contact, held: &[Held], now: Instant) -> Vec<Call> {
        if contact.busy || contact.ended || contact.given_up {
            return Vec::new();
        }
        let due = contact.is_due(now);
        let mut calls = Vec::new();
        for held in held {
            for range in self.still_held(held.range) {
                let new = !contact.has_confirmed(range, held.token);
                if due || (new && contact.takes_new()) {
                    let handover = held.handover.clone().filter(|_| new);
                    calls.push(Call { range, token: held.token, handover });
                }
            }
        }
        calls
    }

    /// What of a range is not on its way to another owner.
    fn still_held(&self, range: KeyRange) -> Vec<KeyRange> {
        let moving = self.moves.iter().map(|m| m.range).filter(|moving| moving.overlaps(range));
        balance::without(range, &moving.collect::<Vec<_>>())
    }
}
