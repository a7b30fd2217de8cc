//! What an answer of the server changes.

use statig::prelude::*;

use crate::{
    attendant::{
        Action, Reply,
        context::Step,
        lifetime::Leave,
        machine::{Machine, State},
    },
    grant::{Permit, usable_until},
};

impl Machine {
    /// An answer while in charge. A refusal is treated the same way: what the server says of itself is what
    /// counts.
    pub(super) fn replied(&mut self, step: &mut Step<'_>, reply: &Reply) -> Outcome<State> {
        if !self.heard(step, reply) {
            return Handled;
        }
        self.keep_if_suspected(step);
        if !self.is_member(step) {
            self.stand_down(step);
            self.join(step, reply);
            self.stalled = true;
            return Transition(State::Taking {});
        }
        if !self.understands_grant(step) {
            // The fold lacks records that the server's grant was based on, and may give the server slots that
            // it has lost since. Nothing is granted until they are read.
            self.close(step);
            self.stalled = true;
            return Transition(State::Taking {});
        }
        if self.token.is_some_and(|token| reply.state.token > token) {
            self.fenced(step);
            return Transition(State::Idle {});
        }
        if self.token != Some(reply.state.token) {
            self.take_over(step);
            return Transition(State::Taking {});
        }
        self.held_since.get_or_insert(reply.received);
        self.open(step);
        self.attend(step);
        Transition(State::Attending {})
    }

    /// Takes an answer in; `false` if a later question was answered before.
    fn heard(&mut self, step: &mut Step<'_>, reply: &Reply) -> bool {
        self.asking = false;
        if self.seen.as_ref().is_some_and(|seen| seen.sent > reply.sent) {
            return false;
        }
        self.seen = Some(reply.clone());
        self.alive_at = Some(reply.received);
        if self.reported_unreachable {
            self.report(step, true);
        }
        true
    }

    pub(super) fn heard_idle(&mut self, step: &mut Step<'_>, reply: &Reply) {
        self.heard(step, reply);
    }

    /// While draining, leases are renewed for what runs, but nothing new is admitted.
    pub(super) fn heard_draining(&mut self, step: &mut Step<'_>, reply: &Reply) {
        if !self.heard(step, reply) {
            return;
        }
        if self.token != Some(reply.state.token) || !self.is_member(step) {
            self.stand_down(step);
        }
    }

    pub(super) fn report(&mut self, step: &mut Step<'_>, reachable: bool) {
        self.reported_unreachable = !reachable;
        step.push(Action::Report { reachable });
    }

    /// Tells traffic what may be sent by the last answer.
    pub(super) fn open(&mut self, step: &mut Step<'_>) {
        if self.leave != Leave::No {
            return;
        }
        match self.permitted(step) {
            Some(permit) => {
                self.permit = Some(permit.clone());
                step.push(Action::Open(permit));
            }
            None => self.close(step),
        }
    }

    fn permitted(&self, step: &Step<'_>) -> Option<Permit> {
        let seen = self.seen.as_ref().filter(|seen| Some(seen.state.token) == self.token)?;
        if !self.is_predecessor_gone(step) {
            return None;
        }
        let until = usable_until(&seen.state, seen.sent, step.cx.timing).min(self.lease_end?);
        let owned = self.owned(step);
        let is_free = |slot: &&_| owned.contains(slot) && !self.releasing.contains_key(slot);
        (step.now < until).then(|| Permit {
            token: seen.state.token,
            incarnation: seen.state.incarnation,
            slots: seen.state.slots.iter().filter(is_free).copied().collect(),
            until,
            based_on: seen.state.based_on.unwrap_or_default(),
        })
    }

    /// A server that does not check grants can't fence the host that attended it before. That host sends
    /// until its lease ends, and would run requests next to this host's; so this one waits that long.
    fn is_predecessor_gone(&self, step: &Step<'_>) -> bool {
        let held = self.held_since.map(|since| step.now.saturating_duration_since(since));
        step.checks_grants(&self.id) || held.is_some_and(|held| held >= step.cx.timing.lease_over())
    }

    pub(super) fn close(&mut self, step: &mut Step<'_>) {
        if self.permit.take().is_some() {
            step.push(Action::Close);
        }
    }

    /// Tells traffic that its permit has ended. Only for the record: traffic checks the time itself.
    pub(super) fn expire_permit(&mut self, step: &mut Step<'_>) {
        if self.permit.as_ref().is_some_and(|permit| step.now >= permit.until) {
            self.close(step);
        }
    }
}
