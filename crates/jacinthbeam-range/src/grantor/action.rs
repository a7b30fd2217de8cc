//! What a grantor wants done.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use crate::{
    key::KeyRange,
    map::{Leader, Map, Owner},
};

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Keep this map in the store if the newest record is still the one that was read last.
    Record(Map),
    /// Ask the store whether the newest record is still the same.
    Check,
    /// Grant ranges to their owner, one call after the other.
    Grant {
        /// Who gets them.
        to: Owner,
        /// The ranges.
        grants: Vec<RangeGrant>,
        /// The connection that they may go over, named by when it was open; nothing is sent over another, which is opened and told of
        /// instead ([`Outcome::Opened`](super::Outcome::Opened)).
        connection: Option<Instant>,
        /// No call may be sent later than this, on a clock that counts suspension.
        until: Instant,
    },
    /// Take a range back from its owner.
    Release {
        /// Who gives it back.
        from: Owner,
        /// The keys.
        range: KeyRange,
        /// A token above that of the grant.
        token: Token,
    },
    /// Tell the host that leads now that this one has stopped, so that it need not wait for the end of this one's right.
    NotifySuccessor {
        /// Who leads.
        to: Leader,
        /// The epoch in which this one led.
        epoch: Epoch,
        /// For how long hosts that led before this one may still renew.
        others_left: Duration,
    },
    /// Tell all hosts that this one has stopped: the store took no record that says so.
    BroadcastStopped {
        /// The epoch in which it led.
        epoch: Epoch,
        /// For how long hosts that led before this one may still renew.
        others_left: Duration,
    },
    /// Give the duty back: most owners can't be reached from here.
    Resign,
}

/// One grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeGrant {
    /// The keys.
    pub range: KeyRange,
    /// Its token.
    pub token: Token,
    /// What the last owner handed over, on the first grant only.
    pub handover: Option<String>,
}
