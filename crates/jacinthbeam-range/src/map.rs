//! The ownership map of one service: which backend server owns which keys.

mod delta;

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

pub use delta::{MapDelta, Revision};

use crate::key::{KEY_COUNT, Key, KeyRange};

/// One incarnation of a backend server, as an owner of keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Differs for every start of the server, so that a restarted server is another owner.
    pub server: ServerId,
    /// Address that receives grants and requests.
    pub addr: SocketAddr,
}

/// One range of a map with its owner and fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// The only server that may be granted the range, or `None` if there is none at present.
    pub owner: Option<Owner>,
    /// Fencing token of the grant, above every token under which another owner had one of the keys.
    pub token: Token,
    /// State that the previous owner returned at its release, passed on so that the next owner starts
    /// warm.
    pub handover: Option<String>,
}

/// The incarnation of a host's process that grants the keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The host.
    pub host: HostId,
    /// A restarted process is another leader, since it has lost track of the grants that it sent.
    pub incarnation: Incarnation,
    /// Address that receives load reports.
    pub addr: SocketAddr,
}

/// The ownership map of a service. Its ranges are ascending, disjoint and cover every key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Incremented each time a process takes over as leader.
    pub epoch: Epoch,
    /// The current leader. `None` if the last one has stopped and confirmed that it sends no more grants.
    pub leader: Option<Leader>,
    /// Number of the record within the epoch.
    pub version: u32,
    /// For each leader of an earlier epoch that may still renew grants, the owners in its last map.
    /// Empty once none of them can.
    pub rivals: Vec<BTreeSet<ServerId>>,
    held: Vec<Assignment>,
    /// Era of the store in which the record was written. A record of an earlier era than the store's may
    /// have been followed by others, which the store has lost.
    #[serde(skip)]
    pub era: Era,
    /// Whether leaders of lost records may still renew grants.
    #[serde(skip)]
    pub unsettled: bool,
}

/// Number of tokens in one epoch. A leader that issues ten a second uses them up in a day.
pub const TOKENS_PER_EPOCH: u64 = 1 << 20;

/// Number of epochs in one era of the store.
pub const EPOCHS_PER_ERA: u64 = 1 << 20;

/// The first era of a store that was never restored.
pub(crate) const FIRST_ERA: Era = Era(1);

