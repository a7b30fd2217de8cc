//! Encoding of a message and its length, and the header that names the wire version.

use std::fmt;

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Serialize, de::DeserializeOwned};

use crate::message::VERSION;

/// Path of questions.
pub(crate) const ASK: &str = "/ask";
/// Path of forwarded requests.
pub(crate) const FORWARD: &str = "/forward";
/// Header with the version of the messages.
pub(crate) const WIRE: HeaderName = HeaderName::from_static("jacinthbeam-wire");
/// Bytes of the length in front of a message.
pub(crate) const LENGTH: usize = 4;
/// No message is ever larger, whatever the settings say.
///
/// A decoder allocates what a length inside the message claims; without a bound a few bytes of garbage would
/// make it claim all memory.
pub(crate) const MAX_MESSAGE: usize = 64 << 20;

/// The message can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// It has more bytes than allowed.
    TooLarge { bytes: usize, max: usize },
    /// The bytes are no message of this version.
    Garbage(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes, max } => {
                write!(f, "the message has {bytes} bytes, at most {max} are allowed")
            }
            Self::Garbage(why) => {
                write!(f, "the bytes are no message of wire version {VERSION}: {why}")
            }
        }
    }
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE>()
}

/// The message with its length in front.
pub(crate) fn encode<T: Serialize>(message: &T, max: usize) -> Result<Bytes, Error> {
    let mut buf = BytesMut::with_capacity(256);
    buf.put_u32(0);
    let mut writer = buf.writer();
    bincode::serde::encode_into_std_write(message, &mut writer, config())
        .map_err(|err| Error::Garbage(err.to_string()))?;
    let mut buf = writer.into_inner();
    let bytes = buf.len() - LENGTH;
    let max = max.min(MAX_MESSAGE);
    if bytes > max {
        return Err(Error::TooLarge { bytes, max });
    }
    buf[..LENGTH].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(buf.freeze())
}

/// Reads a message from exactly these bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, config())
        .map_err(|err| Error::Garbage(err.to_string()))?;
    if used < bytes.len() {
        return Err(Error::Garbage(format!("{} bytes are left over", bytes.len() - used)));
    }
    Ok(message)
}

/// Value of the [`WIRE`] header.
pub(crate) fn version() -> HeaderValue {
    HeaderValue::from(VERSION)
}

/// Whether the headers name our version; else the text that stands there.
pub(crate) fn check_version(headers: &HeaderMap) -> Result<(), String> {
    match headers.get(WIRE) {
        Some(value) if *value == version() => Ok(()),
        Some(value) => Err(String::from_utf8_lossy(value.as_bytes()).into_owned()),
        None => Err("none".into()),
    }
}
