//! Changes of single slots, kept in step between owner tables and the servers' own lists.

use std::sync::Arc;

use jacinthbeam_types::prelude::*;

use crate::{
    Division, How, State, Why,
    division::Slot,
    outcome::{SlotVoid, Subject},
    record::SlotBase,
};

/// What a record makes of a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewState<'a> {
    pub(super) to: Option<&'a ServerId>,
    pub(super) how: How,
    pub(super) lapse: Option<Offset>,
}

impl State {
    /// The division of a service, whether configured or retired.
    pub(super) fn division(&self, service: &ServiceName) -> Option<&Division> {
        let division = self.services.get(service).or_else(|| self.retired.get(service));
        division.map(Arc::as_ref)
    }

    pub(super) fn division_mut(&mut self, service: &ServiceName) -> Option<&mut Division> {
        let division = self.services.get_mut(service).or_else(|| self.retired.get_mut(service));
        division.map(Arc::make_mut)
    }

    /// The division of a service that is configured.
    pub(super) fn divided(&self, service: &ServiceName) -> Result<&Division, Why> {
        if self.service(service).is_none() {
            return Err(Why::UnknownService(service.clone()));
        }
        let division = self.services.get(service).map(Arc::as_ref);
        division.ok_or_else(|| Why::NotDivided(service.clone()))
    }

    /// Checks that a server may own slots of the service.
    pub(super) fn check_active(&self, server: &ServerId, service: &ServiceName) -> Result<(), Why> {
        let Some(known) = self.servers.get(server) else {
            return Err(Why::UnknownServer(server.clone()));
        };
        if !known.is_active() {
            return Err(Why::NotActive(server.clone()));
        }
        if known.service != *service {
            return Err(Why::OtherService(server.clone(), known.service.clone()));
        }
        Ok(())
    }

    /// Gives an existing slot its next owner, or none.
    pub(super) fn set_slot(
        &mut self,
        at: Offset,
        service: &ServiceName,
        slot: SlotId,
        new: NewState<'_>,
    ) {
        let Some(old) = self.division(service).and_then(|division| division.slot(slot)) else {
            return;
        };
        if old.server.as_ref() != new.to {
            if let Some(from) = &old.server {
                self.remove_from_list(from, slot);
            }
            if let Some(to) = new.to {
                self.add_to_list(service, to, slot);
            }
        }
        let seat = new.to.and_then(|to| self.servers.get(to)?.seat);
        if let Some(division) = self.division_mut(service) {
            division.set(slot, seat, at, new.how, new.lapse);
        }
    }

    fn add_to_list(&mut self, service: &ServiceName, server: &ServerId, slot: SlotId) {
        let seated = self.servers.get(server).and_then(|known| known.seat);
        let seat = seated.or_else(|| Some(self.division_mut(service)?.seat(server)));
        if let Some(known) = self.servers.get_mut(server) {
            known.seat = seat;
            known.insert_slot(slot);
        }
    }

    /// Leaves the seat of a server that owns nothing any more until [`State::unseat_idle`]: the table may
    /// still name it.
    fn remove_from_list(&mut self, server: &ServerId, slot: SlotId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.remove_slot(slot);
        }
    }

    /// Gives back the seat of a server that owns nothing any more.
    pub(super) fn unseat_idle(&mut self, service: &ServiceName, server: &ServerId) {
        let Some(known) = self.servers.get_mut(server) else { return };
        if !known.slots.is_empty() {
            return;
        }
        let Some(seat) = known.seat.take() else { return };
        if let Some(division) = self.division_mut(service) {
            division.unseat(seat);
        }
    }
}

/// Checks a slot against the epoch that a record is based on.
pub(super) fn check_base(division: &Division, base: &SlotBase) -> Result<Slot, SlotVoid> {
    let Some(slot) = division.slot(base.slot) else {
        return Err(SlotVoid { slot: base.slot, why: Why::UnknownSlot(base.slot) });
    };
    if slot.epoch != base.epoch {
        let of = Subject::Slot(base.slot);
        let why = Why::Stale { of, base: Some(base.epoch), present: Some(slot.epoch) };
        return Err(SlotVoid { slot: base.slot, why });
    }
    Ok(slot)
}
