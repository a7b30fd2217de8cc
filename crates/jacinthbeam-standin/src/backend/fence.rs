//! The server's memory of grants.

use jacinthbeam_native::format::backend::{Grant, RefusedBecause, SlotSet};
use jacinthbeam_types::prelude::*;

/// Last grant accepted in this life of the server.
#[derive(Debug)]
pub(super) struct Fence {
    pub(super) incarnation: Incarnation,
    pub(super) token: Token,
    pub(super) slots: SlotSet,
    pub(super) until: u64,
    pub(super) based_on: Option<Offset>,
}

impl Fence {
    /// A fence that has seen no grant.
    pub(super) fn new(incarnation: Incarnation) -> Self {
        let (token, slots) = (Token::default(), SlotSet::default());
        Self { incarnation, token, slots, until: 0, based_on: None }
    }

    /// Accepts a grant unless it is for another life, from a replaced attendant, or based on older records.
    pub(super) fn accept(&mut self, grant: Grant) -> bool {
        let stale = grant.incarnation != self.incarnation
            || grant.token < self.token
            || Some(grant.based_on) < self.based_on;
        if stale {
            return false;
        }
        self.token = grant.token;
        self.slots = grant.slots;
        self.until = grant.until;
        self.based_on = Some(grant.based_on);
        true
    }

    /// Whether a request under this token comes from the present attendant.
    pub(super) fn check_token(&self, token: Option<Token>) -> Result<(), RefusedBecause> {
        match token {
            Some(token) if token == self.token => Ok(()),
            _ => Err(RefusedBecause::StaleToken),
        }
    }

    /// Whether the grant covers the slot at reading `clock` of the server's clock. A request of an undivided
    /// service names no slot and needs a grant that has none.
    pub(super) fn check_slot(
        &self,
        slot: Option<SlotId>,
        clock: u64,
    ) -> Result<(), RefusedBecause> {
        if clock >= self.until {
            return Err(RefusedBecause::Lapsed);
        }
        let covered = match slot {
            Some(slot) => self.slots.contains(slot),
            None => self.slots.is_empty(),
        };
        if covered { Ok(()) } else { Err(RefusedBecause::NotOwner) }
    }
}
