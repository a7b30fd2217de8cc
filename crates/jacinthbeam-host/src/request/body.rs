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
const MOST_HELD: usize = 64 << 20;

/// Bytes that are read and dropped after a refusal, and for how long: what a link of 100 Mbit/s brings in two seconds.
const MOST_DISCARDED: usize = 24 << 20;
const DISCARD_FOR: Duration = Duration::from_secs(2);

/// Longest pause within a body.
const PAUSE: Duration = Duration::from_secs(10);

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
pub(super) struct Held<'a> {
    count: &'a Cell<usize>,
    mine: usize,
}

impl Held<'_> {
    fn add(&mut self, bytes: usize) -> Result<(), Error> {
        let all = self.count.get() + bytes;
        if all > MOST_HELD {
            return Err(Error::NoRoom);
        }
        self.count.set(all);
        self.mine += bytes;
        Ok(())
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - self.mine);
    }
}

/// Reads a body of at most `most` bytes.
pub(super) async fn read(
    mut body: Incoming,
    most: usize,
    count: &Cell<usize>,
) -> Result<(Bytes, Held<'_>), Error> {
    let read = read_whole(&mut body, most, count).await;
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
    let mut seen = 0;
    let rest = async {
        while let Some(Ok(frame)) = body.frame().await {
            seen += frame.data_ref().map_or(0, Bytes::len);
            if seen > MOST_DISCARDED {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_FOR, rest).await.is_err() {
        tracing::debug!(part = "request", event = "rest-not-read");
    }
}

async fn read_whole<'a>(
    body: &mut Incoming,
    most: usize,
    count: &'a Cell<usize>,
) -> Result<(Bytes, Held<'a>), Error> {
    let mut held = Held { count, mine: 0 };
    if body.size_hint().lower() > most as u64 {
        return Err(Error::TooLong);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) =
        tokio::time::timeout(PAUSE, body.frame()).await.map_err(|_| Error::Silent)?
    {
        let frame = frame.map_err(|_| Error::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        held.add(data.len())?;
        if whole.len() + data.len() > most {
            return Err(Error::TooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok((whole.freeze(), held))
}
