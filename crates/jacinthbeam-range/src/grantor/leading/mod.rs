//! The state of a host that leads, and what it does at a tick.

mod majority;
mod plan;
mod record;
mod renew;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_route::Servers;
use jacinthbeam_types::prelude::*;

use majority::{Doubtful, Fence};

use super::{
    NoAnswer, Order, View,
    contact::{Contact, Outcome},
    moving::{Moving, Stage},
    timing::{CHECK_EVERY, CHECK_SOON, SETTLE, renew_every},
};
use crate::{
    demand::Demand,
    key::KeyRange,
    map::{Leader, Map, Owner},
};

/// Pause between two questions for a confirmation if the last one got no answer.
const CHECK_AGAIN: Duration = Duration::from_millis(500);

/// Owners below which their silence says nothing of this host's own links.
const FEWEST_TO_JUDGE: usize = 3;

/// Time that a request takes, assumed before any answer was measured. Only the proportions between servers matter.
const ASSUMED_WORK: Duration = Duration::from_millis(200);

#[derive(Debug)]
pub(in crate::grantor) struct Leading {
    /// The newest record, which names this process.
    pub(in crate::grantor) map: Map,
    pub(in crate::grantor) demand: Demand,
    /// When the read was sent that last confirmed the record.
    proof: Instant,
    checked: Option<Instant>,
    /// Until then predecessors may have renewed grants.
    others_until: Instant,
    /// They.
    replaces: Vec<Leader>,
    /// Set until most owners refuse each predecessor.
    fence: Option<Fence>,
    /// The record that is being written.
    writing: Option<Map>,
    /// Earlier ones that may still be kept.
    doubtful: Doubtful,
    /// When a record was last not kept, as far as is known.
    not_kept: Option<Instant>,
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
    pub(in crate::grantor) fn new(
        map: Map,
        proof: Instant,
        others_until: Instant,
        replaces: Vec<Leader>,
    ) -> Self {
        Self {
            replaces,
            fence: Some(Fence::of(&map)),
            token: map.first_token(),
            map,
            demand: Demand::default(),
            proof,
            checked: None,
            others_until,
            writing: None,
            doubtful: Doubtful::default(),
            not_kept: None,
            contacts: BTreeMap::new(),
            moves: Vec::new(),
            refused: BTreeSet::new(),
            settling: Vec::new(),
            balanced: None,
        }
    }

    /// A read found a record of this process: the present one, or one whose acknowledgement was lost.
    pub(in crate::grantor) fn on_own_record(&mut self, asked: Instant, map: Map) {
        self.proof = self.proof.max(asked);
        if map.is_older_than(&self.map) {
            // A read that was sent before the last record was kept.
            return;
        }
        if self.writing.as_ref() == Some(&map) {
            self.writing = None;
        }
        if self.map.is_older_than(&map) {
            self.doubtful.clear();
        }
        self.adopt(map);
    }

    pub(in crate::grantor) fn on_recorded(&mut self, now: Instant, asked: Instant) {
        self.proof = self.proof.max(asked);
        if let Some(map) = self.writing.take() {
            self.doubtful.clear();
            for moving in &self.moves {
                if matches!(moving.stage, Stage::Free(_)) {
                    self.settling.push((now + SETTLE, moving.range));
                }
            }
            self.adopt(map);
        }
    }

    /// The record was not kept, or may be kept later.
    pub(in crate::grantor) fn on_not_recorded(&mut self, now: Instant) {
        self.not_kept = Some(now);
        if let Some(map) = self.writing.take() {
            self.doubtful.add(map);
        }
    }

    /// Takes a record over as the one in force. Moves that it contains are done.
    fn adopt(&mut self, map: Map) {
        self.map = map;
        let map = &self.map;
        self.moves.retain(|moving| {
            let held = map.lookup(moving.range.first);
            held.token < moving.token || held.owner.as_ref() != Some(&moving.to)
        });
        for contact in self.contacts.values_mut() {
            let held = map.owned_by(&contact.owner.server);
            contact.forget_but(&held.map(|h| (h.range, h.token)).collect::<Vec<_>>());
        }
    }

