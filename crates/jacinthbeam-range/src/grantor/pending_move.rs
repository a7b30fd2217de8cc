//! Ranges that are being moved from one owner to another.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use crate::{key::KeyRange, map::Owner};

/// When the release was ordered. Every grant of the range to its old owner was sent before that,
/// and none is sent after it.
pub(super) type OrderedAt = Instant;

/// Progress of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// The old owner may have a renewal in flight. The release is sent once that has ended, since no
    /// renewal may follow it.
    Waiting,
    /// The release was sent. It is answered when the running requests have ended.
    ///
    /// If no answer comes, the range stays without an owner until the old grant has certainly
    /// expired: the release may not have arrived, and the old owner would go on serving beside the
    /// new one. The wait is one hold from the time at which the release was ordered, however long
    /// its answer takes. If it were counted from the release's timeout, the keys of a server that
    /// ended with requests in progress would have no owner for 7.5 s instead of 3.6 s, as
    /// calculated from the durations.
    Releasing(OrderedAt),
    /// The old owner no longer holds the keys. Contains what it hands over.
    Free(Option<String>),
}

/// A range that is being moved to another owner. It is excluded from renewals from the start.
#[derive(Debug, Clone)]
pub(super) struct PendingMove {
    pub(super) range: KeyRange,
    pub(super) from: Owner,
    pub(super) to: Owner,
    /// Token of the release and of the new owner's grant.
    pub(super) token: Token,
    pub(super) stage: Stage,
}
