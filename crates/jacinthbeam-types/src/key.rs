//! From a caller's key to the slot that holds it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::SlotId;

/// Hash of a key, the same on every host and in every release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes the bytes of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// The slot of the key: its own if it was split out as a hot key, else its share of `slots`.
    ///
    /// `slots` must not be 0.
    pub fn slot(self, slots: u32, split: &BTreeMap<KeyHash, SlotId>) -> SlotId {
        match split.get(&self) {
            Some(slot) => *slot,
            None => SlotId((self.0 % u64::from(slots)) as u32),
        }
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Rendezvous weight of `member` for `subject`: the member with the highest weight is picked.
pub fn rendezvous_weight(subject: &str, member: &str) -> u64 {
    let mut buf = Vec::with_capacity(subject.len() + member.len() + 1);
    buf.extend_from_slice(subject.as_bytes());
    buf.push(0);
    buf.extend_from_slice(member.as_bytes());
    xxh3_64(&buf)
}
