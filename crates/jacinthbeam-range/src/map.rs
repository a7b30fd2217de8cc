//! Who owns which keys of one service.

mod delta;

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

pub use delta::{MapDelta, Revision};

use crate::key::{KEY_COUNT, Key, KeyRange};

/// A life of a backend server that owns keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Drawn by the server at its start, so another life is another owner.
    pub server: ServerId,
    /// Where it takes grants and requests.
    pub addr: SocketAddr,
}

/// One range and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// `None` while nobody may hold them.
    pub owner: Option<Owner>,
    /// Token of the grant. Above every token that another owner had for one of these keys.
    pub token: Token,
    /// What the last owner gave out at its release, for the next one to start warm.
    pub handover: Option<String>,
}

/// The life of a host's process that grants the keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The host.
    pub host: HostId,
    /// The life of its process. A restarted process is another leader: it knows nothing of what was sent.
    pub incarnation: Incarnation,
    /// Where it takes reports of load.
    pub addr: SocketAddr,
}

/// The owners of all keys of a service. The ranges are ascending, disjoint and cover every key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Rises each time that another life of a process takes over the granting.
    pub epoch: Epoch,
    /// Who grants now. `None` if the last one has stopped and said that it sends no grant any more.
    pub leader: Option<Leader>,
    /// Counts the records of this epoch.
    pub version: u32,
    /// For each leader of an earlier epoch that may still renew, the owners of its last map. Empty once nobody can.
    pub rivals: Vec<BTreeSet<ServerId>>,
    held: Vec<Assignment>,
}

/// Tokens of one epoch. A leader that gives out ten a second would need a day for them.
pub const TOKENS_PER_EPOCH: u64 = 1 << 20;

/// Why bytes are no map.
#[derive(Debug)]
pub enum Error {
    /// The bytes can't be decoded.
    Codec(bincode::error::DecodeError),
    /// The ranges leave out a key or hold one twice.
    Ranges,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Codec(err) => write!(f, "the record is no ownership map: {err}"),
            Self::Ranges => {
                f.write_str("the ranges of the ownership map don't cover each key once")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Map {
    /// A map in which nobody owns anything.
    pub fn unowned() -> Self {
        let token = Token(0);
        let all = Assignment { range: KeyRange::ALL, owner: None, token, handover: None };
        Self { epoch: Epoch(0), leader: None, version: 0, rivals: Vec::new(), held: vec![all] }
    }

    /// The ranges in ascending order.
    pub fn assignments(&self) -> &[Assignment] {
        &self.held
    }

    /// The range that `key` lies in.
    pub fn lookup(&self, key: Key) -> &Assignment {
        let after = self.held.partition_point(|held| held.range.first <= key);
        &self.held[after - 1]
    }

    /// The ranges of one owner.
    pub fn owned_by<'a>(&'a self, server: &'a ServerId) -> impl Iterator<Item = &'a Assignment> {
        let owns =
            move |held: &&Assignment| held.owner.as_ref().is_some_and(|o| o.server == *server);
        self.held.iter().filter(owns)
    }

    /// The lowest token of the epoch. Those of earlier epochs are all below it.
    pub fn first_token(&self) -> Token {
        Token(self.epoch.0 * TOKENS_PER_EPOCH)
    }

    /// Everybody who owns a key.
    pub fn owners(&self) -> BTreeSet<ServerId> {
        let owners = self.held.iter().filter_map(|held| held.owner.as_ref());
        owners.map(|owner| owner.server.clone()).collect()
    }

    /// Keys that nobody owns.
    pub fn unowned_keys(&self) -> u32 {
        let free = self.held.iter().filter(|held| held.owner.is_none());
        free.map(|held| held.range.width()).sum()
    }

    /// Keys that have another owner here than in `before`; first owners don't count.
    pub fn moved_since(&self, before: &Self) -> u32 {
        let mut moved = 0;
        let mut begin = 0;
        for held in &self.held {
            // Both are ascending: ranges that end before this one end before all later ones.
            begin += before.held[begin..].partition_point(|old| old.range.last < held.range.first);
            let overlapping = before.held[begin..].iter();
            for old in overlapping.take_while(|old| old.range.first <= held.range.last) {
                let first = old.range.first.max(held.range.first);
                let last = old.range.last.min(held.range.last);
                if old.owner.is_some() && old.owner != held.owner {
                    moved += KeyRange { first, last }.width();
                }
            }
        }
        moved
    }

    /// Whether this is an earlier record of the same log than `other`.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.epoch, self.version) < (other.epoch, other.version)
    }

    /// Starts the next epoch under `leader`: same owners, and for every range a token above all earlier ones.
    ///
    /// A predecessor that doesn't know yet that it was replaced has its grants refused from then on.
    pub fn begin_epoch(&mut self, leader: Leader) {
        if self.leader.is_some() {
            self.rivals.push(self.owners());
        }
        self.epoch = self.epoch.next();
        self.leader = Some(leader);
        self.version = 0;
        let token = self.first_token();
        for held in &mut self.held {
            held.token = token;
        }
        self.merge_adjacent();
    }

    /// Gives `range` to `owner` under `token`.
    pub fn assign(
        &mut self,
        range: KeyRange,
        owner: Option<Owner>,
        token: Token,
        handover: Option<String>,
    ) {
        let mut next = Vec::with_capacity(self.held.len() + 2);
        let mut new = Some(Assignment { range, owner, token, handover });
        for held in self.held.drain(..) {
            if !held.range.overlaps(range) {
                if held.range.first > range.last {
                    next.extend(new.take());
                }
                next.push(held);
                continue;
            }
            next.extend(
                held.range.below(range).map(|rest| Assignment { range: rest, ..held.clone() }),
            );
            if let Some(rest) = held.range.above(range) {
                next.extend(new.take());
                next.push(Assignment { range: rest, ..held });
            }
        }
        next.extend(new);
        self.held = next;
    }

    /// Joins ranges that lie side by side and have the same owner and token, so that one grant serves for both.
    pub fn merge_adjacent(&mut self) {
        self.held.dedup_by(|next, held| {
            let same = held.owner == next.owner && held.token == next.token;
            if same {
                held.range.last = next.range.last;
                held.handover = None;
            }
            same
        });
    }

    /// Neighbours of one owner that differ only by token: ranges that one grant under a new token could replace.
    pub fn mergeable(&self) -> Vec<KeyRange> {
        let mut found: Vec<KeyRange> = Vec::new();
        for pair in self.held.windows(2) {
            if pair[0].owner.is_none() || pair[0].owner != pair[1].owner {
                continue;
            }
            match found.last_mut() {
                Some(last) if last.last == pair[0].range.last => last.last = pair[1].range.last,
                _ => found.push(KeyRange { first: pair[0].range.first, last: pair[1].range.last }),
            }
        }
        found
    }

    /// The map as it is kept in the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg).expect("a map has no type that can't be encoded")
    }

    /// Reads back what [`Map::to_bytes`] gave.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let cfg = bincode::config::standard();
        let (map, _): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, cfg).map_err(Error::Codec)?;
        if map.is_whole() { Ok(map) } else { Err(Error::Ranges) }
    }

    fn is_whole(&self) -> bool {
        let mut next = 0;
        for held in &self.held {
            if u32::from(held.range.first.0) != next || held.range.first > held.range.last {
                return false;
            }
            next = u32::from(held.range.last.0) + 1;
        }
        next == KEY_COUNT
    }
}
