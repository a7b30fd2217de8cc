//! A request as admission sees it.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

/// A request that asks for a place at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Names the request on every host.
    pub id: RequestId,
    /// Team that it is counted against.
    pub team: TeamName,
    /// Slot of its key; `None` for an undivided service.
    pub slot: Option<SlotId>,
    /// When its answer is of no more use.
    pub deadline: Instant,
}

/// A ticket that left the queue without being admitted. Its caller is to be answered at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The ticket.
    pub ticket: Ticket,
    /// What to tell the caller; always [`Verdict::NotRun`], since a waiting ticket was never sent.
    pub refusal: Refusal,
}
