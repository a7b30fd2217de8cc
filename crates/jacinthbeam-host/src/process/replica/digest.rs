//! Digests of the listed servers, by which two replicas find out whether they list the same ones.
//!
//! A host answers another one with the records that it has and the other lacks. That it has all of them can't be taken for granted: a host that
//! has started reads what exists, and no record of the servers that left before. So an update states a digest of what the answering host
//! lists. If the receiver's differs after the update, its next request states a digest of each bucket of names, and the answer lists the
//! differing buckets completely. The size of updates thus depends on what changed and not on the number of servers.

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of buckets of names.
const BUCKETS: usize = 256;

/// Digest of a set of records, each identified by name and offset. Independent of their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// Adds a record.
    pub fn add(&mut self, name: &ServerName, offset: Offset) {
        self.0 = self.0.wrapping_add(hash_of(name, offset));
    }

    /// Removes a record that was added.
    pub fn remove(&mut self, name: &ServerName, offset: Offset) {
        self.0 = self.0.wrapping_sub(hash_of(name, offset));
    }
}

fn hash_of(name: &ServerName, offset: Offset) -> u64 {
    let name = name.as_str().as_bytes();
    KeyHash::of(&[&offset.0.to_be_bytes(), name].concat()).0
}

/// Number of a bucket of names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Bucket(u16);

impl Bucket {
    /// The bucket of a name.
    pub fn of(name: &ServerName) -> Self {
        Self((KeyHash::of(name.as_str().as_bytes()).0 % BUCKETS as u64) as u16)
    }
}

/// A digest of each bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigests(Vec<Digest>);

impl BucketDigests {
    /// The digests of these records.
    pub fn of<'a>(records: impl Iterator<Item = (&'a ServerName, Offset)>) -> Self {
        let mut digests = vec![Digest::default(); BUCKETS];
        for (name, offset) in records {
            digests[usize::from(Bucket::of(name).0)].add(name, offset);
        }
        Self(digests)
    }

    /// The buckets whose digests differ.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = Bucket> + 'a {
        let differs = |bucket: &usize| self.0.get(*bucket) != other.0.get(*bucket);
        (0..BUCKETS).filter(differs).map(|bucket| Bucket(bucket as u16))
    }
}
