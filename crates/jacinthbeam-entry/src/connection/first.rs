//! A bound on the time in which a connection shows which protocol it speaks.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// What an HTTP/2 connection begins with.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A stream whose reads fail if the time is over before the protocol is known.
///
/// The library decides between HTTP/1 and HTTP/2 by the first bytes, and waits for them without a
/// bound. Connections that are opened and stay silent would take all the room for callers, and no
/// new caller would be served. Once the protocol is known, the library's own bounds hold.
#[derive(Debug)]
pub struct First {
    tcp: TcpStream,
    matched: usize,
    /// `None` once the protocol is known.
    late: Option<Pin<Box<Sleep>>>,
}

impl First {
    /// Gives the other end `within` from now on.
    pub fn new(tcp: TcpStream, within: Duration) -> Self {
        Self { tcp, matched: 0, late: Some(Box::pin(sleep(within))) }
    }

    fn note(&mut self, read: &[u8]) {
        let rest = &PREFACE[self.matched..];
        let same = read.iter().zip(rest).take_while(|(a, b)| a == b).count();
        self.matched += same;
        if same < read.len() || self.matched == PREFACE.len() {
            self.late = None;
        }
    }
}

impl AsyncRead for First {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let this = &mut *self;
        let read = Pin::new(&mut this.tcp).poll_read(cx, buf);
        let Some(late) = &mut this.late else { return read };
        if read.is_pending() {
            ready!(late.as_mut().poll(cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        this.note(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for First {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
