//! Changing the witnesses of the cell.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_lease::witnesses::Plan;
use jacinthbeam_peer::message::{Answer, Question};
use jacinthbeam_types::prelude::*;

use super::{Control, Event};

/// How long the members of the old set have to answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// A change under way.
#[derive(Debug, Default)]
pub struct Progress {
    plan: Option<Plan>,
    retired: BTreeSet<Incarnation>,
    asked_at: Option<Instant>,
    appending: bool,
}

impl Control {
    /// Starts a change that is worth making, and gives up one that gets no further.
    pub(super) fn change_witnesses(&mut self, now: Instant) {
        let late = self.witness_change.asked_at.is_some_and(|at| now > at + PATIENCE);
        if late && !self.witness_change.appending {
            self.witness_change = Progress::default();
        }
        if self.witness_change.plan.is_some() || self.stopping.is_some() {
            return;
        }
        let fresh = self.proofs.log(&self.state);
        let fresh = fresh.is_some_and(|read| now <= read + self.timing.alive_within);
        let Some(plan) = self.planner.plan(now, &self.state, &self.members, fresh) else { return };
        log::info!("witness: names {} witnesses for {}", plan.members.len(), plan.cell);
        self.witness_change.asked_at = Some(now);
        self.ask_to_retire(&plan);
        self.witness_change.plan = Some(plan);
        self.append_witnesses();
    }

    /// A host that stops promises to vouch no more, so that it never stands in the way of a change of witnesses or an
    /// eviction. Without this, hosts replaced one after the other faster than the set can follow would leave it with
    /// too few members to ever change it.
    pub(super) fn retire_for_good(&mut self) {
        let Some(epoch) = self.state.cells.get(&self.me.cell).map(|set| set.epoch) else { return };
        if self.witness.retire(epoch, &self.state) {
            self.members.retire(epoch);
        }
    }

    fn ask_to_retire(&self, plan: &Plan) {
        let Some(epoch) = plan.base else { return };
        for member in &plan.ask {
            let question = Question::Retire { witness_epoch: epoch };
            let answer = self.ask_member(member.peer_address, question);
            let incarnation = member.incarnation;
            self.spawn_event(async move {
                match answer.await {
                    Some(Answer::Retired { promised: true }) => {
                        Some(Event::Retired { incarnation, epoch })
                    }
                    _ => None,
                }
            });
        }
    }

    /// A member of the old set promised to vouch no more.
    pub(super) fn retired(&mut self, incarnation: Incarnation, epoch: Epoch) {
        if self.witness_change.plan.as_ref().and_then(|plan| plan.base) == Some(epoch) {
            self.witness_change.retired.insert(incarnation);
            self.append_witnesses();
        }
    }

    fn append_witnesses(&mut self) {
        if self.witness_change.appending {
            return;
        }
        let Some(plan) = &self.witness_change.plan else { return };
        let Some(record) = plan.record(&self.witness_change.retired) else { return };
        let why = format!("{} live hosts", plan.members.len());
        let appended = self.append(record, why);
        self.witness_change.appending = true;
        self.spawn_event(async move {
            appended.await;
            Some(Event::WitnessesAppended)
        });
    }
}