/// Why a record could not be read as a map.
#[derive(Debug)]
pub enum Error {
    /// The record can't be decoded.
    Codec(bincode::error::DecodeError),
    /// The ranges are not ascending, overlap, or don't cover every key.
    Ranges,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Codec(err) => write!(f, "can't decode the ownership map: {err}"),
            Self::Ranges => {
                f.write_str("the ranges of the ownership map don't cover every key exactly once")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Map {
    /// A map in which no key has an owner.
    pub fn unowned() -> Self {
        let token = Token(0);
        let all = Assignment { range: KeyRange::ALL, owner: None, token, handover: None };
        Self {
            epoch: Epoch(0),
            leader: None,
            version: 0,
            rivals: Vec::new(),
            held: vec![all],
            era: Era(0),
            unsettled: false,
        }
    }

    /// All ranges with their owners, in ascending order.
    pub fn assignments(&self) -> &[Assignment] {
        &self.held
    }

    /// The range that includes `key`.
    pub fn lookup(&self, key: Key) -> &Assignment {
        let after = self.held.partition_point(|assignment| assignment.range.first <= key);
        &self.held[after - 1]
    }

    /// The ranges of one owner, in ascending order.
    pub fn owned_by<'a>(&'a self, server: &'a ServerId) -> impl Iterator<Item = &'a Assignment> {
        let is_owner = move |assignment: &&Assignment| {
            assignment.owner.as_ref().is_some_and(|o| o.server == *server)
        };
        self.held.iter().filter(is_owner)
    }

    /// The lowest token of the epoch, above all tokens of earlier epochs.
    pub fn first_token(&self) -> Token {
        Token(self.epoch.0 * TOKENS_PER_EPOCH)
    }

    /// All servers that own a key.
    pub fn owners(&self) -> BTreeSet<ServerId> {
        let owners = self.held.iter().filter_map(|assignment| assignment.owner.as_ref());
        owners.map(|owner| owner.server.clone()).collect()
    }

    /// Number of keys without an owner.
    pub fn unowned_keys(&self) -> u32 {
        let unowned = self.held.iter().filter(|assignment| assignment.owner.is_none());
        unowned.map(|assignment| assignment.range.width()).sum()
    }

    /// Number of keys that had an owner in `before` and don't have the same one now.
    pub fn moved_since(&self, before: &Self) -> u32 {
        let mut moved = 0;
        let mut begin = 0;
        for new in &self.held {
            // Both maps are ascending, so what ends below this range ends below all later ones.
            begin += before.held[begin..].partition_point(|old| old.range.last < new.range.first);
            let overlapping = before.held[begin..].iter();
            for old in overlapping.take_while(|old| old.range.first <= new.range.last) {
                let first = old.range.first.max(new.range.first);
                let last = old.range.last.min(new.range.last);
                if old.owner.is_some() && old.owner != new.owner {
                    moved += KeyRange { first, last }.width();
                }
            }
        }
        moved
    }

    /// Whether this map was recorded before `other` in the same log.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.epoch, self.version) < (other.epoch, other.version)
    }

    /// Whether the record was written in an earlier era than the store's, so that later ones may be lost.
    pub fn is_stale(&self, era: Era) -> bool {
        self.era < era
    }

    /// The next epoch in an era of the store, above all epochs of earlier eras, also of lost records.
    fn next_epoch(&self, era: Era) -> Epoch {
        let eras = era.0.saturating_sub(FIRST_ERA.0);
        self.epoch.next().max(Epoch(eras * EPOCHS_PER_ERA))
    }

    /// The map of a leader that goes on after the store was restored, as its first record in the new era.
    /// Tokens stay: a server that has seen a higher one from a leader whose record is lost refuses them.
    pub fn rewritten(&self, era: Era) -> Self {
        Self { epoch: self.next_epoch(era), version: 0, era, unsettled: true, ..self.clone() }
    }

    /// Starts the next epoch under `leader`, in this era of the store: the owners stay, and every range gets a token above all
    /// earlier ones.
    ///
    /// A server that has been granted its range under the new token refuses the grants of a former
    /// leader, also while that leader doesn't know yet that it was replaced.
    pub fn begin_epoch(&mut self, leader: Leader, era: Era) {
        if self.leader.is_some() {
            self.rivals.push(self.owners());
        }
        self.epoch = self.next_epoch(era);
        self.era = era;
        self.unsettled = false;
        self.leader = Some(leader);
        self.version = 0;
        let token = self.first_token();
        for assignment in &mut self.held {
            assignment.token = token;
        }
        self.merge_adjacent();
    }

    /// Assigns `range` to `owner` under `token`, splitting the ranges that it overlaps.
    pub fn assign(
        &mut self,
        range: KeyRange,
        owner: Option<Owner>,
        token: Token,
        handover: Option<String>,
    ) {
        let mut next = Vec::with_capacity(self.held.len() + 2);
        let mut new = Some(Assignment { range, owner, token, handover });
        for old in self.held.drain(..) {
            if !old.range.overlaps(range) {
                if old.range.first > range.last {
                    next.extend(new.take());
                }
                next.push(old);
                continue;
            }
            next.extend(
                old.range.below(range).map(|rest| Assignment { range: rest, ..old.clone() }),
            );
            if let Some(rest) = old.range.above(range) {
                next.extend(new.take());
                next.push(Assignment { range: rest, ..old });
            }
        }
        next.extend(new);
        self.held = next;
    }

    /// Merges adjacent ranges with the same owner and token, so that a single grant covers them. The
    /// handover of merged ranges is dropped.
    pub fn merge_adjacent(&mut self) {
        self.held.dedup_by(|next, kept| {
            let same = kept.owner == next.owner && kept.token == next.token;
            if same {
                kept.range.last = next.range.last;
                kept.handover = None;
            }
            same
        });
    }

    /// Runs of adjacent ranges that have the same owner. A single grant under a new token could replace
    /// each run.
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

    /// Encodes the map as a record of the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        let mut bytes =
            bincode::serde::encode_to_vec(self, cfg).expect("every type in a map can be encoded");
        if (self.era, self.unsettled) != (Era(0), false) {
            let restored = bincode::serde::encode_to_vec((self.era, self.unsettled), cfg);
            bytes.extend(restored.expect("a number and a flag can be encoded"));
        }
        bytes
    }

    /// Decodes what [`Map::to_bytes`] returned, also of an earlier version without the era, and checks that each key is covered exactly once.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let cfg = bincode::config::standard();
        let (mut map, len): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, cfg).map_err(Error::Codec)?;
        if let rest @ [_, ..] = &bytes[len..] {
            ((map.era, map.unsettled), _) =
                bincode::serde::decode_from_slice(rest, cfg).map_err(Error::Codec)?;
        }
        if map.covers_each_key_once() { Ok(map) } else { Err(Error::Ranges) }
    }

    fn covers_each_key_once(&self) -> bool {
        let mut next = 0;
        for assignment in &self.held {
            if u32::from(assignment.range.first.0) != next
                || assignment.range.first > assignment.range.last
            {
                return false;
            }
            next = u32::from(assignment.range.last.0) + 1;
        }
        next == KEY_COUNT
    }
}
