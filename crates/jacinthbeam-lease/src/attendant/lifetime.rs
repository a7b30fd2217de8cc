//! Taking charge of the server and standing down; its joining and leaving.

use std::time::{Duration, Instant};

use jacinthbeam_state::Record;
use jacinthbeam_types::key::rendezvous_weight;

use crate::attendant::{Action, Reply, context::Step, machine::Machine};

/// How far a leaving server has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Leave {
    /// It does not leave, or still owns slots.
    No,
    /// It owns nothing; requests still run.
    Draining,
    /// Nothing runs any more.
    Drained,
}

impl Machine {
    /// Whether this host should be in charge.
    pub(super) fn is_wanted(&self, now: Instant) -> bool {
        let asked = self.asked_until.is_some_and(|until| now < until);
        let backoff = self.backoff_until.is_some_and(|until| now < until);
        !self.stopping && !backoff && (self.elected || asked)
    }

    pub(super) fn elect(&mut self, step: &Step<'_>, elected: bool) {
        if elected != self.elected {
            self.elected = elected;
            self.elected_since = elected.then_some(step.now);
        }
    }

    /// Whether a host that holds the lease should get the time to end what runs before this one takes over.
    ///
    /// A takeover fences the other host at once, and a server that looks at the token again right before the
    /// effect then drops what it was running. No request runs longer than the longest deadline, so the wait
    /// is bounded.
    pub(super) fn awaits_handover(&self, step: &Step<'_>) -> bool {
        let asked = self.asked_until.is_some_and(|until| step.now < until);
        let longest =
            step.service(&self.id).map(|service| service.max_deadline).unwrap_or_default();
        let longest = longest + step.cx.timing.alive_within;
        let waited = self.elected_since.map(|since| step.now.saturating_duration_since(since));
        !asked
            && waited.is_some_and(|waited| waited < longest)
            && step.cx.members.incumbent(step.now, &self.id.server).is_some()
    }

    /// A host that was fenced need not wait any longer once the other one has handed over.
    pub(super) fn watch_incumbent(&mut self, step: &Step<'_>) {
        let sees = step.cx.members.incumbent(step.now, &self.id.server).is_some();
        if self.saw_incumbent && !sees {
            self.backoff_until = None;
        }
        self.saw_incumbent = sees;
    }

    /// Nothing runs any more: another host may take over.
    pub(super) fn hand_over(&mut self, step: &mut Step<'_>) {
        self.stand_down(step);
        if self.stopping {
            step.push(Action::HandedOver);
        }
    }

    pub(super) fn asked(&mut self, step: &Step<'_>) {
        // Long enough for the host that asked to be seen as unable to reach the server, so that this host is
        // elected.
        self.asked_until = Some(step.now + 2 * step.cx.timing.alive_within);
        self.backoff_until = None;
    }

    pub(super) fn take_charge(&mut self, step: &mut Step<'_>) {
        self.alive_at = Some(step.now);
        self.seen = None;
        self.due = None;
        self.ask_if_due(step);
    }

    /// Stops sending at once and forgets the token.
    pub(super) fn stand_down(&mut self, step: &mut Step<'_>) {
        self.close(step);
        self.token = None;
        self.held_since = None;
        self.lease_end = None;
        self.releasing.clear();
        self.leave = Leave::No;
        self.round = None;
    }

    /// The server accepted a higher token than this host's.
    ///
    /// Two hosts that both believe to attend would take the server from each other at every round
    /// trip. A wait of different length on each host lets their views of the members settle in
    /// between.
    pub(super) fn fenced(&mut self, step: &mut Step<'_>) {
        let base = step.cx.timing.alive_within;
        let weight = rendezvous_weight(self.id.server.as_str(), self.id.host.as_str());
        let spread = u64::try_from(base.as_millis()).unwrap_or(u64::MAX).max(1);
        let wait = base + Duration::from_millis(weight % spread);
        self.backoff_until = Some(step.now + wait);
        self.asked_until = None;
        self.stand_down(step);
    }

    /// Whether the fold knows this life of the server as an active member.
    pub(super) fn is_member(&self, step: &Step<'_>) -> bool {
        let seen = self.seen.as_ref().map(|seen| seen.state.incarnation);
        step.server(&self.id).is_some_and(|known| {
            known.is_active()
                && known.service == self.id.service
                && known.cell == self.id.cell
                && seen.is_none_or(|seen| seen == known.incarnation)
        })
    }

    /// A server that is new, restarted or was evicted gets no grant before its `Join` was read back: the
    /// record bumps the epochs of its slots, and so voids what a predecessor of this host may still append
    /// about them.
    pub(super) fn join(&mut self, step: &mut Step<'_>, reply: &Reply) {
        // A process that was paused with the answer in hand may know less than the log by now, and
        // would make an earlier life of the server a member again.
        let is_recent =
            step.now.saturating_duration_since(reply.received) < step.cx.timing.renew_every;
        let is_leaving = step.cx.leaving || reply.state.draining;
        let is_configured = step.service(&self.id).is_some();
        if !is_recent || is_leaving || !is_configured || !self.appends.is_ready(step.now, step.cx) {
            return;
        }
        let known = step.server(&self.id);
        let why = match known {
            None => "new backend server".to_owned(),
            Some(known) if known.incarnation != reply.state.incarnation => {
                format!("restarted, was {}", known.incarnation)
            }
            Some(_) => "answers again".to_owned(),
        };
        let record = Record::Join {
            server: self.id.server.clone(),
            service: self.id.service.clone(),
            cell: self.id.cell.clone(),
            incarnation: reply.state.incarnation,
            base: known.map(|known| known.epoch),
        };
        self.append(step, record, why);
    }

    pub(super) fn append(&mut self, step: &mut Step<'_>, record: Record, why: String) {
        let id = self.appends.begin();
        self.evicting = matches!(record, Record::Evict { .. }).then_some(id);
        step.push(Action::Append { id, record, why });
    }

    pub(super) fn is_leaving(&self, step: &Step<'_>) -> bool {
        step.cx.leaving || self.seen.as_ref().is_some_and(|seen| seen.state.draining)
    }

    /// Lets a leaving server go once it owns nothing and nothing runs on it.
    pub(super) fn leave_if_done(&mut self, step: &mut Step<'_>) {
        let granted = self.seen.as_ref().is_some_and(|seen| !seen.state.slots.is_empty());
        if !self.is_leaving(step) || granted || !self.owned(step).is_empty() {
            self.leave = Leave::No;
            return;
        }
        match self.leave {
            Leave::No => {
                self.leave = Leave::Draining;
                self.permit = None;
                step.push(Action::Drain);
            }
            Leave::Draining => {}
            Leave::Drained => self.append_leave(step, "left, nothing runs any more"),
        }
    }

    /// A leaving server that was silent until it was evicted, or never owned anything, needs no drain.
    pub(super) fn leave_if_gone(&mut self, step: &mut Step<'_>) {
        if step.cx.leaving && self.is_silent(step) && self.owned(step).is_empty() {
            self.append_leave(step, "left without an answer");
        }
    }

    fn append_leave(&mut self, step: &mut Step<'_>, why: &str) {
        let Some(known) = step.server(&self.id) else { return };
        if self.appends.is_ready(step.now, step.cx) {
            let (server, server_epoch) = (self.id.server.clone(), known.epoch);
            self.append(step, Record::Leave { server, server_epoch }, why.to_owned());
        }
    }

    pub(super) fn drained(&mut self) {
        if self.leave == Leave::Draining {
            self.leave = Leave::Drained;
        }
    }
}
