//! A connection that can go silent without being closed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::Server;

/// A TCP stream that passes nothing while its server is frozen, and nothing ever again once it is silent.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    silent: Arc<AtomicBool>,
    server: Arc<Server>,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, silent: Arc<AtomicBool>, server: Arc<Server>) -> Self {
        Self { inner, silent, server }
    }

    fn poll_passable(&self, cx: &mut Context<'_>) -> Poll<()> {
        // A silent connection stays so: nobody needs to be woken.
        if self.silent.load(Ordering::SeqCst) {
            return Poll::Pending;
        }
        self.server.freeze.poll_sockets(cx)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_passable(cx));
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_passable(cx));
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_passable(cx));
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_passable(cx));
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
