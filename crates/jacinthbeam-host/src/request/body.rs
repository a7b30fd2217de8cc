//! Reads the body of a caller's request completely before anything is sent to a backend server.
//!
//! A buffered body can be sent again on a retry. It also keeps server connections in sync: a server may answer before it
//! has read the whole body, and a connection is reused only after the body was written completely, so that the server can't
//! read the next request as the rest of this body.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::spawn_local;

use super::memory::{BodyMemory, Reservation};

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
    /// The process has no memory left for request bodies.
    NoRoom,
    /// The caller closed the connection, or the framing is invalid.
    Broken,
    /// The body did not arrive in time.
    Silent,
}

/// Reads a body of at most `max_bytes` bytes into `memory`.
pub(super) async fn read(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, Error> {
    let read = read_whole(&mut body, max_bytes, memory.reservation()).await;
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

async fn read_whole(
    body: &mut Incoming,
    max_bytes: usize,
    mut reservation: Reservation,
) -> Result<Bytes, Error> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Error::TooLong);
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) =
        tokio::time::timeout(MAX_PAUSE, body.frame()).await.map_err(|_| Error::Silent)?
    {
        let frame = frame.map_err(|_| Error::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        let read = buffer.len() + data.len();
        if read > max_bytes {
            return Err(Error::TooLong);
        }
        if !reservation.extend_to(read) {
            return Err(Error::NoRoom);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(reservation.attach(buffer.freeze()))
}
