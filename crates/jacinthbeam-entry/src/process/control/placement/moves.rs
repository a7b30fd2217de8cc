//! Planned moves, from the decision until the record is read or the move is given up.

use std::time::{Duration, Instant};

use jacinthbeam_lease::attendant;
use jacinthbeam_placement::PlannedMove;
use jacinthbeam_state::{Change, How};
use jacinthbeam_types::prelude::*;

use super::{Begun, SlotOf};
use crate::process::control::Control;

/// A planned move that is not done by then is given up, so that its slot is not held back for good.
const PATIENCE: Duration = Duration::from_secs(20);

impl Control {
    /// Tells the attendant of the losing server; it holds, drains, releases and records the move.
    pub(super) fn hand_over(&mut self, now: Instant, service: &ServiceName, planned: &PlannedMove) {
        let Some(tended) = self.tended.get_mut(&planned.from) else { return };
        if tended.planned.iter().any(|known| known.slot == planned.slot) {
            return;
        }
        tended.planned.push(attendant::PlannedMove {
            slot: planned.slot,
            to: planned.to.clone(),
            why: planned.why.to_string(),
        });
        let slot = SlotOf { server: planned.from.clone(), slot: planned.slot };
        self.placement.begun.insert(slot, Begun { service: service.clone(), at: now });
    }

    /// Takes note of a record that was read.
    pub(in super::super) fn note_placed(&mut self, change: &Change) {
        let now = self.clock.now();
        match change {
            Change::Joined { server, .. } => {
                self.placement.cold.insert(server.clone(), now);
            }
            // They were given their shares, and are all as cold as each other.
            Change::Founded { service, .. } => {
                let servers = self.state.servers_of(service).map(|(id, _)| id);
                servers.for_each(|id| _ = self.placement.cold.remove(id));
            }
            Change::Evicted { server } | Change::Left { server } => {
                self.placement.cold.remove(server);
                self.placement.heard.remove(server);
            }
            Change::Slots { service, slots, from: Some(from), to, how } => {
                let done = to.as_ref() != Some(from) && *how == How::Moved;
                self.end_moves(now, service, from, slots, done);
            }
            _ => {}
        }
    }

    pub(super) fn end_moves(
        &mut self,
        now: Instant,
        service: &ServiceName,
        from: &ServerId,
        slots: &[SlotId],
        done: bool,
    ) {
        if let Some(progress) = self.placement.progress.get_mut(service) {
            slots.iter().for_each(|slot| progress.end(*slot, done, now));
        }
        for slot in slots {
            self.placement.begun.remove(&SlotOf { server: from.clone(), slot: *slot });
        }
        let Some(tended) = self.tended.get_mut(from) else { return };
        tended.planned.retain(|planned| !slots.contains(&planned.slot));
        if let Some(attended) = tended.attended.as_ref().filter(|_| done) {
            attended.moved(&slots.iter().copied().collect());
        }
    }

    /// Ends moves whose drain or record takes too long; a leaving server's are planned anew in the next window.
    pub(super) fn give_up_moves(&mut self, now: Instant) {
        let late = |begun: &Begun| now > begun.at + PATIENCE;
        let late: Vec<(SlotOf, ServiceName)> = self
            .placement
            .begun
            .iter()
            .filter(|(_, begun)| late(begun))
            .map(|(slot, begun)| (slot.clone(), begun.service.clone()))
            .collect();
        for (SlotOf { server, slot }, service) in late {
            log::warn!("move: slot {slot} of {server} is given up for now");
            self.end_moves(now, &service, &server, &[slot], false);
        }
    }
}
