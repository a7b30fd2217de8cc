//! Record of the times during which a backend server held its slots.

use std::time::Instant;

use jacinthbeam_native::format::backend::SlotSet;
use jacinthbeam_types::prelude::*;

/// Holdings that are remembered; older ones are dropped.
const MAX_HOLDINGS: usize = 100_000;

/// A time during which the server held the same slots without a break. Renewals extend it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// The slots.
    pub slots: SlotSet,
    /// Token of the last grant in it.
    pub token: Token,
    /// When its first grant was accepted.
    pub from: Instant,
    /// When it ended: by its lease, by a grant of other slots, or with the server's life.
    pub until: Instant,
}

/// The holdings of a server, oldest first.
#[derive(Debug, Default)]
pub(super) struct Holdings(std::collections::VecDeque<Holding>);

impl Holdings {
    /// A grant of these slots was accepted at `now`.
    pub(super) fn granted(&mut self, now: Instant, slots: &SlotSet, token: Token, until: Instant) {
        let last = self.0.back_mut().filter(|last| last.until > now);
        if let Some(last) = last {
            if last.slots == *slots {
                last.until = until;
                last.token = token;
                return;
            }
            last.until = now;
        }
        if self.0.len() == MAX_HOLDINGS {
            self.0.pop_front();
        }
        self.0.push_back(Holding { slots: slots.clone(), token, from: now, until });
    }

    /// The server's life ended at `now`.
    pub(super) fn ended(&mut self, now: Instant) {
        if let Some(last) = self.0.back_mut() {
            last.until = last.until.min(now);
        }
    }

    pub(super) fn list(&self) -> Vec<Holding> {
        self.0.iter().cloned().collect()
    }
}
