//! `Split`, `Merge`: a hot key gets a slot of its own, or returns to its slot.

use super::{slots::check_base, *};
use crate::{How, division::MAX_SPLIT, record::SlotBase};

impl State {
    /// The key stays with the owner of its slot. Were it given to another server at once, a
    /// successor of that owner's attendant that has not read this record could go on serving the
    /// key under the lease for the old slot.
    pub(super) fn apply_split(
        &mut self,
        at: Offset,
        service: &ServiceName,
        key: KeyHash,
        slot: SlotId,
        base: Epoch,
    ) -> Result<Outcome, Why> {
        let division = self.divided(service)?;
        if division.split().contains_key(&key) {
            return Err(Why::AlreadySplit(key));
        }
        if division.split().len() >= MAX_SPLIT {
            return Err(Why::TooManySplit(MAX_SPLIT));
        }
        if division.next_split() != slot || slot.0 == u32::MAX {
            return Err(Why::SplitId { record: slot, next: division.next_split() });
        }
        let parent = division.parent_of(key);
        let old = check_base(division, &SlotBase { slot: parent, epoch: base });
        let old = old.map_err(|void| void.why)?;
        let Some(server) = old.server else { return Err(Why::NotOwner(None)) };

        if let Some(division) = self.division_mut(service) {
            division.insert_split(key, parent);
        }
        if let Some(known) = self.servers.get_mut(&server) {
            known.insert_slot(slot);
        }
        self.renew_slot(at, service, parent, How::Split);
        self.renew_slot(at, service, slot, How::Split);
        Ok(Outcome::one(Change::Split { service: service.clone(), key, slot, server }))
    }

    /// The slot that the key returns to gets a new epoch: a move of it that was prepared before
    /// would take the key along although its lease still names the key's own slot.
    pub(super) fn apply_merge(
        &mut self,
        at: Offset,
        service: &ServiceName,
        key: KeyHash,
        base: Epoch,
        parent_base: Epoch,
    ) -> Result<Outcome, Why> {
        let division = self.divided(service)?;
        let Some(&slot) = division.split().get(&key) else { return Err(Why::NotSplit(key)) };
        let parent = division.parent_of(key);
        let own = check_base(division, &SlotBase { slot, epoch: base });
        let own = own.map_err(|void| void.why)?;
        let old = check_base(division, &SlotBase { slot: parent, epoch: parent_base });
        let old = old.map_err(|void| void.why)?;
        if own.server != old.server {
            return Err(Why::OwnersDiffer(own.server, old.server));
        }
        let Some(server) = old.server else { return Err(Why::NotOwner(None)) };

        if let Some(division) = self.division_mut(service) {
            division.remove_split(key);
        }
        if let Some(known) = self.servers.get_mut(&server) {
            known.remove_slot(slot);
        }
        let lapse = own.lapse.max(old.lapse);
        let new = super::slots::NewState { to: Some(&server), how: How::Split, lapse };
        self.set_slot(at, service, parent, new);
        Ok(Outcome::one(Change::Merged { service: service.clone(), key, slot: parent, server }))
    }
}
