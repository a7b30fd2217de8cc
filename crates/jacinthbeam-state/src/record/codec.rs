//! Records as bytes: a version byte, then the envelope by `bincode`.

use std::fmt;

use crate::Envelope;

/// Version of the records that this release writes, and the newest that it reads.
pub const VERSION: u8 = 1;
/// Longest record that is read or written, in bytes: the log accepts no longer one.
pub const MAX_LEN: usize = 1 << 20;

/// Why bytes are no record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Written by a newer release. Nothing can be said of its meaning.
    Newer(u8),
    /// No release writes such bytes. Every reader sees that, so all may pass over it.
    Garbage(String),
    /// The record is longer than the log accepts.
    TooLong(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Newer(version) => write!(
                f,
                "the record has format {version}, this release reads up to {VERSION}; update this host"
            ),
            Self::Garbage(why) => write!(f, "the bytes are no record: {why}"),
            Self::TooLong(len) => {
                write!(f, "the record has {len} bytes, the log accepts {MAX_LEN}; split it")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Envelope {
    /// The record as bytes for the log.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut buf = vec![VERSION];
        bincode::serde::encode_into_std_write(self, &mut buf, bincode::config::standard())
            .map_err(|err| Error::Garbage(err.to_string()))?;
        if buf.len() > MAX_LEN {
            return Err(Error::TooLong(buf.len()));
        }
        Ok(buf)
    }

    /// Reads a record of the log.
    pub fn decode(buf: &[u8]) -> Result<Self, Error> {
        let Some((&version, body)) = buf.split_first() else {
            return Err(Error::Garbage("it is empty".into()));
        };
        if version > VERSION {
            return Err(Error::Newer(version));
        }
        if version < VERSION {
            return Err(Error::Garbage(format!("no release wrote format {version}")));
        }
        let cfg = bincode::config::standard().with_limit::<MAX_LEN>();
        let (envelope, len) = bincode::serde::decode_from_slice(body, cfg)
            .map_err(|err| Error::Garbage(err.to_string()))?;
        if len != body.len() {
            return Err(Error::Garbage(format!("{} bytes follow it", body.len() - len)));
        }
        Ok(envelope)
    }
}
