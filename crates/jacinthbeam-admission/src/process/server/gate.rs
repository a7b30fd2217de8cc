//! Holding requests back: for one slot while it moves, for all while there is no lease, for good at a stop.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use super::{Admission, MIN_RETRY_AFTER, Refused, Ticket};

/// Whether requests pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Requests are sent.
    Open,
    /// Requests wait, within their deadlines and the bound of the queue. For a lease that is about
    /// to be renewed.
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
    /// Sets the gate. Closing it refuses all that wait, so that they can be sent elsewhere at once;
    /// what runs goes on.
    pub fn set_gate(&mut self, now: Instant, gate: Gate) -> Vec<Refused> {
        if self.gate != gate {
            self.gate = gate;
            self.gate_since = now;
        }
        match gate {
            Gate::Closed(reason) => self.refuse_all(reason),
            Gate::Open | Gate::Paused => Vec::new(),
        }
    }

    /// Starts no more requests of these slots, for a planned move; they wait.
    pub fn hold(&mut self, now: Instant, slots: impl IntoIterator<Item = SlotId>) {
        self.queue.hold(now, slots);
    }

    /// The move was given up: requests of these slots are started again.
    pub fn resume(&mut self, slots: impl IntoIterator<Item = SlotId>) {
        self.queue.resume(slots);
    }

    /// The slots have gone to another backend server: what waits for them is refused `not-run`, to
    /// be sent to the new owner.
    pub fn moved(&mut self, slots: impl IntoIterator<Item = SlotId>) -> Vec<Refused> {
        let mut refused = Vec::new();
        for slot in slots {
            let tickets = self.queue.drain_where(|ticket| ticket.slot == Some(slot));
            refused.extend(refuse(tickets, Reason::Moving));
            self.queue.resume([slot]);
        }
        refused
    }

    /// Requests of the slot that run or may run, those of earlier attendants not included:
    /// [`Admission::is_drained`] counts them.
    pub fn running(&self, slot: SlotId) -> u32 {
        self.places.running(slot)
    }

    /// Whether no request of the slot may still run.
    ///
    /// Requests of earlier attendants are of unknown slots, so none may be left.
    pub fn is_drained(&self, slot: SlotId) -> bool {
        self.running(slot) == 0 && self.places.foreign() == 0
    }

    /// Why an offer of this slot is refused at once, if it is.
    pub(super) fn refuses(&self, now: Instant, slot: Option<SlotId>) -> Option<Reason> {
        let is_long = |since: Instant| now >= since + self.options.patience;
        match self.gate {
            Gate::Closed(reason) => Some(reason),
            Gate::Paused if is_long(self.gate_since) => Some(Reason::NoLease),
            Gate::Paused | Gate::Open => {
                self.queue.held_since(slot).filter(|since| is_long(*since)).map(|_| Reason::Moving)
            }
        }
    }

    /// Refuses what has waited for a lease or a move for longer than [`super::Options::patience`].
    pub(super) fn expire_held(&mut self, now: Instant) -> Vec<Refused> {
        if self.gate == Gate::Paused && now >= self.gate_since + self.options.patience {
            return self.refuse_all(Reason::NoLease);
        }
        match now.checked_sub(self.options.patience) {
            Some(since) => refuse(self.queue.remove_held(since), Reason::Moving),
            None => Vec::new(),
        }
    }

    /// When patience with a paused gate or a held slot ends for something that waits.
    pub(super) fn held_until(&self) -> Option<Instant> {
        let paused = self.gate == Gate::Paused && self.queue.len() > 0;
        let since = paused.then_some(self.gate_since).into_iter().chain(self.queue.longest_held());
        since.min().map(|since| since + self.options.patience)
    }

    fn refuse_all(&mut self, reason: Reason) -> Vec<Refused> {
        refuse(self.queue.drain_where(|_| true), reason)
    }

    /// Whether nothing waits and nothing may run: a planned stop may go on.
    pub fn is_idle(&self) -> bool {
        self.waiting() == 0 && self.in_use() == 0
    }
}

fn refuse(tickets: Vec<Ticket>, reason: Reason) -> Vec<Refused> {
    let refusal = Refusal::not_run(reason).retry_after(MIN_RETRY_AFTER);
    tickets.into_iter().map(|ticket| Refused { ticket, refusal: refusal.clone() }).collect()
}
