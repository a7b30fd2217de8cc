//! A server that does not answer: probes, promises and eviction.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use jacinthbeam_state::Record;
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};
use statig::prelude::*;

use crate::{
    attendant::{
        Action,
        context::Step,
        machine::{Machine, State},
    },
    witness::{Probe, Probed},
};

/// Promises of silence that were given to this host under these epochs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Promises {
    server_epoch: Epoch,
    witness_epoch: Epoch,
    by: BTreeSet<Incarnation>,
}

/// One round of probes.
#[derive(Debug, Clone)]
pub(super) struct Round {
    probe: Probe,
    started: Instant,
    answers: BTreeMap<HostId, Probed>,
}

impl Machine {
    pub(super) fn is_silent(&self, step: &Step<'_>) -> bool {
        let silent = self.alive_at.map(|at| step.now.saturating_duration_since(at));
        silent.is_some_and(|silent| silent >= step.cx.timing.silent_after)
    }

    pub(super) fn begin_round(&mut self, step: &mut Step<'_>) {
        let probe = self.next_probe(step);
        let (server_epoch, witness_epoch) = (probe.server_epoch, probe.witness_epoch);
        let same =
            |p: &Promises| p.server_epoch == server_epoch && p.witness_epoch == witness_epoch;
        if witness_epoch != Probe::NO_PROMISE && !self.promises.as_ref().is_some_and(same) {
            self.promises = Some(Promises { server_epoch, witness_epoch, by: BTreeSet::new() });
        }
        // Requests to a silent server would only end as may-have-run. Refused here, they have not run.
        self.close(step);
        step.push(Action::Probe(probe.clone()));
        self.round = Some(Round { probe, started: step.now, answers: BTreeMap::new() });
    }

    /// Promises are asked for only if an eviction could follow. A promise that leads to none ends with a
    /// `Keep` record; while the log is away it could not end, and the server's lease could not be renewed by
    /// witnesses.
    fn next_probe(&self, step: &Step<'_>) -> Probe {
        let server = self.id.server.clone();
        let known = step.server(&self.id);
        let set = step.cx.state.cells.get(&self.id.cell);
        let is_evictable = step.cx.log_is_fresh(step.now)
            && known.is_some_and(|known| known.is_active() && !known.slots().is_empty())
            && known.is_some_and(|known| step.cx.state.needs_promises(known));
        let witness_epoch = set.filter(|_| is_evictable).map(|set| set.epoch);
        Probe {
            server,
            server_epoch: known.map(|known| known.epoch).unwrap_or_default(),
            witness_epoch: witness_epoch.unwrap_or(Probe::NO_PROMISE),
        }
    }

