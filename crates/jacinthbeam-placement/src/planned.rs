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
    /// Number of heavy slots at the losing server with this one, if this one is
    /// [heavy](crate::View::is_heavy); else 0.
    pub heavy: usize,
    /// Reason, for the record in the log.
    pub why: Why,
}

impl PlannedMove {
    /// By how many heavy slots the gaining server must have fewer than the losing one for a move of
    /// [`Why::Crowded`].
    ///
    /// One fewer is asked of every other move of a heavy slot. So the sum of the squared numbers of
    /// heavy slots never grows, and shrinks where the sum of squared loads may grow. Under constant
    /// load moves come to an end therefore.
    pub const FEWER_HEAVY: usize = 2;
}

impl fmt::Display for PlannedMove {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { slot, from, to, load, left, why, .. } = self;
        write!(f, "slot {slot} (load {load}) from {from} (left {left}) to {to}: {why}")
    }
}

/// Why a slot is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The losing server carries too much.
    Overloaded,
    /// The losing server has several heavy slots, and the gaining one has light slots to give away.
    Crowded,
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
            Self::Crowded => "the losing server has several heavy slots",
            Self::Asked => "the gaining server asked for load",
            Self::Joined => "the gaining server is new",
            Self::Leaving => "the losing server is leaving",
            Self::Cooled => "the split-out key cooled down",
        })
    }
}
