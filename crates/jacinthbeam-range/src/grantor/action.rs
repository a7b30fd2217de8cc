//! Outputs of a [`Grantor`](super::Grantor).

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use crate::{
    key::KeyRange,
    map::{Leader, Map, Owner},
};

/// Output for the host to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append this map to the store, on the condition that the newest record is still the one that
    /// was read last.
    Record(Map),
    /// Ask the store whether the newest record is still the same.
    Check,
    /// Send grants to one owner, one call after the other.
    Grant {
        /// The owner.
        to: Owner,
        /// What to grant.
        grants: Vec<RangeGrant>,
        /// The connection to send them over, identified by the time at which it was known to be
        /// open. Nothing may be sent over any other: a new one is opened instead and reported as
        /// [`Outcome::Opened`](super::Outcome::Opened).
        connection: Option<Instant>,
        /// No call may be sent later than this, on a clock that keeps running while the host is
        /// suspended.
        until: Instant,
    },
    /// Take a range back from its owner.
    Release {
        /// The present owner.
        from: Owner,
        /// The keys.
        range: KeyRange,
        /// A token above that of the grant.
        token: Token,
    },
    /// Notify the present leader that this host has stopped granting, so that it need not wait
    /// until this host's right to grant expires.
    NotifySuccessor {
        /// The present leader.
        to: Leader,
        /// The epoch in which this host led.
        epoch: Epoch,
        /// For how long this host's own predecessors may still renew.
        others_left: Duration,
    },
    /// Notify all hosts that this one has stopped granting, because no record in the store says so.
    BroadcastStopped {
        /// The epoch in which this host led.
        epoch: Epoch,
        /// For how long this host's own predecessors may still renew.
        others_left: Duration,
    },
    /// Give the duty back, since most owners can't be reached from this host.
    Resign,
}

/// The grant of one range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeGrant {
    /// The keys.
    pub range: KeyRange,
    /// Fencing token of the grant.
    pub token: Token,
    /// What the previous owner handed over; only on the first grant.
    pub handover: Option<String>,
}