    /// Counts an answer, if it is one to the present round. An older one may speak of other epochs.
    pub(super) fn probed(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        probe: &Probe,
        probed: Probed,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.probe == *probe) else { return };
        round.answers.insert(host.clone(), probed);
        if let Some(promises) = self.promises.as_mut().filter(|_| probed == Probed::Promised) {
            promises.by.insert(incarnation);
        }
    }

    /// Decides what follows once all live hosts have answered, or had time to.
    pub(super) fn judge_round(&mut self, step: &mut Step<'_>) -> Outcome<State> {
        let timing = step.cx.timing;
        let Some(round) = &self.round else { return Handled };
        let age = step.now.saturating_duration_since(round.started);
        let has_answered = |host: &HostId| round.answers.contains_key(host);
        let all = step.cx.members.live(step.now).all(|heard| has_answered(&heard.host));
        if !all && age < timing.probe_timeout + timing.probe_timeout / 4 {
            return Handled;
        }
        if let Some(host) = self.reaching_host(step) {
            self.hand_to(step, host);
            return Transition(State::Idle {});
        }
        let is_reached = round.answers.values().any(|probed| *probed == Probed::Reached);
        if !is_reached && self.may_evict(step) {
            return Transition(State::Evicting {});
        }
        if age >= timing.silent_after {
            self.leave_if_gone(step);
            self.begin_round(step);
        }
        Handled
    }

    /// Another host that reached the server, the first by rendezvous weight if there are several.
    fn reaching_host(&self, step: &Step<'_>) -> Option<HostId> {
        let answers = &self.round.as_ref()?.answers;
        let is_fit = |host: &HostId| {
            let live = step.cx.members.live_host(step.now, host);
            *host != self.id.host && live.is_some_and(|heard| !heard.stopping)
        };
        let reaching = answers.iter().filter(|(host, p)| **p == Probed::Reached && is_fit(host));
        let weight = |host: &HostId| rendezvous_weight(self.id.server.as_str(), host.as_str());
        reaching.map(|(host, _)| host).max_by_key(|host| weight(host)).cloned()
    }

    fn hand_to(&mut self, step: &mut Step<'_>, host: HostId) {
        self.report(step, false);
        step.push(Action::AskAttend { host });
        self.asked_until = None;
        self.backoff_until = Some(step.now + step.cx.timing.alive_within);
    }

    /// Whether the record would hold: it is void without enough promises under the present epochs.
    fn may_evict(&self, step: &Step<'_>) -> bool {
        let Some(known) = step.server(&self.id) else { return false };
        let state = step.cx.state;
        if !known.is_active() || known.slots().is_empty() {
            return false;
        }
        if !self.appends.is_ready(step.now, step.cx) {
            return false;
        }
        // Without a next owner nothing is gained, and the server could not go on where it was when
        // it returns.
        if (step.cx.evict_targets)(&self.id.server).is_empty() {
            return false;
        }
        let Some(set) = state.cells.get(&self.id.cell).filter(|_| state.needs_promises(known))
        else {
            return true;
        };
        let promised = self.promised(known.epoch, set.epoch);
        state.promises(&self.id.cell, set, &promised) >= set.eviction_quorum()
    }

    fn promised(&self, server_epoch: Epoch, witness_epoch: Epoch) -> Vec<Incarnation> {
        let same =
            |p: &&Promises| p.server_epoch == server_epoch && p.witness_epoch == witness_epoch;
        let promises = self.promises.as_ref().filter(same);
        promises.map(|promises| promises.by.iter().copied().collect()).unwrap_or_default()
    }

    pub(super) fn evict(&mut self, step: &mut Step<'_>) {
        let Some(known) = step.server(&self.id) else { return };
        let witness_epoch = step.cx.state.cells.get(&self.id.cell).map(|set| set.epoch);
        let promised = witness_epoch.map(|epoch| self.promised(known.epoch, epoch));
        let silent = self.alive_at.map(|at| step.now.saturating_duration_since(at));
        let why = format!("no host reaches it, silent for {:?}", silent.unwrap_or_default());
        let record = Record::Evict {
            server: self.id.server.clone(),
            server_epoch: known.epoch,
            witness_epoch,
            promised: promised.unwrap_or_default(),
            to: (step.cx.evict_targets)(&self.id.server),
        };
        self.append(step, record, why);
    }

    /// Waits until the fold shows what became of the record. If it was lost or void, everything is
    /// asked anew.
    pub(super) fn judge_eviction(&mut self, step: &mut Step<'_>) -> Outcome<State> {
        let is_active = step.server(&self.id).is_some_and(|known| known.is_active());
        if !is_active {
            return Transition(State::Taking {});
        }
        if self.appends.is_ready(step.now, step.cx) {
            return Transition(State::Unreachable {});
        }
        Handled
    }

    /// A server that answers is never evicted, and promises of silence for it must end, else its lease can't
    /// be renewed by witnesses. `Keep` does both: an eviction that is still on its way is based on the older
    /// epoch and void.
    pub(super) fn keep_if_suspected(&mut self, step: &mut Step<'_>) {
        let Some(known) = step.server(&self.id).filter(|known| known.is_active()) else { return };
        let asked = self.promises.as_ref().is_some_and(|p| p.server_epoch == known.epoch);
        if !asked && !step.cx.promised || !step.cx.log_is_fresh(step.now) {
            return;
        }
        let is_evicting = self.evicting.is_some_and(|id| self.appends.outstanding() == Some(id));
        if !is_evicting && !self.appends.is_ready(step.now, step.cx) {
            return;
        }
        let (server, server_epoch) = (self.id.server.clone(), known.epoch);
        self.append(step, Record::Keep { server, server_epoch }, "answers again".to_owned());
    }

    /// Tries now and then whether the server can be reached again, so that this host may attend it again.
    pub(super) fn retry_unreachable(&mut self, step: &mut Step<'_>) {
        let is_due = self.due.is_none_or(|due| step.now >= due + step.cx.timing.alive_within);
        if self.reported_unreachable && is_due && !self.stopping {
            self.ask_if_due(step);
        }
    }
}
