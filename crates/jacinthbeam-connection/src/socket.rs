//! A TCP socket that other tasks can inspect while one task reads and writes it.

use std::{
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    net::{Shutdown, SocketAddr},
    pin::Pin,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{connection::Options, dialer::Dialer};

/// The socket, used by the task that drives the connection.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    cutoff: Cutoff,
}

/// Makes all further reads of a socket fail.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cutoff(Arc<AtomicBool>);

impl Cutoff {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        match self.0.load(Ordering::Relaxed) {
            true => Err(io::Error::other("too many interim responses")),
            false => Ok(()),
        }
    }
}

/// Checks the socket of an idle connection. Doesn't keep the socket open.
#[derive(Debug)]
pub(crate) struct IdleProbe(Weak<TcpStream>);

/// Keeps the socket open, to wait for the server to close its end.
#[derive(Debug)]
pub(crate) struct PeerClose(Arc<TcpStream>);

/// Maximum number of bytes of an abandoned response that are read and discarded to reach its end.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

impl PeerClose {
    /// Closes the socket for writing and waits for the server to close its end. Returns `true` when it has,
    /// and `false` when that can't be determined.
    ///
    /// A reset returns `false`, since a device between the two ends may have sent it.
    pub(crate) async fn wait(&self) -> bool {
        if SockRef::from(&*self.0).shutdown(Shutdown::Write).is_err() {
            return false;
        }
        let mut buf = [0; 4096];
        let mut discarded = 0;
        while discarded <= MAX_DISCARDED_BYTES {
            if self.0.readable().await.is_err() {
                return false;
            }
            match self.0.try_read(&mut buf) {
                Ok(0) => return true,
                Ok(len) => discarded += len,
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        false
    }
}

impl Socket {
    pub(crate) async fn connect(
        dialer: &Dialer,
        options: Options,
        addr: SocketAddr,
    ) -> io::Result<Self> {
        let stream = dialer.dial(options, addr).await?;
        stream.set_nodelay(true)?;
        enable_dead_peer_detection(&SockRef::from(&stream))?;
        if options.reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(Self { stream: Arc::new(stream), cutoff: Cutoff::default() })
    }

    pub(crate) fn idle_probe(&self) -> IdleProbe {
        IdleProbe(Arc::downgrade(&self.stream))
    }

    pub(crate) fn peer_close(&self) -> PeerClose {
        PeerClose(self.stream.clone())
    }

    pub(crate) fn cutoff(&self) -> Cutoff {
        self.cutoff.clone()
    }
}

/// Enables keepalive probes and a timeout for unacknowledged data.
///
/// A connection may stop working without an error while new ones work. Without probes, a request on it would
/// last until its own timeout, which for a long poll means half a minute of missed changes. With them it
/// fails after about [`DEAD_PEER_TIMEOUT`]. That timeout also decides when the probes give up, whatever their
/// number: an idle connection fails at the second one.
fn enable_dead_peer_detection(socket: &SockRef<'_>) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}

/// Interval of keepalive probes on a connection that receives nothing. The operating system supports only
/// whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which unacknowledged data or probes end a connection: some hundred round trips, and short
/// enough that a change missed meanwhile can still take effect within the required two seconds.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(1200);

impl IdleProbe {
    /// Whether the socket is open and has nothing to read.
    ///
    /// An idle connection receives either its end or unsolicited bytes, and its task may not have processed
    /// them yet. In the first case a request sent now would be lost, though the server never received it. In
    /// the second case it could be matched with another request's response. The check queries the kernel, so
    /// that it misses only what is still in transit.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return false };
        let mut buf = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&*stream).peek(&mut buf);
        matches!(peeked, Err(err) if err.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.cutoff.check()?;
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
