//! Hashes of keys and names.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a key, the same on every host and in every release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes the bytes of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
