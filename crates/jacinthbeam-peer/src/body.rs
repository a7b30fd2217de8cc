//! Streams of bytes that say whether they are whole.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::sync::mpsc;

use crate::request::receive::Received;

/// Chunks that wait between a [`Sender`] and its [`Body`].
const CHANNEL_CHUNKS: usize = 4;

/// Why a body is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// The other end reset the stream.
    Reset,
    /// The connection was lost.
    ConnectionLost,
    /// The body ended before its announced length.
    TooShort {
        /// Bytes that did not come.
        missing: u64,
    },
    /// More bytes came than were announced.
    TooLong {
        /// The announced length.
        announced: u64,
    },
    /// The producer in this process went away before the end.
    Abandoned,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reset => f.write_str("the other end reset the stream before the body's end"),
            Self::ConnectionLost => f.write_str("the connection was lost before the body's end"),
            Self::TooShort { missing } => {
                write!(f, "the body ended {missing} bytes before its announced length")
            }
            Self::TooLong { announced } => {
                write!(f, "the body goes on after its announced length of {announced} bytes")
            }
            Self::Abandoned => f.write_str("the producer of the body stopped before its end"),
        }
    }
}

impl std::error::Error for Cut {}

/// The reader of the body is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nobody reads the body any more")
    }
}

impl std::error::Error for Closed {}

/// Why a body could not be collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CollectError {
    /// The body is not whole.
    Cut(Cut),
    /// The body is longer than the caller's limit.
    TooLarge {
        /// The limit in bytes.
        max: usize,
    },
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut(cut) => cut.fmt(f),
            Self::TooLarge { max } => write!(f, "the body is longer than {max} bytes"),
        }
    }
}

impl std::error::Error for CollectError {}

/// A body on its way through this process; a stream of chunks that ends whole or with a [`Cut`].
///
/// Memory is bounded by the flow control window of the stream it comes from. Dropping a body that came from a
/// peer before its end resets the stream, which cancels the work behind it.
pub struct Body {
    source: Source,
    length: Option<u64>,
    seen: u64,
}

enum Source {
    Ended,
    Whole(Bytes),
    Channel(mpsc::Receiver<Part>),
    Received(Box<Received>),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, Cut>> + Send>>),
}

enum Part {
    Data(Bytes),
    End,
}

impl Body {
    /// A body without bytes.
    pub fn empty() -> Self {
        Self::new(Source::Ended, Some(0))
    }

    /// A body fed from another part of the process. `length` is enforced if given.
    pub fn channel(length: Option<u64>) -> (Sender, Self) {
        let (tx, rx) = mpsc::channel(CHANNEL_CHUNKS);
        (Sender { tx }, Self::new(Source::Channel(rx), length))
    }

    /// A body read from any stream; its end counts as the end of a whole body. `length` is enforced if given.
    pub fn from_stream(
        stream: impl Stream<Item = Result<Bytes, Cut>> + Send + 'static,
        length: Option<u64>,
    ) -> Self {
        Self::new(Source::Stream(Box::pin(stream)), length)
    }

    pub(crate) fn received(received: Received, length: Option<u64>) -> Self {
        Self::new(Source::Received(Box::new(received)), length)
    }

    fn new(source: Source, length: Option<u64>) -> Self {
        Self { source, length, seen: 0 }
    }

    /// The announced length in bytes, if any.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Bytes still to come, if the length was announced.
    pub fn remaining(&self) -> Option<u64> {
        self.length.map(|length| length.saturating_sub(self.seen))
    }

    /// Whether the body is known to have ended, so that [`Body::next`] gives `None`.
    pub fn is_ended(&self) -> bool {
        let ended = match &self.source {
            Source::Ended => true,
            Source::Received(received) => received.is_ended(),
            Source::Whole(_) | Source::Channel(_) | Source::Stream(_) => false,
        };
        ended && self.length.is_none_or(|length| length == self.seen)
    }

    /// The next chunk; `None` after the end of a whole body and after a [`Cut`].
    pub async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        StreamExt::next(self).await
    }

    /// Reads the whole body into memory, at most `max` bytes.
    pub async fn collect(mut self, max: usize) -> Result<Bytes, CollectError> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk.map_err(CollectError::Cut)?;
            if buf.len() + chunk.len() > max {
                return Err(CollectError::TooLarge { max });
            }
            if buf.is_empty() && self.is_ended() {
                return Ok(chunk);
            }
            buf.extend_from_slice(&chunk);
        }
        Ok(buf.freeze())
    }

    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        match &mut self.source {
            Source::Ended => Poll::Ready(None),
            Source::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                self.source = Source::Ended;
                Poll::Ready(Some(Ok(bytes)))
            }
            Source::Channel(rx) => Poll::Ready(match ready!(rx.poll_recv(cx)) {
                Some(Part::Data(data)) => Some(Ok(data)),
                Some(Part::End) => None,
                None => Some(Err(Cut::Abandoned)),
            }),
            Source::Received(received) => received.poll_data(cx),
            Source::Stream(stream) => stream.as_mut().poll_next(cx),
        }
    }

    /// Counts the chunk. A length that differs from the announced one means that bytes were lost or belong to
    /// another answer; the reader gets a cut in place of a body that looks whole.
    fn check_length(&mut self, chunk: Option<Result<Bytes, Cut>>) -> Option<Result<Bytes, Cut>> {
        match chunk {
            Some(Ok(data)) => {
                self.seen += data.len() as u64;
                match self.length {
                    Some(announced) if self.seen > announced => {
                        Some(Err(Cut::TooLong { announced }))
                    }
                    _ => Some(Ok(data)),
                }
            }
            Some(Err(cut)) => Some(Err(cut)),
            None => {
                let missing = self.length.unwrap_or(self.seen).saturating_sub(self.seen);
                (missing > 0).then_some(Err(Cut::TooShort { missing }))
            }
        }
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Cut>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = ready!(self.poll_source(cx));
        let item = self.check_length(chunk);
        if !matches!(item, Some(Ok(_))) {
            self.source = Source::Ended;
            self.seen = self.length.unwrap_or(self.seen);
        }
        Poll::Ready(item)
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        if bytes.is_empty() {
            return Self::empty();
        }
        let length = bytes.len() as u64;
        Self::new(Source::Whole(bytes), Some(length))
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body")
            .field("length", &self.length)
            .field("seen", &self.seen)
            .finish_non_exhaustive()
    }
}

/// Feeds a [`Body`]. Dropped before [`Sender::finish`], it cuts the body.
#[derive(Debug)]
pub struct Sender {
    tx: mpsc::Sender<Part>,
}

impl Sender {
    /// Adds a chunk; waits while the reader is behind.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), Closed> {
        self.tx.send(Part::Data(chunk)).await.map_err(|_| Closed)
    }

    /// Says that the body is whole.
    pub async fn finish(self) -> Result<(), Closed> {
        self.tx.send(Part::End).await.map_err(|_| Closed)
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Data(data) => write!(f, "Data({} bytes)", data.len()),
            Self::End => f.write_str("End"),
        }
    }
}