    pub(in crate::grantor) fn proof(&self) -> Instant {
        self.proof
    }

    pub(in crate::grantor) fn others_until(&self) -> Instant {
        self.others_until
    }

    /// The predecessor has stopped, so that only calls that it had sent before may arrive, and those of hosts before it.
    pub(in crate::grantor) fn on_stopped(&mut self, leader: &Leader, epoch: Epoch, until: Instant) {
        let is_last = epoch.next() == self.map.epoch;
        if is_last && self.replaces == std::slice::from_ref(leader) {
            self.others_until = self.others_until.min(until);
        }
    }

    /// Goes on renewing, and asks the store whether it is back.
    pub(in crate::grantor) fn renew_on(&mut self, view: View<'_>) -> Vec<Order> {
        self.meet_owners();
        self.give_up_lost(view.now);
        let check = self.ask_again(view.now);
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
        if let Some(contact) = self.contacts.get_mut(server) {
            let pause = renew_every(self.map.assignments().len());
            contact.on_round(now, outcome, last_call, confirmed, !refused.is_empty(), pause);
            if let Outcome::Opened(at) = outcome {
                let token = &mut self.token;
                contact.on_opened(at, || {
                    *token = token.next();
                    *token
                });
            }
        }
        self.refused.extend(refused);
    }

    /// Asks for the confirmation that new connections wait for, once none is being opened any more.
    pub(in crate::grantor) fn check_opened(&mut self, now: Instant) -> Option<Order> {
        let opening = self.contacts.values().any(Contact::is_opening);
        if opening { None } else { self.check(now) }
    }

    pub(in crate::grantor) fn on_released(
        &mut self,
        range: KeyRange,
        token: Token,
        handover: Result<Option<String>, NoAnswer>,
    ) {
        // Without an answer time alone frees the range.
        let Ok(handover) = handover else { return };
        let moving = self.moves.iter_mut().find(|m| m.range == range && m.token == token);
        if let Some(moving) = moving {
            moving.stage = Stage::Free(handover);
        }
    }

    /// Whether a server may be given keys: it is not known to be lost or silent.
    pub(in crate::grantor) fn is_usable(&self, server: &ServerId) -> bool {
        self.contacts.get(server).is_none_or(Contact::is_well)
    }

    /// Mean time of a request over the servers that were measured.
    pub(in crate::grantor) fn mean_work(
        &self,
        servers: &Servers,
        service: &ServiceName,
    ) -> Duration {
        let measured: Vec<Duration> =
            servers.of(service).filter_map(|server| self.demand.service_time(&server.id)).collect();
        if measured.is_empty() {
            return ASSUMED_WORK;
        }
        measured.iter().sum::<Duration>() / measured.len() as u32
    }

    pub(in crate::grantor) fn act(
        &mut self,
        view: View<'_>,
        service: &ServiceName,
        may_record: bool,
    ) -> Vec<Order> {
        self.pass_time(view);
        self.meet_owners();
        self.meet_majority(view.now);
        self.give_up_lost(view.now);
        self.take_back(view.servers);
        let mut orders = Vec::new();
        orders.extend(self.check(view.now));
        self.plan(view, service);
        orders.extend(self.releases(view.now));
        self.free_lapsed(view.now);
        if may_record {
            orders.extend(self.record(view, service));
        }
        orders.extend(self.grants(view.now));
        orders
    }

    fn pass_time(&mut self, view: View<'_>) {
        self.demand.advance(view.now, |id| view.servers.get(id).map(|server| server.slots));
        self.settling.retain(|(until, _)| *until > view.now);
    }

