//! Sending a message and the body that follows it, no faster than the other end reads.

use std::{fmt, future::poll_fn, task::Poll, time::Duration};

use bytes::Bytes;
use h2::{Reason, SendStream};

use crate::body::{Body, Cut};

/// Why a message or body was not sent to its end.
#[derive(Debug)]
pub(crate) enum Error {
    /// The other end reset the stream, or the connection was lost.
    Lost(Option<h2::Error>),
    /// The other end took no byte for this long.
    Stalled(Duration),
    /// The body itself is not whole; the stream was reset.
    Cut(Cut),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(Some(err)) => write!(f, "the stream was lost: {err}"),
            Self::Lost(None) => f.write_str("the stream was closed by the other end"),
            Self::Stalled(stall) => write!(f, "the other end took no byte for {stall:?}"),
            Self::Cut(cut) => cut.fmt(f),
        }
    }
}

/// Sends all of `bytes`. Calls `last` just before the last piece leaves this function.
pub(crate) async fn bytes(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end: bool,
    stall: Duration,
    last: impl FnOnce(),
) -> Result<(), Error> {
    loop {
        let room = match bytes.len() {
            0 => 0,
            wanted => capacity(stream, wanted, stall).await?,
        };
        if room >= bytes.len() {
            last();
            return stream.send_data(bytes, end).map_err(|err| Error::Lost(Some(err)));
        }
        stream.send_data(bytes.split_to(room), false).map_err(|err| Error::Lost(Some(err)))?;
    }
}

/// Sends the rest of the body and the end of the stream, or resets the stream if the body is cut.
pub(crate) async fn body(
    stream: &mut SendStream<Bytes>,
    mut body: Body,
    stall: Duration,
) -> Result<(), Error> {
    loop {
        match next(stream, &mut body).await? {
            Some(Ok(chunk)) => {
                let end = body.is_ended();
                bytes(stream, chunk, end, stall, || {}).await?;
                if end {
                    return Ok(());
                }
            }
            Some(Err(cut)) => {
                // An end of stream here would make half a body look whole at the other end.
                stream.send_reset(Reason::CANCEL);
                return Err(Error::Cut(cut));
            }
            None => {
                let sent = stream.send_data(Bytes::new(), true);
                return sent.map_err(|err| Error::Lost(Some(err)));
            }
        }
    }
}

/// Waits for the next chunk, but no longer than the other end wants it.
async fn next(
    stream: &mut SendStream<Bytes>,
    body: &mut Body,
) -> Result<Option<Result<Bytes, Cut>>, Error> {
    tokio::select! {
        biased;
        chunk = body.next() => Ok(chunk),
        reset = poll_fn(|cx| stream.poll_reset(cx)) => Err(Error::Lost(reset.err())),
    }
}

async fn capacity(
    stream: &mut SendStream<Bytes>,
    wanted: usize,
    stall: Duration,
) -> Result<usize, Error> {
    stream.reserve_capacity(wanted);
    if stream.capacity() > 0 {
        return Ok(stream.capacity());
    }
    let waited = tokio::time::timeout(stall, poll_fn(|cx| poll_capacity(stream, cx))).await;
    waited.map_err(|_| Error::Stalled(stall))?
}

fn poll_capacity(
    stream: &mut SendStream<Bytes>,
    cx: &mut std::task::Context<'_>,
) -> Poll<Result<usize, Error>> {
    if stream.capacity() > 0 {
        return Poll::Ready(Ok(stream.capacity()));
    }
    match std::task::ready!(stream.poll_capacity(cx)) {
        Some(Ok(room)) => Poll::Ready(Ok(room)),
        Some(Err(err)) => Poll::Ready(Err(Error::Lost(Some(err)))),
        None => Poll::Ready(Err(Error::Lost(None))),
    }
}
