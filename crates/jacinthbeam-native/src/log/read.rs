//! Reading the records of a stream from an offset on.

use std::{fmt, time::Duration};

use bytes::{Buf, Bytes};
use http::{HeaderMap, Request, Response, StatusCode};
use jacinthbeam_types::prelude::Offset;

use super::{Client, MAX_READ, MAX_WAIT};
use crate::format::log::{EARLIEST, END, FRAME_HEAD};

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Records in ascending order of offset, without gaps; the first one stands at the offset asked for.
    pub records: Vec<Record>,
    /// Offset after the last record of the stream when the answer was made.
    pub end: Offset,
    /// First record still kept.
    pub earliest: Offset,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Where it stands.
    pub offset: Offset,
    /// What was appended.
    pub bytes: Bytes,
}

/// Why there is nothing to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The offset asked for is no longer kept.
    Expired {
        /// First record still kept.
        earliest: Offset,
        /// Offset after the last record of the stream.
        end: Offset,
    },
    /// The log can't be reached, gave no whole answer in time, or answered something else than records.
    Down(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expired { earliest, .. } => {
                write!(f, "the log keeps records from {earliest} on only; start from a snapshot")
            }
            Self::Down(why) => write!(f, "the log can't be read at present: {why}"),
        }
    }
}

impl std::error::Error for Error {}

impl Client {
    /// Reads records from `from` on, at most `max_bytes` of them but at least one, waiting for up
    /// to `wait` if there is none. The batch is empty if none came. Reads of one stream wait for
    /// each other.
    ///
    /// A batch that reaches `end` proves that the stream held nothing more at some time after the call began.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_bytes: u32,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let max_bytes = max_bytes.min(MAX_READ);
        let wait = wait.min(MAX_WAIT);
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}?from={from}&max_bytes={max_bytes}&wait_ms={wait_ms}");
        let req = Request::get(path)
            .body(Bytes::new())
            .map_err(|err| Error::Down(format!("{stream:?} is no name of a stream: {err}")))?;
        let line = self.reads_of(stream);
        let res = line
            .exchange(req, self.timeout + wait)
            .await
            .map_err(|err| Error::Down(err.to_string()))?;
        batch(from, res)
    }
}

fn batch(from: Offset, res: Response<Bytes>) -> Result<Batch, Error> {
    let (head, body) = res.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::GONE => {
            let earliest = offset_in(&head.headers, EARLIEST)?;
            let end = offset_in(&head.headers, END)?;
            return Err(Error::Expired { earliest, end });
        }
        status => return Err(Error::Down(format!("it answered {status}"))),
    }
    let end = offset_in(&head.headers, END)?;
    let earliest = offset_in(&head.headers, EARLIEST)?;
    let records = records(from, end, body)?;
    Ok(Batch { records, end, earliest })
}

fn offset_in(headers: &HeaderMap, name: &str) -> Result<Offset, Error> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| Error::Down(format!("its answer has no offset in header {name}")))
}

/// Takes the frames apart.
///
/// A gap would make this process fold another history than its peers, and two owners of a key could
/// follow. So offsets have to be consecutive from the one asked for, or nothing of the answer is
/// used.
fn records(from: Offset, end: Offset, mut body: Bytes) -> Result<Vec<Record>, Error> {
    let garbled = |what: String| Error::Down(format!("its answer is garbled: {what}"));
    let mut records = Vec::new();
    let mut expected = from;
    while !body.is_empty() {
        if body.len() < FRAME_HEAD {
            return Err(garbled("the last record has no whole head".into()));
        }
        let offset = Offset(body.get_u64());
        let len = body.get_u32() as usize;
        if offset != expected || offset >= end {
            return Err(garbled(format!("record {offset} where {expected} was due, end {end}")));
        }
        if body.len() < len {
            return Err(garbled(format!("record {offset} is cut short")));
        }
        records.push(Record { offset, bytes: body.split_to(len) });
        expected = offset.next();
    }
    Ok(records)
}
