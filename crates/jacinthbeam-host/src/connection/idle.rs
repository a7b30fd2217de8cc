//! Bounds of a caller's connection in time: how long a head may take, how long nothing may come.
//!
//! hyper has one bound for both, counted from the end of the last answer. It would close connections that callers keep for
//! their next request after the time that a head may take.

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

/// What a connection is doing, as seen from its bytes and its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doing {
    /// Waits for the first byte of a request.
    Idle,
    /// A head is coming in.
    Head,
    /// A request is being served.
    Request,
}

/// Shared by the stream, the requests on it and the watch over both.
#[derive(Debug, Clone)]
pub(super) struct Activity(Rc<Cell<(Doing, Instant)>>);

impl Activity {
    pub(super) fn new() -> Self {
        Self(Rc::new(Cell::new((Doing::Idle, Instant::now()))))
    }

    pub(super) fn request_begins(&self) {
        self.0.set((Doing::Request, Instant::now()));
    }

    pub(super) fn request_ends(&self) {
        self.0.set((Doing::Idle, Instant::now()));
    }

    pub(super) fn is_idle(&self) -> bool {
        self.0.get().0 == Doing::Idle
    }

    fn bytes_arrive(&self) {
        if self.is_idle() {
            self.0.set((Doing::Head, Instant::now()));
        }
    }

    /// Ends when the connection has been idle, or at one head, for too long.
    pub(super) async fn overdue(&self, head: Duration, idle: Duration) {
        loop {
            let (doing, since) = self.0.get();
            let (limit, again) = match doing {
                Doing::Idle => (idle, since + idle),
                Doing::Head => (head, since + head),
                Doing::Request => (Duration::MAX, Instant::now() + head.min(idle)),
            };
            if since.elapsed() >= limit {
                return;
            }
            // A head that begins while the idle time is waited for has a time of its own.
            tokio::time::sleep_until(again.min(Instant::now() + head)).await;
        }
    }
}

/// A caller's socket that notes when bytes arrive.
#[derive(Debug)]
pub(super) struct Noted {
    stream: TcpStream,
    activity: Activity,
}

impl Noted {
    pub(super) fn new(stream: TcpStream, activity: Activity) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.bytes_arrive();
        }
        read
    }
}

impl AsyncWrite for Noted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
