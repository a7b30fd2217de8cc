//! The store's operations, their results and errors.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use jacinthbeam_types::prelude::{Era, Offset};
use serde::{Deserialize, Serialize};

/// One partition of a topic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Partition {
    /// Name of the topic.
    pub topic: String,
    /// Number within the topic, starting at 0.
    pub number: u32,
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.topic, self.number)
    }
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Appends a record with a key to a keyed partition.
    Put {
        /// The partition to append to.
        to: Partition,
        /// Key of the record, at most 255 bytes.
        key: String,
        /// Value of the record. Must not be empty, since a record with an empty value removes the key.
        value: Bytes,
        /// If set, the call fails with [`Error::Conflict`] unless the partition ends at this offset.
        only_at: Option<Offset>,
    },
    /// Appends several records with keys to a keyed partition, all or none of them.
    PutAll {
        /// The partition to append to.
        to: Partition,
        /// Keys and values, with the same limits as in [`Call::Put`].
        records: Vec<(String, Bytes)>,
    },
    /// Reads records from an offset on. If there are none yet, waits for one.
    Read {
        /// The partition to read.
        from: Partition,
        /// Offset of the first record to read.
        at: Offset,
        /// Maximum time to wait for a record.
        wait: Duration,
    },
    /// Reads the newest record of each key of a keyed partition, page by page.
    Newest {
        /// The partition to read.
        from: Partition,
        /// Last key of the previous page, or `None` for the first page.
        after: Option<String>,
    },
    /// Joins a consumer group, or renews the membership.
    Join {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
        /// Topic whose partitions are divided among the members.
        topic: String,
        /// Time after which the membership expires unless it is renewed.
        lease: Duration,
        /// The last generation that the member received, or 0.
        generation: u64,
    },
    /// Leaves a consumer group.
    Leave {
        /// Name of the group.
        group: String,
        /// Name of the member.
        member: String,
    },
}

impl Call {
    /// Name of the operation, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Put { .. } | Self::PutAll { .. } => "put",
            Self::Read { .. } => "read",
            Self::Newest { .. } => "newest",
            Self::Join { .. } => "join",
            Self::Leave { .. } => "leave",
        }
    }
}

/// The result of a successful call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Result of [`Call::Put`] and [`Call::PutAll`]: the end of the partition after the new records.
    Kept(Offset),
    /// Result of [`Call::Read`].
    Records {
        /// The records. The first one is at the requested offset.
        records: Vec<Bytes>,
        /// End of the partition.
        end: Offset,
    },
    /// Result of [`Call::Newest`].
    Page(Page),
    /// Result of [`Call::Join`]: the group's generation and the partitions assigned to the member.
    Member {
        /// Incremented with each change of the group.
        generation: u64,
        /// The partitions assigned to the member.
        shares: Vec<Share>,
    },
    /// Result of [`Call::Leave`].
    Left,
}

/// A page of the newest records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The records, ascending by key.
    pub items: Vec<Item>,
    /// Whether more pages follow.
    pub more: bool,
    /// End of the partition at the time of the page.
    pub end: Offset,
}

/// The newest record of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value, or empty if the key was removed.
    pub value: Bytes,
    /// Offset of the record.
    pub offset: Offset,
}

/// A partition that is assigned to a member of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share {
    /// The partition.
    pub partition: Partition,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The partition doesn't end at the offset that the call expected. The call had no effect.
    Conflict,
    /// The requested records have been deleted.
    Expired,
    /// The store accepts no calls of this host at present: rate limit, overload or no space. The call had no
    /// effect.
    Busy(StatusCode),
    /// The call was not sent.
    NotSent(String),
    /// The call was sent, but no complete response arrived. It may have taken effect, or may still do so.
    Lost(String),
    /// The store rejects the call as invalid.
    Refused(StatusCode),
    /// The response can't be decoded. The call may have taken effect.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("another record was appended first"),
            Self::Expired => f.write_str("the requested records have been deleted"),
            Self::Busy(status) => write!(f, "the store takes no calls of this host now ({status})"),
            Self::NotSent(why) => write!(f, "the call was not sent: {why}"),
            Self::Lost(why) => {
                write!(f, "no complete response arrived, so the call may have taken effect: {why}")
            }
            Self::Refused(status) => write!(f, "the store rejected the call as invalid ({status})"),
            Self::Malformed(why) => write!(f, "the response can't be decoded: {why}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Name of the failure, for logs and metrics.
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

    /// Whether a call that changes the store may have taken effect, or may still do so.
    pub fn may_be_done(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Malformed(_))
    }
}

/// The wire format of calls and responses.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// Returns the request for a call. Its target consists of path and query only.
    pub encode: fn(&Call) -> Request<Bytes>,
    /// Returns the era that the head of a response states; 0 if none.
    pub era: fn(&HeaderMap) -> Era,
    /// Interprets the status and body of the response to a call.
    pub decode: fn(&Call, StatusCode, &Bytes) -> Result<Reply, Error>,
}
