//! Ranges on their way from one owner to the next.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use crate::{key::KeyRange, map::Owner};

/// When the release was ordered. The range was granted to its old owner before that, and is not again.
pub(super) type OrderedAt = Instant;

/// How far a change of owner has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// The old owner may still be sent a renewal that was begun before. It must not be renewed once its release is sent.
    Waiting,
    /// The release is sent, and answers when the running requests have ended.
    ///
    /// If no answer comes, the range stays without an owner until the old grant has surely run out: the release may not have arrived, and
    /// the old owner would go on serving beside the new one. That is one hold after the release was ordered, however long the answer
    /// is waited for. Counted from the end of that wait, the keys of a server that ended with requests of theirs had no owner for 7.5 s
    /// in place of 3.6, as reckoned from the spans.
    Releasing(OrderedAt),
    /// The old owner holds the keys no longer.
    Free(Option<String>),
}

/// One range that changes its owner. Renewals leave it out from the start.
#[derive(Debug, Clone)]
pub(super) struct PendingMove {
    pub(super) range: KeyRange,
    pub(super) from: Owner,
    pub(super) to: Owner,
    /// Token of the release, and of the new owner's grant.
    pub(super) token: Token,
    pub(super) stage: Stage,
}
