//! Records of the usage stream.

use std::fmt;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::Snapshot;

/// Version of the encoding, in front of each record.
const VERSION: u8 = 1;
/// Largest record that is decoded, so that a corrupt length can't exhaust memory. The log takes none larger.
const MAX_BYTES: usize = 1 << 20;

/// Names a batch once and for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BatchId {
    /// The process that counted.
    pub incarnation: Incarnation,
    /// Counts up from 1 within that process.
    pub sequence: u64,
}

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.sequence)
    }
}

/// Requests of one team, service and verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Team that the service bills to.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// [`Verdict::Ran`] or [`Verdict::MayHaveRun`].
    pub verdict: Verdict,
    /// Number of requests.
    pub count: u64,
}

/// What one process counted between two batches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Its name.
    pub id: BatchId,
    /// Its counts.
    pub counts: Vec<Count>,
}

/// A record of the usage stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// New counts.
    Batch(Batch),
    /// All that was counted before.
    Snapshot(Snapshot),
}

/// Why the bytes are no record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// There are no bytes at all.
    Empty,
    /// Written by a release with another encoding.
    Version(u8),
    /// Not what the encoding prescribes.
    Garbage(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the usage record is empty"),
            Self::Version(version) => write!(
                f,
                "the usage record has encoding version {version}, this release reads {VERSION}; upgrade this host"
            ),
            Self::Garbage(why) => write!(f, "the usage record can't be decoded: {why}"),
        }
    }
}

impl std::error::Error for Error {}

fn format() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BYTES>()
}

/// The bytes of a record.
pub fn encode(record: &Record) -> Vec<u8> {
    let mut buf = vec![VERSION];
    let body = bincode::serde::encode_to_vec(record, bincode::config::standard());
    buf.extend(body.expect("names and numbers always have an encoding"));
    buf
}

/// The record of these bytes.
pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
    let (version, body) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    let garbage = |err: bincode::error::DecodeError| Error::Garbage(err.to_string());
    let (record, read) = bincode::serde::decode_from_slice(body, format()).map_err(garbage)?;
    match read == body.len() {
        true => Ok(record),
        false => Err(Error::Garbage(format!("{} bytes are left over", body.len() - read))),
    }
}