    /// Keeps a contact for every owner, and for those that ranges come from or go to.
    fn meet_owners(&mut self) {
        let new: BTreeSet<Owner> = self
            .map
            .assignments()
            .iter()
            .filter_map(|held| held.owner.as_ref())
            .filter(|owner| !self.contacts.contains_key(&owner.server))
            .cloned()
            .collect();
        for owner in new {
            self.meet(owner);
        }
        let owners = self.map.assignments().iter().filter_map(|held| held.owner.as_ref());
        let moving = self.moves.iter().flat_map(|moving| [&moving.from, &moving.to]);
        let needed: BTreeSet<&ServerId> = owners.chain(moving).map(|owner| &owner.server).collect();
        self.contacts.retain(|id, contact| contact.busy || needed.contains(id));
    }

    /// Begins to deal with an owner.
    ///
    /// Until the record that names this life was kept, grants to an earlier one went to whoever answered to the name, each over another
    /// connection under a higher token than before. Those may be above the token of the record.
    fn meet(&mut self, owner: Owner) {
        let id = owner.server.clone();
        let has_other_life = self.lives(&id).next().is_some();
        let contact = match has_other_life {
            true => Contact::above(owner, self.next_token()),
            false => Contact::new(owner),
        };
        self.contacts.insert(id, contact);
    }

    /// All lives under the name of a server that this leader has dealings with.
    fn lives(&self, id: &ServerId) -> impl Iterator<Item = &Contact> {
        let first = ServerId::from(id.name().clone());
        let lives = self.contacts.range(first..).take_while(|(life, _)| life.name() == id.name());
        lives.map(|(_, contact)| contact)
    }

    fn give_up_lost(&mut self, now: Instant) {
        for contact in self.contacts.values_mut() {
            contact.given_up |= contact.is_lost(now);
        }
    }

    /// Goes on with servers that have come back while the record still names them.
    ///
    /// Without it the keys of a failure domain that was cut off for a few seconds stay without a server until holds have run out that
    /// ended when the cut did. A record that may give them to another server, and is on its way or in doubt, forbids it: both would hold
    /// them.
    fn take_back(&mut self, servers: &Servers) {
        let settled = self.writing.is_none() && self.doubtful.is_empty();
        for contact in self.contacts.values_mut() {
            let back = contact.is_back(servers.takes_work(&contact.owner.server));
            if back && settled {
                contact.try_anew();
            }
        }
    }

    /// Whether more than half of the owners gave no answer although they are listed.
    pub(in crate::grantor) fn reaches_too_few(&self, view: View<'_>) -> bool {
        let listed = |c: &&Contact| !c.ended && view.servers.takes_work(&c.owner.server);
        let lost = self.contacts.values().filter(listed).filter(|c| c.given_up).count();
        self.contacts.len() >= FEWEST_TO_JUDGE && lost * 2 > self.contacts.len()
    }

    fn check(&mut self, now: Instant) -> Option<Order> {
        let awaited = self.contacts.values().any(|contact| !contact.is_proved(self.proof));
        let old = now.saturating_duration_since(self.proof) >= CHECK_EVERY;
        // A store that answered the last question answers the next one too.
        let answered = self.checked.is_none_or(|at| self.proof >= at);
        let pause = if awaited && answered { CHECK_SOON } else { CHECK_AGAIN };
        let asked = self.checked.is_some_and(|at| now < at + pause);
        if !(old || awaited) || asked {
            return None;
        }
        self.checked = Some(now);
        Some(Order::Check)
    }

    /// Asks the store for a confirmation, unless it was asked a moment ago.
    fn ask_again(&mut self, now: Instant) -> Option<Order> {
        if self.checked.is_some_and(|at| now < at + CHECK_AGAIN && at > self.proof) {
            return None;
        }
        self.checked = Some(now);
        Some(Order::Check)
    }

    fn next_token(&mut self) -> Token {
        self.token = self.token.next();
        self.token
    }
}
