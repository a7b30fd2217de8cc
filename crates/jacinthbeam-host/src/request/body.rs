//! Reads the body of a caller's request completely before anything is sent to a backend server.
//!
//! A buffered body can be sent again on a retry. It also keeps server connections in sync: a server may answer before it
//! has read the whole body, and a connection is reused only after the body was written completely, so that the server can't
//! read the next request as the rest of this body.

use std::{cell::Cell, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::spawn_local;

/// Limit on the bytes of request bodies that a process buffers at a time: a quarter of the memory of the smallest host.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// Limits on what is read and discarded after a refusal: the bytes that a link of 100 Mbit/s carries in two seconds.
const MAX_DISCARDED_BYTES: usize = 24 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause between two frames of a body.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Why a body was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Error {
    /// The body exceeds the configured limit.
    TooLong,
    /// The process already buffers [`MAX_BUFFERED_BYTES`].
    NoRoom,
    /// The caller closed the connection, or the framing is invalid.
    Broken,
    /// The body did not arrive in time.
    Silent,
}

/// Bytes that count against [`MAX_BUFFERED_BYTES`] until this is dropped.
#[derive(Debug)]
pub(super) struct Reservation<'a> {
    total: &'a Cell<usize>,
    reserved: usize,
}

impl Reservation<'_> {
    fn reserve(&mut self, bytes: usize) -> Result<(), Error> {
        let all = self.total.get() + bytes;
        if all > MAX_BUFFERED_BYTES {
            return Err(Error::NoRoom);
        }
        self.total.set(all);
        self.reserved += bytes;
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.reserved);
    }
}

/// Reads a body of at most `max_bytes` bytes. `total` counts the bytes of all bodies that the process buffers.
pub(super) async fn read(
    mut body: Incoming,
    max_bytes: usize,
    total: &Cell<usize>,
) -> Result<(Bytes, Reservation<'_>), Error> {
    let read = read_whole(&mut body, max_bytes, total).await;
    if matches!(read, Err(Error::TooLong | Error::NoRoom)) {
        spawn_local(discard(body));
    }
    read
}

/// Reads and discards the rest of a refused body, for as long as a caller usually needs to send it.
///
/// Closing a connection with unread bytes resets it, and the reset can overtake the refusal. The caller would then not
/// receive the refusal and would send the same request again.
async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, rest).await.is_err() {
        tracing::debug!(part = "request", event = "rest-not-read");
    }
}

async fn read_whole<'a>(
    body: &mut Incoming,
    max_bytes: usize,
    total: &'a Cell<usize>,
) -> Result<(Bytes, Reservation<'a>), Error> {
    let mut reservation = Reservation { total, reserved: 0 };
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Error::TooLong);
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) =
        tokio::time::timeout(MAX_PAUSE, body.frame()).await.map_err(|_| Error::Silent)?
    {
        let frame = frame.map_err(|_| Error::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        reservation.reserve(data.len())?;
        if buffer.len() + data.len() > max_bytes {
            return Err(Error::TooLong);
        }
        buffer.extend_from_slice(&data);
    }
    Ok((buffer.freeze(), reservation))
}
