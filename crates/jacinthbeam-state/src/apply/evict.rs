//! `Evict`: all slots are taken from a backend server that does not answer.

use std::collections::BTreeMap;

use super::{moves::note_change, slots::NewState, *};
use crate::{
    How, Status,
    outcome::{SlotVoid, Subject},
    record::SlotTarget,
};

impl State {
    pub(super) fn apply_evict(
        &mut self,
        at: Offset,
        server: &ServerId,
        base: Epoch,
        witness_epoch: Option<Epoch>,
        promised: &[Incarnation],
        to: &[SlotTarget],
    ) -> Result<Outcome, Why> {
        self.check_server_epoch(server, base)?;
        let Some(known) = self.servers.get(server) else {
            return Err(Why::UnknownServer(server.clone()));
        };
        if !known.is_active() {
            return Err(Why::NotActive(server.clone()));
        }
        let (service, cell, slots) =
            (known.service.clone(), known.cell.clone(), known.slots.clone());
        let needs_promises = self.needs_promises(known);
        self.check_promises(&cell, witness_epoch, promised, needs_promises)?;

        let mut changes = vec![Change::Evicted { server: server.clone() }];
        let mut void = Vec::new();
        let mut targets: BTreeMap<SlotId, &ServerId> = BTreeMap::new();
        for target in to {
            targets.entry(target.slot).or_insert(&target.to);
        }
        if let Some(known) = self.servers.get_mut(server) {
            known.status = Status::Evicted;
            known.epoch = Epoch(at.0);
            known.since = at;
        }
        for slot in slots.iter() {
            let target = targets.remove(slot);
            let to = match target.map(|to| self.check_target(&service, to).map(|()| to)) {
                Some(Ok(to)) => Some(to),
                Some(Err(why)) => {
                    void.push(SlotVoid { slot: *slot, why });
                    None
                }
                None => None,
            };
            let Some(old) = self.division(&service).and_then(|division| division.slot(*slot))
            else {
                continue;
            };
            let new = NewState { to, how: How::Evicted, lapse: Some(at) };
            self.set_slot(at, &service, *slot, new);
            note_change(&mut changes, &service, *slot, &old, new);
        }
        self.unseat_idle(&service, server);
        changes.extend(self.drop_released(&service));
        void.extend(targets.into_keys().map(|slot| {
            let owner = self.division(&service).and_then(|division| division.owner(slot));
            SlotVoid { slot, why: Why::NotOwner(owner.map(|owner| owner.server)) }
        }));
        Ok(Outcome::Applied { changes, void })
    }

    /// The lease of a server may be renewed on the word of `r` witnesses. `n - r + 1` that promised
    /// silence leave too few for that, so no lease outlives this record by more than its length.
    fn check_promises(
        &self,
        cell: &CellId,
        base: Option<Epoch>,
        promised: &[Incarnation],
        needs_promises: bool,
    ) -> Result<(), Why> {
        let set = self.cells.get(cell);
        let present = set.map(|set| set.epoch);
        if base != present {
            return Err(Why::Stale { of: Subject::Witnesses(cell.clone()), base, present });
        }
        let Some(set) = set.filter(|_| needs_promises) else { return Ok(()) };
        let needed = set.eviction_quorum();
        let promised = self.promises(cell, set, promised);
        if promised < needed {
            return Err(Why::TooFewPromises { promised, needed });
        }
        Ok(())
    }

    /// A slot never stays with the evicted server: where its next owner is unfit it has none, until
    /// `Reassign` places it.
    fn check_target(&self, service: &ServiceName, to: &ServerId) -> Result<(), Why> {
        self.divided(service)?;
        self.check_active(to, service).map_err(|_| Why::BadTarget(to.clone()))
    }
}
