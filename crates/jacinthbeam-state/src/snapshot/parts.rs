//! Snapshots cut into records, and put together again.

use std::collections::BTreeMap;

use super::*;
use crate::{Record, record::codec};

/// Most bytes of the snapshot in one record.
pub const MAX_PART: usize = 480 << 10;
/// Incomplete snapshots that are kept at a time. The one with the lowest offset makes room.
const MAX_SETS: usize = 4;
/// Most parts of a snapshot.
const MAX_PARTS: u32 = (MAX_LEN / MAX_PART) as u32 + 1;

/// Tells apart snapshots of different states.
pub(super) fn checksum(buf: &[u8]) -> u64 {
    KeyHash::of(buf).0
}

impl State {
    /// The state as records of at most [`MAX_PART`] bytes and a little more, to be appended in any order.
    pub fn to_snapshot_parts(&self) -> Result<Vec<Record>, Error> {
        let buf = self.encode()?;
        let checksum = checksum(&buf);
        let chunks = buf.chunks(MAX_PART);
        let of = chunks.len() as u32;
        let part = |(part, bytes): (usize, &[u8])| {
            let (upto, part, bytes) = (self.next, part as u32, bytes.to_vec());
            Record::Snapshot(SnapshotPart { upto, part, of, checksum, bytes })
        };
        Ok(chunks.enumerate().map(part).collect())
    }
}

/// Which snapshot a part belongs to: parts of the same state fit together, whoever appended them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    upto: Offset,
    of: u32,
    checksum: u64,
}

/// Snapshots of which not all parts have come yet. Parts may come in any order, twice, and mixed
/// with those of others.
#[derive(Debug, Default)]
pub struct Sets(BTreeMap<Key, BTreeMap<u32, Vec<u8>>>);

impl Sets {
    /// Adds a part, and returns the state if it was the last that was missing.
    ///
    /// A set whose bytes turn out to be damaged is dropped with an error; others are not affected.
    pub fn push(&mut self, part: SnapshotPart) -> Result<Option<State>, Error> {
        let SnapshotPart { upto, part, of, checksum, bytes } = part;
        if part >= of || of > MAX_PARTS || bytes.len() > codec::MAX_LEN {
            return Err(Error::Damaged(format!("there is no part {part} of {of}")));
        }
        let key = Key { upto, of, checksum };
        let set = self.0.entry(key).or_default();
        set.insert(part, bytes);
        if set.len() < of as usize {
            while self.0.len() > MAX_SETS {
                self.0.pop_first();
            }
            return Ok(None);
        }
        let set = self.0.remove(&key).unwrap_or_default();
        let buf = set.into_values().collect::<Vec<_>>().concat();
        if self::checksum(&buf) != checksum {
            return Err(Error::Damaged("its checksum is another one".into()));
        }
        State::decode(upto, &buf).map(Some)
    }
}
