//! The body of a caller's request, read whole before anything is sent.
//!
//! A whole body can be sent a second time, and a backend server that answers before it has read the body never meets the next
//! request in its place: the connection is used again only once all was written.

use std::{cell::Cell, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::spawn_local;

/// Bytes of bodies that one process holds at a time: a quarter of the memory of the smallest host.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// Bytes that are read and dropped after a refusal, and for how long: what a link of 100 Mbit/s brings in two seconds.
const MAX_DISCARDED_BYTES: usize = 24 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause within a body.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Why there is no whole body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Error {
    /// It is longer than the configuration allows.
    TooLong,
    /// This process holds too many bytes of bodies already.
    NoRoom,
    /// The caller broke off, or its framing is wrong.
    Broken,
    /// The caller paused for too long.
    Silent,
}

/// Bytes counted against [`MOST_HELD`] until dropped.
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

/// Reads a body of at most `most` bytes.
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

/// Reads on after a refusal, for as long as a caller usually needs to send the rest.
///
/// A connection that is closed with unread bytes is reset, and the reset overtakes the refusal: the caller would learn nothing
/// and send the same again.
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
