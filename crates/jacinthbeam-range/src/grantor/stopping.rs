//! How a host stops to grant: replaced by another, told to stop, or left with too few servers, and what others are told of it.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use super::{Action, Grantor, View, timing};
use crate::map::{Leader, Map};

/// Hosts whose word that they have stopped is remembered: a successor asks for that of one or two, and a fleet's hosts stop one by one.
const STOPPED_KEPT: usize = 16;

/// A host that said that it has stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stopped {
    pub(super) leader: Leader,
    /// The epoch in which it led. Without it the word of an earlier time would count for a process that leads again, and its successor
    /// would not wait for what it renews now.
    pub(super) epoch: Epoch,
    /// Until then its last calls may arrive, and hosts before it may renew.
    pub(super) until: Instant,
}

/// A host that was replaced, which tells its successor so.
#[derive(Debug)]
pub(super) struct Replaced {
    pub(super) successor: Leader,
    pub(super) epoch: Epoch,
    pub(super) predecessors_until: Instant,
    pub(super) notify_until: Instant,
}

impl Grantor {
    pub(super) fn step_down(&mut self, now: Instant, map: &Map) {
        let Some(leading) = self.leading.take() else { return };
        let replaced = |successor: &Leader| Replaced {
            successor: successor.clone(),
            epoch: leading.map.epoch,
            predecessors_until: leading.predecessors_until(),
            notify_until: now + timing::NOTIFY_SUCCESSOR_FOR,
        };
        self.replaced = map.leader.as_ref().map(replaced);
    }

    pub(super) fn notify_successor(&self, now: Instant) -> Option<Action> {
        let replaced = self.replaced.as_ref().filter(|replaced| now < replaced.notify_until)?;
        let others_left = replaced.predecessors_until.saturating_duration_since(now);
        let (to, epoch) = (replaced.successor.clone(), replaced.epoch);
        Some(Action::NotifySuccessor { to, epoch, others_left })
    }

    /// Most owners are silent although they are listed: it is rather this host that is cut off. It must not take their keys
    /// away; another host may reach them.
    pub(super) fn resign(&mut self, view: View<'_>) -> Vec<Action> {
        self.duty = false;
        self.next_claim = Some(view.now + timing::RESIGN_COOLDOWN);
        let mut actions = self.retire(view.now);
        actions.push(Action::Resign);
        actions
    }

    pub(super) fn on_stopped(&mut self, leader: Leader, epoch: Epoch, until: Instant) {
        self.while_leading(|leading| leading.on_stopped(&leader, epoch, until));
        self.stopped.retain(|stopped| stopped.leader != leader);
        self.stopped.push(Stopped { leader, epoch, until });
        if self.stopped.len() > STOPPED_KEPT {
            self.stopped.remove(0);
        }
    }

    /// Ends the granting of a process that is about to stop, once the store has answered since.
    ///
    /// While the store is away nobody can take over. Keys that were no longer renewed would have no server from the end of their holds
    /// until it is back, some seconds in which the process is still there for its last requests.
    pub(super) fn shut_down(&mut self, view: View<'_>, since: Instant) -> Vec<Action> {
        self.claim = None;
        match &mut self.leading {
            Some(leading) if leading.confirmed_at() < since => leading.keep_renewing(view),
            _ => self.retire(view.now),
        }
    }

    /// The process stops now. If it still grants, the others are told that it does no more.
    pub(super) fn end(&mut self, now: Instant) -> Vec<Action> {
        let Some(leading) = self.leading.take() else { return Vec::new() };
        let others_left = leading.predecessors_until().saturating_duration_since(now);
        vec![Action::BroadcastStopped { epoch: leading.map.epoch, others_left }]
    }

    /// Says in the store that this process sends no grant any more, so that a successor has nobody to wait for.
    ///
    /// Not while hosts before this one may still renew: the successor, which sees only this record, would not wait for them, and
    /// give the keys of a server away that one of them still renews. It then waits as for a host that was lost.
    pub(super) fn retire(&mut self, now: Instant) -> Vec<Action> {
        self.claim = None;
        let Some(leading) = self.leading.take() else { return Vec::new() };
        if now < leading.predecessors_until() {
            let others_left = leading.predecessors_until().saturating_duration_since(now);
            return vec![Action::BroadcastStopped { epoch: leading.map.epoch, others_left }];
        }
        let mut map = leading.map;
        map.rivals.clear();
        map.leader = None;
        map.version += 1;
        vec![Action::Record(map)]
    }
}
