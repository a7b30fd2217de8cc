//! Bodies on their way through an entry host.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jacinthbeam_peer::{Body, body::Cut};
use jacinthbeam_types::prelude::*;
use tokio::runtime::Handle;

use super::entered::Entered;

/// Bodies up to this size are held, so that the request can be repeated after a `not-run`.
pub const HELD: u64 = 64 << 10;

/// Bytes of an abandoned body that are read and dropped, and for how long.
const MOST_DISCARDED: usize = 24 << 20;
const DISCARD_FOR: Duration = Duration::from_secs(2);

/// A caller's body. What is left of it when it is dropped is read on for a while.
///
/// A connection that is closed with unread bytes is reset, and the reset overtakes a refusal on its way: the caller, who is still
/// sending, would be cut off without a word.
#[derive(Debug)]
struct Rest(Option<Incoming>);

impl Rest {
    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let frame = self.0.as_mut()?.frame().await;
        if !matches!(frame, Some(Ok(_))) {
            self.0 = None;
        }
        frame
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        let rest = self.0.take().filter(|rest| !rest.is_end_stream());
        // Without a runtime the process is about to end, and its connections with it.
        if let (Some(rest), Ok(runtime)) = (rest, Handle::try_current()) {
            runtime.spawn(discard(rest));
        }
    }
}

async fn discard(mut rest: Incoming) {
    let mut seen = 0;
    let read = async {
        while let Some(Ok(frame)) = rest.frame().await {
            seen += frame.data_ref().map_or(0, Bytes::len);
            if seen > MOST_DISCARDED {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_FOR, read).await.is_err() {
        log::debug!("request: the rest of a refused body did not come in time");
    }
}

/// Whether a body that was passed on as a stream turned out longer than the service allows.
#[derive(Debug, Clone, Default)]
pub struct TooLong(Arc<AtomicBool>);

impl TooLong {
    /// Whether it did so far.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// Held whole; can be sent again.
    Whole(Bytes),
    /// Streams from the caller; can be sent once.
    Stream(Body),
    /// Was a stream and has been sent.
    Spent,
}

/// Why the body of a request could not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// Longer than the service allows.
    TooLarge(u64),
    /// The caller went away or broke the framing.
    Cut,
}

impl Payload {
    /// Takes a caller's body: held if it is short or must be held, else as a stream.
    ///
    /// `hold` asks to hold any body up to `max`, as the fingerprint of an idempotency key needs.
    pub async fn read(
        incoming: Incoming,
        max: u64,
        hold: bool,
        too_long: &TooLong,
    ) -> Result<Self, Error> {
        let length = incoming.size_hint().exact();
        let ends = incoming.is_end_stream();
        let incoming = Rest(Some(incoming));
        if length.is_some_and(|length| length > max) {
            return Err(Error::TooLarge(max));
        }
        if ends {
            return Ok(Self::Whole(Bytes::new()));
        }
        if hold || length.is_some_and(|length| length <= HELD) {
            return collect(incoming, max).await.map(Self::Whole);
        }
        Ok(Self::Stream(Body::from_stream(limit(incoming, max, too_long.clone()), length)))
    }

    /// The body for one attempt; `None` if it was a stream that an earlier attempt took.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(Body::from(bytes.clone())),
            Self::Spent => None,
            Self::Stream(_) => match std::mem::replace(self, Self::Spent) {
                Self::Stream(body) => Some(body),
                _ => None,
            },
        }
    }

    /// Whether another attempt could send the body.
    pub fn can_repeat(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// The length in bytes, if known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(bytes.len() as u64),
            Self::Stream(body) => body.length(),
            Self::Spent => None,
        }
    }
}

async fn collect(mut incoming: Rest, max: u64) -> Result<Bytes, Error> {
    let mut buf = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Cut)?.into_data() else { continue };
        if buf.len() as u64 + data.len() as u64 > max {
            return Err(Error::TooLarge(max));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// The caller's body as a stream that is cut after `max` bytes or where the caller breaks off.
fn limit(
    incoming: Rest,
    max: u64,
    too_long: TooLong,
) -> impl Stream<Item = Result<Bytes, Cut>> + Send {
    let start = (incoming, 0u64, too_long);
    futures_util::stream::unfold(start, move |(mut incoming, seen, too_long)| async move {
        loop {
            let item = match incoming.frame().await? {
                Err(_) => Err(Cut::ConnectionLost),
                Ok(frame) => match frame.into_data() {
                    Err(_) => continue,
                    Ok(data) if seen + data.len() as u64 > max => {
                        too_long.0.store(true, Ordering::Relaxed);
                        Err(Cut::TooLong { announced: max })
                    }
                    Ok(data) => Ok(data),
                },
            };
            let len = item.as_ref().map_or(0, |data| data.len() as u64);
            return Some((item, (incoming, seen + len, too_long)));
        }
    })
}

/// A body as `hyper` wants it: of an answer to a caller, or of a request to a backend server.
#[derive(Debug)]
pub struct OutBody {
    body: Body,
    /// What the request holds on this host until the body has ended.
    _entered: Option<Entered>,
}

impl OutBody {
    /// A body that is held whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self::from(Body::from(bytes))
    }

    /// The same body, which keeps its request counted until it is dropped.
    pub fn keep(self, entered: Entered) -> Self {
        Self { _entered: Some(entered), ..self }
    }
}

impl From<Body> for OutBody {
    fn from(body: Body) -> Self {
        Self { body, _entered: None }
    }
}

impl http_body::Body for OutBody {
    type Data = Bytes;
    type Error = Cut;

    /// A cut is an error here, which makes `hyper` break the connection: the reader must not take a part for the whole.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.body).poll_next(cx).map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_ended()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.length().map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Hash over what makes two requests the same: method, path and body.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut buf = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    buf.extend_from_slice(method.as_bytes());
    buf.push(0);
    buf.extend_from_slice(path.as_bytes());
    buf.push(0);
    buf.extend_from_slice(body);
    KeyHash::of(&buf).0
}
