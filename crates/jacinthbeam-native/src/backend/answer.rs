//! Body of an answer: whole, or an error. Its connection goes back to the pool at its end only.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::shared::{Held, Shared};

/// Why a body ended before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// The connection was closed or broke in the middle of it.
    Lost,
    /// The rest did not come before the deadline.
    Silent,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Lost => "the connection was lost in the middle of the answer",
            Self::Silent => "the rest of the answer did not come before the deadline",
        })
    }
}

impl std::error::Error for Cut {}

/// Body of an answer. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct AnswerBody {
    /// `None` once the body has ended, in whichever way. Dropped before `incoming`: hyper closes the whole socket when it sees
    /// that nobody reads.
    held: Option<Held>,
    incoming: Incoming,
    /// Bytes still to come, if the answer said how many.
    left: Option<u64>,
    late: Pin<Box<Sleep>>,
    shared: Arc<Shared>,
}

impl AnswerBody {
    pub(super) fn new(
        incoming: Incoming,
        held: Held,
        shared: Arc<Shared>,
        deadline: Instant,
    ) -> Self {
        let left = incoming.size_hint().exact();
        let late = Box::pin(sleep_until(deadline));
        let mut body = Self { incoming, left, late, held: Some(held), shared };
        body.give_back_at_end();
        body
    }

    /// The next bytes; `None` after the last ones, or after an error.
    pub async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            match self.frame().await? {
                Err(cut) => return Some(Err(cut)),
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
            }
        }
    }

    fn give_back_at_end(&mut self) {
        if self.incoming.is_end_stream() {
            self.give_back();
        }
    }

    fn give_back(&mut self) {
        if let Some(held) = self.held.take() {
            self.shared.give_back(held);
        }
    }

    fn cut(&mut self, cut: Cut) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match (self.held.take(), cut) {
            (Some(held), Cut::Silent) => self.shared.silent(held),
            (held, _) => drop(held),
        }
        Poll::Ready(Some(Err(cut)))
    }

    fn on_frame(&mut self, frame: Frame<Bytes>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let len = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.left.map(|left| left.checked_sub(len)) {
            Some(None) => return self.cut(Cut::Lost),
            Some(left) => self.left = left,
            None => {}
        }
        self.give_back_at_end();
        Poll::Ready(Some(Ok(frame)))
    }

    fn on_end(&mut self) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.left.is_some_and(|left| left > 0) {
            return self.cut(Cut::Lost);
        }
        self.give_back();
        Poll::Ready(None)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        if this.held.is_none() {
            return Poll::Ready(None);
        }
        match Pin::new(&mut this.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => this.on_frame(frame),
            Poll::Ready(Some(Err(_))) => this.cut(Cut::Lost),
            Poll::Ready(None) => this.on_end(),
            Poll::Pending if this.late.as_mut().poll(cx).is_ready() => this.cut(Cut::Silent),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
