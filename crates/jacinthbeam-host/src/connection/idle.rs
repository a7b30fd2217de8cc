//! Timeouts of a caller's connection: one for reading a request's head, one for idleness between requests.
//!
//! hyper has a single timeout for both, counted from the end of the last response. With the limit for a head, it would close
//! connections that callers keep open for their next request.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

/// State of a connection, derived from its bytes and its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Waiting for the first byte of a request.
    Idle,
    /// Reading the head of a request.
    Head,
    /// Serving a request.
    Request,
}

/// State of a connection and when it began; shared by the stream, its requests and the timeout.
#[derive(Debug, Clone)]
pub(super) struct Activity {
    state: Rc<Cell<(State, Instant)>>,
    /// Whether bytes wait for the caller to read.
    write_blocked: Rc<Cell<bool>>,
}

impl Activity {
    pub(super) fn new() -> Self {
        let state = Rc::new(Cell::new((State::Idle, Instant::now())));
        Self { state, write_blocked: Rc::default() }
    }

    pub(super) fn on_request_start(&self) {
        self.state.set((State::Request, Instant::now()));
    }

    pub(super) fn on_request_end(&self) {
        self.state.set((State::Idle, Instant::now()));
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state.get().0 == State::Idle
    }

    /// Whether the caller has not read its response completely.
    pub(super) fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// A write ended. A caller that reads slowly is not idle while it takes bytes.
    fn on_write<T>(&self, written: &Poll<io::Result<T>>) {
        self.write_blocked.set(written.is_pending());
        if written.is_ready() && self.is_idle() {
            self.state.set((State::Idle, Instant::now()));
        }
    }

    fn on_bytes(&self) {
        if self.is_idle() {
            self.state.set((State::Head, Instant::now()));
        }
    }

    /// Completes when the connection has exceeded the timeout for idleness or for one head.
    pub(super) async fn timed_out(&self, head: Duration, idle: Duration) {
        loop {
            let (state, since) = self.state.get();
            let (limit, wake_at) = match state {
                State::Idle => (idle, since + idle),
                State::Head => (head, since + head),
                State::Request => (Duration::MAX, Instant::now() + head.min(idle)),
            };
            if since.elapsed() >= limit {
                return;
            }
            // Wakes up after `head` at the latest: a head that begins during the idle timeout has its own.
            tokio::time::sleep_until(wake_at.min(Instant::now() + head)).await;
        }
    }
}

/// A caller's socket that records the arrival of bytes.
#[derive(Debug)]
pub(super) struct ActivityStream {
    stream: TcpStream,
    activity: Activity,
}

impl ActivityStream {
    pub(super) fn new(stream: TcpStream, activity: Activity) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_bytes();
        }
        read
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.on_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
