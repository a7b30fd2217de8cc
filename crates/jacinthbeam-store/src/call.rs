//! What can be asked of the store, and what it answers.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use jacinthbeam_types::prelude::Offset;
use serde::{Deserialize, Serialize};

/// One partition of a topic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Partition {
    /// Name of the topic.
    pub topic: String,
    /// Number from 0.
    pub number: u32,
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.topic, self.number)
    }
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Adds a record under a key to a keyed partition.
    Put {
        /// Where to.
        to: Partition,
        /// At most 255 bytes.
        key: String,
        /// Must not be empty: a record without a value removes the key.
        value: Bytes,
        /// Only if the partition ends at this offset.
        only_at: Option<Offset>,
    },
    /// Reads records from an offset on. If there are none, waits for one.
    Read {
        /// Where from.
        from: Partition,
        /// First record wanted.
        at: Offset,
        /// Longest wait.
        wait: Duration,
    },
    /// Reads the newest record of each key of a keyed partition, in pages.
    Newest {
        /// Where from.
        from: Partition,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Joins a group, or stays in it.
    Join {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
        /// Topic whose partitions the group shares out.
        topic: String,
        /// Without another call the membership ends after this time.
        lease: Duration,
        /// The last generation heard of, or 0.
        generation: u64,
    },
    /// Leaves a group.
    Leave {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
    },
}

impl Call {
    /// What kind of call it is, in a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Put { .. } => "put",
            Self::Read { .. } => "read",
            Self::Newest { .. } => "newest",
            Self::Join { .. } => "join",
            Self::Leave { .. } => "leave",
        }
    }
}

/// The answer to a call that succeeded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Call::Put`]: the partition's end after the record.
    Kept(Offset),
    /// To [`Call::Read`].
    Records {
        /// The records, the first at the offset that was asked for.
        records: Vec<Bytes>,
        /// End of the partition.
        end: Offset,
    },
    /// To [`Call::Newest`].
    Page(Page),
    /// To [`Call::Join`]: the generation, and the partitions that fall to the member.
    Member {
        /// Rises with each change of the group.
        generation: u64,
        /// What the member holds.
        shares: Vec<Share>,
    },
    /// To [`Call::Leave`].
    Left,
}

/// A page of the newest records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Ascending by key.
    pub items: Vec<Item>,
    /// Whether there are further pages.
    pub more: bool,
    /// End of the partition when the page was made.
    pub end: Offset,
}

/// The newest record of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; empty if the key was removed.
    pub value: Bytes,
    /// Offset of the record.
    pub offset: Offset,
}

/// A partition that a member of a group holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share {
    /// The partition.
    pub partition: Partition,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The partition doesn't end where the call said. Nothing was done.
    Conflict,
    /// The records asked for are gone.
    Expired,
    /// The store does nothing for this host at present: too many calls, overload, no room. Nothing was done.
    Busy(StatusCode),
    /// The call was not sent.
    NotSent(String),
    /// The call was sent and got no whole answer. It may have been done, or may still be.
    Lost(String),
    /// The store can't take the call as it is.
    Refused(StatusCode),
    /// The answer can't be read. The call may have been done.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("another record was added first"),
            Self::Expired => f.write_str("the records asked for have been deleted"),
            Self::Busy(status) => write!(f, "the store takes no calls of this host now ({status})"),
            Self::NotSent(why) => write!(f, "the call was not sent: {why}"),
            Self::Lost(why) => write!(f, "the call got no whole answer and may be done: {why}"),
            Self::Refused(status) => write!(f, "the store refused the call as such ({status})"),
            Self::Malformed(why) => write!(f, "the answer can't be read: {why}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// What kind of failure it is, in a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Expired => "expired",
            Self::Busy(_) => "busy",
            Self::NotSent(_) => "not-sent",
            Self::Lost(_) => "lost",
            Self::Refused(_) => "refused",
            Self::Malformed(_) => "malformed",
        }
    }

    /// Whether a call that changes something may have done so, or may do so later.
    pub fn may_be_done(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Malformed(_))
    }
}

/// How calls look on the wire.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// The request of a call. Its target is a path and query only.
    pub encode: fn(&Call) -> Request<Bytes>,
    /// What an answer to the call means.
    pub decode: fn(&Call, StatusCode, &Bytes) -> Result<Reply, Error>,
}
