//! Grants, and the arithmetic of a lease's end on two clocks.
//!
//! The types mirror the platform's wire format, so that this crate depends on no I/O.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::timing::Timing;

/// The right to serve some slots until some time, as it is sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Token of the sender.
    pub token: Token,
    /// The life of the backend server that is meant.
    pub incarnation: Incarnation,
    /// Slots it may serve; empty for an undivided service.
    pub slots: BTreeSet<SlotId>,
    /// End of the grant in microseconds of the backend server's own clock.
    pub until: u64,
    /// Every assignment of a slot up to this record is in the grant, or was taken out of it on purpose.
    pub based_on: Offset,
}

/// What a backend server says of its grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantState {
    /// Present life of the backend server.
    pub incarnation: Incarnation,
    /// Highest token accepted; 0 if none.
    pub token: Token,
    /// Slots of the last grant, also if it has ended.
    pub slots: BTreeSet<SlotId>,
    /// End of the last grant in microseconds of the server's clock.
    pub until: u64,
    /// See [`Grant::based_on`]; `None` before the first grant.
    pub based_on: Option<Offset>,
    /// The server's clock in microseconds, read when the answer was made.
    pub clock: u64,
    /// Requests running now.
    pub running: u32,
    /// Those among them that were admitted under a lower token.
    pub running_older: u32,
    /// Whether the server asks for no new work.
    pub draining: bool,
}

/// What traffic may be sent to a backend server. Replaces the permit before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// Token that requests carry.
    pub token: Token,
    /// The life of the backend server that is meant.
    pub incarnation: Incarnation,
    /// Slots whose requests may be sent; empty for an undivided service, whose requests all may.
    pub slots: BTreeSet<SlotId>,
    /// A request may be written only while `now < until`. Checked again after every wait, however short: the
    /// process may have been paused in it.
    pub until: Instant,
    /// Keys must be mapped to slots by a fold that contains this record. An older one may not know
    /// that a key was split out, and would send it under a slot that the server still holds.
    pub based_on: Offset,
}

impl Permit {
    /// Whether a request for the slot (`None`: undivided service) may be written now.
    pub fn allows(&self, now: Instant, slot: Option<SlotId>) -> bool {
        now < self.until && slot.is_none_or(|slot| self.slots.contains(&slot))
    }
}

/// Bits of a token below its counter, which tell the hosts of a cell apart.
const HOST_BITS: u32 = 32;

/// A token above `reported` that no other host presents.
///
/// Two hosts that read the same token and both presented the next number would both be accepted, since the
/// server refuses only lower ones; neither would learn of the other. So a token is a counter followed by bits
/// of the host's incarnation.
pub fn next_token(reported: Token, host: Incarnation) -> Token {
    let counter = (reported.0 >> HOST_BITS).saturating_add(1);
    let host = (host.0 ^ (host.0 >> HOST_BITS)) & u64::from(u32::MAX);
    Token((counter << HOST_BITS) | host)
}

/// End of a grant on the server's clock, in microseconds; `None` if the proof is too old to grant anything.
///
/// The server's clock stood at `state.clock` before `received`. It therefore reaches the result no later than
/// the local time `proof + lease`, however long the grant spends in a socket or a paused process, and however
/// much the two clocks drift.
pub fn until(
    state: &GrantState,
    received: Instant,
    proof: Instant,
    timing: &Timing,
) -> Option<u64> {
    let left = (proof + timing.lease).checked_duration_since(received)?;
    let left = micros(timing.shrink(left));
    (left > 0).then(|| state.clock.saturating_add(left))
}

/// Local time before which the server's lease surely runs, judged by an answer to a message sent at `sent`.
///
/// The server read its clock after `sent`. So an answer that arrives late can't extend the result.
pub fn usable_until(state: &GrantState, sent: Instant, timing: &Timing) -> Instant {
    let left = Duration::from_micros(state.until.saturating_sub(state.clock));
    sent + timing.shrink(left)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
