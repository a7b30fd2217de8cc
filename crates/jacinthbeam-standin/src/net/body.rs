//! Body of an answer that may end early.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::Dropped;

/// Bytes of an answer. Its announced length is always the whole one.
#[derive(Debug)]
pub(crate) struct Body {
    rest: Bytes,
    missing: usize,
}

impl Body {
    /// A body that is sent to its end.
    pub(crate) fn whole(rest: Bytes) -> Self {
        Self { rest, missing: 0 }
    }

    /// The same body, broken off in its middle. A body of at most one byte is cut before it.
    pub(crate) fn cut(mut self) -> Self {
        let kept = self.rest.len() / 2;
        self.missing += self.rest.len() - kept;
        self.rest.truncate(kept);
        self
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dropped>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.rest)))));
        }
        match self.missing {
            0 => Poll::Ready(None),
            _ => Poll::Ready(Some(Err(Dropped))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.missing == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.rest.len() + self.missing) as u64)
    }
}
