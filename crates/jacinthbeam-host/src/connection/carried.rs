//! The attempts that a connection to a backend server has carried.
//!
//! A server may send a second copy of a response at any later time, and the id of the attempt is all that relates a response to its request.
//! A connection therefore carries each attempt at most once.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hasher},
};

use http::HeaderValue;

/// Attempts that a connection carries before it is closed, which bounds the memory for their digests.
pub const MAX_ATTEMPTS: usize = 1024;

/// Digest of the id of a caller's attempt. Equal ids have equal digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptDigest(u64);

impl AttemptDigest {
    /// Digest of an id.
    pub fn of(id: &HeaderValue) -> Self {
        let mut hasher = DefaultHasher::new();
        hasher.write(id.as_bytes());
        Self(hasher.finish())
    }
}

/// The attempts that one connection has carried.
#[derive(Debug, Default)]
pub struct CarriedAttempts(BTreeSet<AttemptDigest>);

impl CarriedAttempts {
    /// Records an attempt that is about to be sent. Returns `false` if the connection has carried it before.
    pub fn insert(&mut self, attempt: AttemptDigest) -> bool {
        self.0.insert(attempt)
    }

    /// Whether the connection may have carried the attempt.
    pub fn contains(&self, attempt: AttemptDigest) -> bool {
        self.0.contains(&attempt)
    }

    /// Whether the connection may carry no further attempt.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_ATTEMPTS
    }
}
