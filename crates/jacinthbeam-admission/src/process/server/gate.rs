//! Holding requests back: for one slot while it moves, for all while there is no lease, for good at a stop.

use std::time::Duration;

use jacinthbeam_types::prelude::*;

use super::{Admission, MIN_RETRY_AFTER, Refused};

/// Whether requests pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Requests are sent.
    Open,
    /// Requests wait, within their deadlines and the bound of the queue. For a lease that is about to be renewed.
    Paused,
    /// Requests are refused with this reason. For a lost attendance or a stop.
    Closed(Reason),
}

impl Gate {
    pub(super) fn is_open(self) -> bool {
        self == Self::Open
    }
}

impl Admission {
    /// Sets the gate. Closing it refuses all that wait, so that they can be sent elsewhere at once; what runs goes on.
    pub fn set_gate(&mut self, gate: Gate) -> Vec<Refused> {
        self.gate = gate;
        let Gate::Closed(reason) = gate else { return Vec::new() };
        let refused = self.queue.drain_where(|_| true);
        refused.into_iter().map(|ticket| refuse(ticket, reason, MIN_RETRY_AFTER)).collect()
    }

    /// Starts no more requests of these slots, for a planned move; they wait.
    pub fn hold(&mut self, slots: impl IntoIterator<Item = SlotId>) {
        self.queue.hold(slots);
    }

    /// The move was given up: requests of these slots are started again.
    pub fn resume(&mut self, slots: impl IntoIterator<Item = SlotId>) {
        self.queue.resume(slots);
    }

    /// The slots have gone to another backend server: what waits for them is refused `not-run`, to be sent to the new owner.
    pub fn moved(&mut self, slots: impl IntoIterator<Item = SlotId>) -> Vec<Refused> {
        let mut refused = Vec::new();
        for slot in slots {
            let tickets = self.queue.drain_where(|ticket| ticket.slot == Some(slot));
            refused.extend(
                tickets.into_iter().map(|ticket| refuse(ticket, Reason::Moving, MIN_RETRY_AFTER)),
            );
            self.queue.resume([slot]);
        }
        refused
    }

    /// Requests of the slot that run or may run, those of earlier attendants not included: [`Admission::is_drained`] counts them.
    pub fn running(&self, slot: SlotId) -> u32 {
        self.places.running(slot)
    }

    /// Whether no request of the slot may still run.
    ///
    /// Requests of earlier attendants are of unknown slots, so none may be left.
    pub fn is_drained(&self, slot: SlotId) -> bool {
        self.running(slot) == 0 && self.places.foreign() == 0
    }

    /// Whether nothing waits and nothing may run: a planned stop may go on.
    pub fn is_idle(&self) -> bool {
        self.waiting() == 0 && self.in_use() == 0
    }
}

fn refuse(ticket: super::Ticket, reason: Reason, after: Duration) -> Refused {
    Refused { ticket, refusal: Refusal::not_run(reason).retry_after(after) }
}
