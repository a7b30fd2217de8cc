//! How a host stops granting: replaced by another, told to shut down, or left with too few
//! reachable servers. Also what it then reports to others.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use super::{Action, Grantor, View, timing};
use crate::map::{Leader, Map};

/// How many hosts' reports that they stopped are kept. A successor needs those of one or two, and
/// the hosts of a fleet stop one after the other.
const MAX_STOPPED_REPORTS: usize = 16;

/// A host that reported that it no longer grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stopped {
    pub(super) leader: Leader,
    /// The epoch in which it led. Without the epoch, an old report would count for a process that
    /// leads again, and its successor would not wait for what it renews now.
    pub(super) epoch: Epoch,
    /// Until then its last calls may arrive and its own predecessors may renew.
    pub(super) until: Instant,
}

/// This host's last leadership, which another host replaced; the successor is notified of its end.
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

    /// Gives the duty back because this host is partitioned from the servers, or because most owners
    /// are silent although they are listed: more likely this host is the one that is cut off. It must not take their keys away, since another host
    /// may reach them.
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
        if self.stopped.len() > MAX_STOPPED_REPORTS {
            self.stopped.remove(0);
        }
    }

    /// Stops the grants of a process that is shutting down, once the store has answered since the
    /// shutdown began.
    ///
    /// While the store is unreachable no other host can take over. Keys that were no longer renewed
    /// would be unserved from the end of their holds until the store is back, although the process
    /// is still running for some seconds to finish its last requests.
    pub(super) fn shut_down(&mut self, view: View<'_>, since: Instant) -> Vec<Action> {
        self.claim = None;
        match &mut self.leading {
            Some(leading) if leading.confirmed_at() < since => leading.keep_renewing(view),
            _ => self.retire(view.now),
        }
    }

    /// The process exits now. If it still grants, the other hosts are notified that it has stopped.
    pub(super) fn on_exit(&mut self, now: Instant) -> Vec<Action> {
        let Some(leading) = self.leading.take() else { return Vec::new() };
        let others_left = leading.predecessors_until().saturating_duration_since(now);
        vec![Action::BroadcastStopped { epoch: leading.map.epoch, others_left }]
    }

    /// Records in the store that this process sends no more grants, so that a successor need not
    /// wait for it.
    ///
    /// No such record is written while this host's predecessors, or leaders of lost records, may still renew. A successor, which
    /// sees only this record, would not wait for them either, and would give away the keys of a
    /// server that one of them still renews. It waits as for a host that was lost, unless the
    /// broadcast sent instead of the record reaches it.
    pub(super) fn retire(&mut self, now: Instant) -> Vec<Action> {
        self.claim = None;
        let Some(leading) = self.leading.take() else { return Vec::new() };
        if now < leading.predecessors_until() || leading.is_unsettled(now) {
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
