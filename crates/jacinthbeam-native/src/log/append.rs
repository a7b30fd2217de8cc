//! Appending one record to a stream.

use std::fmt;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use jacinthbeam_connection::line;
use jacinthbeam_types::prelude::Offset;

use super::Client;
use crate::format::log::{Appended, MAX_RECORD};

/// Why an append was not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The record was not written, and won't be.
    Refused(String),
    /// The record may have been written, or may still be; only a read of the stream can tell.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "the log did not take the record: {why}"),
            Self::Unknown(why) => {
                write!(f, "the log may have taken the record, read the stream to find out: {why}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<line::Error> for Error {
    fn from(err: line::Error) -> Self {
        match err {
            line::Error::NotSent(why) => Self::Refused(why),
            line::Error::Lost(why) => Self::Unknown(why),
        }
    }
}

impl Client {
    /// Appends a record and returns where it stands. Appends wait for each other, so they stand in
    /// call order.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> Result<Offset, Error> {
        if record.len() > MAX_RECORD {
            let len = record.len();
            return Err(Error::Refused(format!(
                "it has {len} bytes, at most {MAX_RECORD} are taken"
            )));
        }
        let req = Request::post(format!("/streams/{stream}"))
            .body(Bytes::from(record))
            .map_err(|err| Error::Refused(format!("{stream:?} is no name of a stream: {err}")))?;
        let res = self.appends.exchange(req, self.timeout).await?;
        acknowledged(&res)
    }
}

fn acknowledged(res: &Response<Bytes>) -> Result<Offset, Error> {
    let status = res.status();
    if status == StatusCode::OK {
        let appended: Appended = serde_json::from_slice(res.body())
            .map_err(|err| Error::Unknown(format!("the acknowledgement is garbled: {err}")))?;
        return Ok(Offset(appended.offset));
    }
    let why = format!("it answered {status}");
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Error::Refused(why));
    }
    // Any other answer may come from something in between, or from a log that failed after it wrote.
    Err(Error::Unknown(why))
}
