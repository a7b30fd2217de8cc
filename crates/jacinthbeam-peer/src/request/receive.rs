//! Reading a message and the body that follows it.

use std::{
    fmt,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use tokio::task::AbortHandle;

use crate::{
    body::Cut,
    client::Permitted,
    request::wire::{LENGTH, MAX_MESSAGE},
};

/// Why no message could be read.
#[derive(Debug)]
pub(crate) enum Error {
    /// Its announced length is too large.
    TooLarge { bytes: usize, max: usize },
    /// The stream ended before it.
    TooShort,
    /// The stream or connection was lost.
    Lost(h2::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes, max } => {
                write!(f, "the message has {bytes} bytes, at most {max} are allowed")
            }
            Self::TooShort => f.write_str("the stream ended before the end of the message"),
            Self::Lost(err) => write!(f, "the stream was lost: {err}"),
        }
    }
}

/// A message and the bytes of the body that came with it.
pub(crate) struct Message {
    pub(crate) bytes: Bytes,
    pub(crate) rest: Bytes,
}

/// Reads one message; memory grows with what arrives, not with the announced length.
pub(crate) async fn message(recv: &mut RecvStream, max: usize) -> Result<Message, Error> {
    let max = max.min(MAX_MESSAGE);
    let first = chunk(recv).await?.ok_or(Error::TooShort)?;
    if let Some(total) = total(&first, max)?
        && first.len() >= total
    {
        return Ok(split(first, total));
    }
    let mut buf = BytesMut::from(first);
    loop {
        let more = chunk(recv).await?.ok_or(Error::TooShort)?;
        buf.extend_from_slice(&more);
        if let Some(total) = total(&buf, max)?
            && buf.len() >= total
        {
            return Ok(split(buf.freeze(), total));
        }
    }
}

fn total(buf: &[u8], max: usize) -> Result<Option<usize>, Error> {
    let Some(length) = buf.first_chunk::<LENGTH>() else { return Ok(None) };
    let bytes = u32::from_be_bytes(*length) as usize;
    if bytes > max {
        return Err(Error::TooLarge { bytes, max });
    }
    Ok(Some(LENGTH + bytes))
}

fn split(mut buf: Bytes, total: usize) -> Message {
    let mut bytes = buf.split_to(total);
    bytes.advance(LENGTH);
    Message { bytes, rest: buf }
}

async fn chunk(recv: &mut RecvStream) -> Result<Option<Bytes>, Error> {
    match recv.data().await {
        Some(Ok(data)) => {
            release(recv, data.len()).map_err(Error::Lost)?;
            Ok(Some(data))
        }
        Some(Err(err)) => Err(Error::Lost(err)),
        None => Ok(None),
    }
}

fn release(recv: &mut RecvStream, bytes: usize) -> Result<(), h2::Error> {
    recv.flow_control().release_capacity(bytes)
}

/// Stops the sending of a request's body once its answer is dropped.
#[derive(Debug)]
pub(crate) struct Upload(pub(crate) AbortHandle);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Body that arrives on an `h2` stream.
pub(crate) struct Received {
    recv: RecvStream,
    rest: Bytes,
    _stream: Option<Permitted>,
    _upload: Option<Upload>,
}

impl Received {
    pub(crate) fn new(recv: RecvStream, rest: Bytes) -> Self {
        Self { recv, rest, _stream: None, _upload: None }
    }

    pub(crate) fn with(self, stream: Permitted, upload: Option<Upload>) -> Self {
        Self { _stream: Some(stream), _upload: upload, ..self }
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.rest.is_empty() && self.recv.is_end_stream()
    }

    /// The window opens again only when a chunk is taken, so a slow reader holds at most one window of bytes.
    pub(crate) fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.rest))));
        }
        let data = match ready!(self.recv.poll_data(cx)) {
            Some(Ok(data)) => data,
            Some(Err(err)) => return Poll::Ready(Some(Err(cut(&err)))),
            None => return Poll::Ready(None),
        };
        match release(&mut self.recv, data.len()) {
            Ok(()) => Poll::Ready(Some(Ok(data))),
            Err(err) => Poll::Ready(Some(Err(cut(&err)))),
        }
    }
}

fn cut(err: &h2::Error) -> Cut {
    if err.is_reset() { Cut::Reset } else { Cut::ConnectionLost }
}
