//! The log service over HTTP/1.1.
//!
//! - `POST /streams/{stream}` with the record's bytes as body appends: `200` and [`Appended`] as JSON.
//! - `GET /streams/{stream}?from={offset}&max_bytes={n}&wait_ms={n}` reads: `200` and a body of frames, each
//!   an offset and a length (`u64` and `u32`, big endian) followed by that many bytes. Waits for up to
//!   `wait_ms` if no record stands at or after `from`. Header [`END`] gives the offset after the last record
//!   of the stream at the time of the answer, [`EARLIEST`] the first one kept. `410 Gone`, with both headers,
//!   if `from` lies before the earliest.
//! - `503` if the service is down. Offsets of a stream count up from 0, one a record.

use serde::{Deserialize, Serialize};

/// Response header with the offset that the next record of the stream will get.
pub const END: &str = "log-end";
/// Response header with the offset of the oldest record still kept.
pub const EARLIEST: &str = "log-earliest";
/// Bytes of the offset and the length in front of each record.
pub const FRAME_HEAD: usize = 12;
/// Largest record that the log accepts, in bytes.
pub const MAX_RECORD: usize = 1 << 20;

/// Answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: u64,
}
