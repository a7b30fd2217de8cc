//! `Move`, `Release`, `Reassign`: slots change hands with the consent of their owner's attendant.

use super::{
    slots::{NewState, check_base},
    *,
};
use crate::{How, division::Slot, outcome::SlotVoid, record::SlotBase};

impl State {
    pub(super) fn apply_move(
        &mut self,
        at: Offset,
        service: &ServiceName,
        slots: &[SlotBase],
        from: &ServerId,
        to: &ServerId,
    ) -> Result<Outcome, Why> {
        self.divided(service)?;
        self.check_active(to, service)?;
        if from == to {
            return Err(Why::SameOwner(to.clone()));
        }
        let owned_by = |slot: &Slot| slot.server.as_ref() == Some(from);
        let outcome = self.change_slots(at, service, slots, owned_by, |slot| NewState {
            to: Some(to),
            how: How::Moved,
            lapse: slot.lapse,
        });
        self.unseat_idle(service, from);
        outcome
    }

    pub(super) fn apply_release(
        &mut self,
        at: Offset,
        service: &ServiceName,
        slots: &[SlotBase],
        from: &ServerId,
    ) -> Result<Outcome, Why> {
        let owned_by = |slot: &Slot| slot.server.as_ref() == Some(from);
        let outcome = self.change_slots(at, service, slots, owned_by, |slot| NewState {
            to: None,
            how: How::Released,
            lapse: slot.lapse,
        });
        self.unseat_idle(service, from);
        let mut outcome = outcome?;
        if let Outcome::Applied { changes, .. } = &mut outcome {
            changes.extend(self.drop_released(service));
        }
        Ok(outcome)
    }

    pub(super) fn apply_reassign(
        &mut self,
        at: Offset,
        service: &ServiceName,
        server: &ServerId,
        slots: &[SlotBase],
    ) -> Result<Outcome, Why> {
        self.divided(service)?;
        self.check_active(server, service)?;
        let owned_or_vacant =
            |slot: &Slot| slot.server.as_ref().is_none_or(|owner| owner == server);
        self.change_slots(at, service, slots, owned_or_vacant, |slot| NewState {
            to: Some(server),
            how: if slot.server.is_some() { How::Reassigned } else { How::Placed },
            lapse: slot.lapse,
        })
    }

    /// Changes those of the slots whose base is the present epoch and whose owner suits.
    fn change_slots<'a>(
        &mut self,
        at: Offset,
        service: &ServiceName,
        slots: &[SlotBase],
        suits: impl Fn(&Slot) -> bool,
        new: impl Fn(&Slot) -> NewState<'a>,
    ) -> Result<Outcome, Why> {
        let mut changes = Vec::new();
        let mut void = Vec::new();
        for base in slots {
            let Some(division) = self.division(service) else {
                return Err(Why::NotDivided(service.clone()));
            };
            let old = match check_base(division, base) {
                Ok(old) => old,
                Err(err) => {
                    void.push(err);
                    continue;
                }
            };
            if !suits(&old) {
                void.push(SlotVoid { slot: base.slot, why: Why::NotOwner(old.server) });
                continue;
            }
            let new = new(&old);
            self.set_slot(at, service, base.slot, new);
            note_change(&mut changes, service, base.slot, &old, new);
        }
        match (changes.is_empty(), void.first()) {
            (false, _) => Ok(Outcome::Applied { changes, void }),
            (true, Some(first)) if void.len() == 1 => Err(first.why.clone()),
            (true, Some(_)) => Err(Why::AllSlots(void)),
            (true, None) => Err(Why::Nothing),
        }
    }
}

/// Adds a slot to the last change if that says the same of other slots.
pub(super) fn note_change(
    changes: &mut Vec<Change>,
    service: &ServiceName,
    slot: SlotId,
    old: &Slot,
    new: NewState<'_>,
) {
    if let Some(Change::Slots { slots, from, to, how, .. }) = changes.last_mut()
        && *from == old.server
        && to.as_ref() == new.to
        && *how == new.how
    {
        slots.push(slot);
        return;
    }
    changes.push(Change::Slots {
        service: service.clone(),
        slots: vec![slot],
        from: old.server.clone(),
        to: new.to.cloned(),
        how: new.how,
    });
}
