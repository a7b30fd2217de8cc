//! A decided move of one slot.

use std::fmt;

use jacinthbeam_types::prelude::*;

use crate::view::Load;

/// A move that the attendant of the losing server should carry out.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedMove {
    /// The slot.
    pub slot: SlotId,
    /// Its owner now.
    pub from: ServerId,
    /// Its owner to be, whose attendant may still decline, see [`accept`](crate::accept).
    pub to: ServerId,
    /// Load that goes with the slot.
    pub load: Load,
    /// Load expected to be left at the losing server.
    pub left: Load,
    /// Reason, for the record in the log.
    pub why: Why,
}

impl fmt::Display for PlannedMove {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { slot, from, to, load, left, why } = self;
        write!(f, "slot {slot} (load {load}) from {from} (left {left}) to {to}: {why}")
    }
}

/// Why a slot is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The losing server carries too much.
    Overloaded,
    /// The gaining server asked for load.
    Asked,
    /// The gaining server is new.
    Joined,
    /// The losing server is leaving.
    Leaving,
    /// The slot holds a split-out key that cooled down and goes back to the owner of the slot it came from.
    Cooled,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "the losing server carries too much load",
            Self::Asked => "the gaining server asked for load",
            Self::Joined => "the gaining server is new",
            Self::Leaving => "the losing server is leaving",
            Self::Cooled => "the split-out key cooled down",
        })
    }
}
