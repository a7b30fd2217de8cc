//! Ranges on their way from one owner to the next.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use crate::{key::KeyRange, map::Owner};

/// When the range was last granted to its old owner, at the latest.
pub(super) type LastCall = Instant;

/// How far a change of owner has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// The old owner may still be sent a renewal that was begun before. It must not be renewed once its release is sent.
    Waiting,
    /// The release is sent, and answers when the running requests have ended.
    Releasing,
    /// The release got no answer. The range stays without an owner until the old grant has surely run out: the release may
    /// not have arrived, and the old owner would go on serving beside the new one.
    Lapsing(LastCall),
    /// The old owner holds the keys no longer.
    Free(Option<String>),
}

/// One range that changes its owner. Renewals leave it out from the start.
#[derive(Debug, Clone)]
pub(super) struct Moving {
    pub(super) range: KeyRange,
    pub(super) from: Owner,
    pub(super) to: Owner,
    /// Token of the release, and of the new owner's grant.
    pub(super) token: Token,
    pub(super) stage: Stage,
}
