//! Planned moves: hold, drain, grant without the slot, then record it.

use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_state::{Record, record::SlotBase};
use jacinthbeam_types::prelude::*;

use crate::attendant::{Action, Reply, context::Step, machine::Machine};

/// A slot on its way out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Releasing {
    /// Where it goes; `None` if its service is configured no more.
    to: Option<ServerId>,
    why: String,
    /// Whether no request for it can have an effect any more.
    drained: bool,
}

impl Machine {
    pub(super) fn released(&mut self, slots: &BTreeSet<SlotId>) {
        for slot in slots {
            if let Some(releasing) = self.releasing.get_mut(slot) {
                releasing.drained = true;
            }
        }
    }

    /// Slots that may be taken out of the grant now.
    ///
    /// Requests that an earlier attendant sent are unknown to this host's traffic; one of them may be for
    /// such a slot. So nothing is released while the server still runs any.
    pub(super) fn drained_slots(&self, seen: &Reply) -> BTreeSet<SlotId> {
        if seen.state.running_older > 0 {
            return BTreeSet::new();
        }
        self.releasing.iter().filter(|(_, r)| r.drained).map(|(slot, _)| *slot).collect()
    }

    /// Starts to release what is planned and gives up what is planned no more.
    pub(super) fn plan_releases(&mut self, step: &mut Step<'_>) {
        let owned = self.owned(step);
        self.releasing.retain(|slot, _| owned.contains(slot));
        let wanted = self.wanted_releases(step);
        self.cancel_releases(step, &wanted);

        let Some(permit) = &self.permit else { return };
        let starts =
            |slot: &SlotId| permit.slots.contains(slot) && !self.releasing.contains_key(slot);
        let new: BTreeMap<SlotId, Releasing> =
            wanted.into_iter().filter(|(slot, _)| starts(slot)).collect();
        if new.is_empty() {
            return;
        }
        let slots: BTreeSet<SlotId> = new.keys().copied().collect();
        self.releasing.extend(new);
        if let Some(permit) = &mut self.permit {
            permit.slots.retain(|slot| !slots.contains(slot));
        }
        step.push(Action::Hold { slots });
    }

    /// Nothing is wanted while the log does not answer: the slot would be held and released, and
    /// then belong to nobody until the log is back.
    fn wanted_releases(&self, step: &Step<'_>) -> BTreeMap<SlotId, Releasing> {
        if !step.cx.log_is_fresh(step.now) {
            return BTreeMap::new();
        }
        let is_fit = |to: &ServerId| {
            let known = step.cx.state.servers.get(to);
            *to != self.id.server
                && known.is_some_and(|known| known.is_active() && known.service == self.id.service)
        };
        let planned = step.cx.planned.iter().filter(|planned| is_fit(&planned.to)).map(|planned| {
            let (to, why) = (Some(planned.to.clone()), planned.why.clone());
            (planned.slot, Releasing { to, why, drained: false })
        });
        let retired = step.cx.state.to_release(&self.id.server).map(|(_, slot, _)| {
            let why = "the service is configured no more".to_owned();
            (slot, Releasing { to: None, why, drained: false })
        });
        planned.chain(retired).collect()
    }

    /// A slot that the grant still holds is opened again; one that was released already goes where
    /// it was to go.
    fn cancel_releases(&mut self, step: &mut Step<'_>, wanted: &BTreeMap<SlotId, Releasing>) {
        let Some(seen) = &self.seen else { return };
        let granted = &seen.state.slots;
        let before = self.releasing.len();
        self.releasing.retain(|slot, _| wanted.contains_key(slot) || !granted.contains(slot));
        if self.releasing.len() < before {
            self.open(step);
        }
    }

    /// The record for slots that the grant lacks and that are to go to the same server.
    ///
    /// It is based on the epochs by which the grant lacks them. If a successor brought one back, that took a
    /// newer record, and this one is void for it.
    pub(super) fn release_record(
        &self,
        step: &Step<'_>,
        lacking: &[SlotBase],
    ) -> Option<(Record, String)> {
        let target = |base: &SlotBase| self.releasing.get(&base.slot);
        let first = lacking.iter().find_map(target)?;
        let same = |base: &&SlotBase| target(base).is_some_and(|other| other.to == first.to);
        let slots: Vec<SlotBase> = lacking.iter().filter(same).copied().collect();
        let service = step.server(&self.id)?.service.clone();
        let from = self.id.server.clone();
        let record = match first.to.clone() {
            Some(to) => Record::Move { service, slots, from, to },
            None => Record::Release { service, slots, from },
        };
        Some((record, first.why.clone()))
    }
}
