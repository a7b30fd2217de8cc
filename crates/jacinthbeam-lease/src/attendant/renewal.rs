//! Queries and grants.

use std::collections::BTreeSet;

use jacinthbeam_state::{Owner, Record};
use jacinthbeam_types::prelude::*;

use crate::{
    attendant::{
        Action, Reply,
        contents::{Contents, Sources},
        context::Step,
        machine::Machine,
    },
    grant::{Grant, next_token, until},
};

impl Machine {
    /// Presents a token above the one that the server reported.
    pub(super) fn take_over(&mut self, step: &mut Step<'_>) {
        let Some(seen) = self.seen.clone() else { return };
        let reported = seen.state.token;
        let token = match self.token {
            Some(token) if token > reported => token,
            _ => next_token(reported, self.id.incarnation),
        };
        let contents = self.sources(step, &seen, &BTreeSet::new(), |sources| sources.takeover());
        self.stalled = !self.grant(step, &seen, token, contents);
    }

    /// What is to be done at every tick and after every answer under the own token.
    pub(super) fn attend(&mut self, step: &mut Step<'_>) {
        self.expire_permit(step);
        self.plan_releases(step);
        self.leave_if_done(step);
        let Some((seen, contents)) = self.renewal(step) else { return };
        self.append_for(step, &contents);
        let is_changed =
            contents.slots != seen.state.slots || Some(contents.based_on) != seen.state.based_on;
        if self.asking || !(is_changed || self.is_due(step)) {
            return;
        }
        let token = self.token;
        if !token.is_some_and(|token| self.grant(step, &seen, token, contents)) {
            self.ask_if_due(step);
        }
    }

    /// Keeps the lease as it is; for a host that drains.
    pub(super) fn renew_if_due(&mut self, step: &mut Step<'_>) {
        self.expire_permit(step);
        if self.asking || !self.is_due(step) {
            return;
        }
        let Some((seen, contents)) = self.renewal(step) else { return };
        if let Some(token) = self.token {
            self.grant(step, &seen, token, contents);
        }
    }

    fn renewal(&self, step: &Step<'_>) -> Option<(Reply, Contents)> {
        let seen = self.seen.clone().filter(|seen| Some(seen.state.token) == self.token)?;
        let drained = self.drained_slots(&seen);
        let contents = self.sources(step, &seen, &drained, |sources| sources.renewal());
        Some((seen, contents))
    }

    fn sources<T>(
        &self,
        step: &Step<'_>,
        seen: &Reply,
        drained: &BTreeSet<SlotId>,
        compute: impl Fn(Sources<'_>) -> T,
    ) -> T {
        compute(Sources {
            state: step.cx.state,
            server: &self.id.server,
            seen: &seen.state,
            drained,
            is_settled: &|owner| self.is_settled(step, owner),
        })
    }

    /// Whether no earlier owner of the slot can hold a lease on it any more.
    ///
    /// The owner that a record took the slot from without a release may not know of it, and serves the slot
    /// until its lease ends. The lease rests on a proof from before the record was written, so it has ended a
    /// lease's length after this host read the record. A server that does not check grants runs what it got
    /// before that to the end.
    fn is_settled(&self, step: &Step<'_>, owner: &Owner) -> bool {
        let Some(lapse) = owner.lapse else { return true };
        let running = match step.service(&self.id) {
            Some(service) if !service.checks_grants => service.max_deadline,
            _ => std::time::Duration::ZERO,
        };
        let read = step.cx.observed.at(lapse);
        step.now.saturating_duration_since(read) >= step.cx.timing.lease_over() + running
    }

    /// Sends a grant; `false` if no proof allows one.
    fn grant(
        &mut self,
        step: &mut Step<'_>,
        seen: &Reply,
        token: Token,
        contents: Contents,
    ) -> bool {
        let timing = step.cx.timing;
        let Some(end) = step.cx.proof.map(|proof| proof + timing.lease) else { return false };
        let Some(proof) = step.cx.proof.filter(|_| end > step.now) else { return false };
        let Some(until) = until(&seen.state, seen.received, proof, timing) else { return false };
        self.token = Some(token);
        self.lease_end = self.lease_end.max(Some(end));
        self.asked_now(step);
        step.push(Action::Grant(Grant {
            token,
            incarnation: seen.state.incarnation,
            slots: contents.slots,
            until,
            based_on: contents.based_on,
        }));
        true
    }

    pub(super) fn ask_if_due(&mut self, step: &mut Step<'_>) {
        self.expire_permit(step);
        if !self.asking && self.is_due(step) {
            self.asked_now(step);
            step.push(Action::Query);
        }
    }

    /// Asks early if what was missing at the last answer has come.
    pub(super) fn ask_if_able(&mut self, step: &mut Step<'_>) {
        if self.stalled
            && self.is_member(step)
            && self.understands_grant(step)
            && step.cx.proof.is_some()
        {
            self.due = None;
        }
        self.ask_if_due(step);
    }

    /// Whether the fold contains what the server's grant was based on.
    pub(super) fn understands_grant(&self, step: &Step<'_>) -> bool {
        let seen = self.seen.as_ref().and_then(|seen| seen.state.based_on);
        seen.is_none_or(|based_on| based_on < step.cx.state.next)
    }

    fn is_due(&self, step: &Step<'_>) -> bool {
        self.due.is_none_or(|due| step.now >= due)
    }

    fn asked_now(&mut self, step: &Step<'_>) {
        self.asking = true;
        self.stalled = false;
        self.due = Some(step.now + step.cx.timing.renew_every);
    }

    /// Appends what the slots of the server need. One record at a time.
    fn append_for(&mut self, step: &mut Step<'_>, contents: &Contents) {
        if !self.appends.is_ready(step.now, step.cx) {
            return;
        }
        if let Some((record, why)) = self.release_record(step, &contents.lacking) {
            self.append(step, record, why);
            return;
        }
        let (slots, why) = match (contents.lacking.is_empty(), contents.blocked.is_empty()) {
            (false, _) => (&contents.lacking, "the grant lacks slots that the server owns"),
            (true, false) => (&contents.blocked, "slots are about to be released"),
            (true, true) => return,
        };
        let record = Record::Reassign {
            service: self.id.service.clone(),
            server: self.id.server.clone(),
            slots: slots.clone(),
        };
        self.append(step, record, why.to_owned());
    }
}
