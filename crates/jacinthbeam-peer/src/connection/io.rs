//! A TCP stream that notes when it last heard something, and how many bytes passed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

/// What passed on one connection.
#[derive(Debug)]
pub(crate) struct Traffic {
    opened: Instant,
    heard: AtomicU64,
    read: AtomicU64,
    written: AtomicU64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            opened: Instant::now(),
            heard: AtomicU64::new(0),
            read: AtomicU64::new(0),
            written: AtomicU64::new(0),
        }
    }
}

impl Traffic {
    /// When bytes last arrived; the opening of the connection if none have.
    pub(crate) fn heard(&self) -> Instant {
        self.opened + Duration::from_micros(self.heard.load(Ordering::Relaxed))
    }

    pub(crate) fn bytes_read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    pub(crate) fn bytes_written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    fn note_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Ordering::Relaxed);
        self.heard.store(self.opened.elapsed().as_micros() as u64, Ordering::Relaxed);
    }

    fn note_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// See the module.
#[derive(Debug)]
pub(crate) struct Io {
    tcp: TcpStream,
    traffic: Arc<Traffic>,
}

impl Io {
    /// Small messages must not wait for the acknowledgement of earlier ones, so Nagle's algorithm is off.
    pub(crate) fn new(tcp: TcpStream, traffic: Arc<Traffic>) -> io::Result<Self> {
        tcp.set_nodelay(true)?;
        Ok(Self { tcp, traffic })
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.traffic.note_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.tcp).poll_write(cx, buf))?;
        self.traffic.note_written(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs))?;
        self.traffic.note_written(bytes);
        Poll::Ready(Ok(bytes))
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
