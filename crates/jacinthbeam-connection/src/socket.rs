//! A TCP socket that can be looked at from outside the task that runs it.

use std::{
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    net::{IpAddr, Shutdown, SocketAddr},
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
};

use crate::connection::Options;

/// The socket, for the one task that reads and writes it.
#[derive(Debug)]
pub(crate) struct Socket(Arc<TcpStream>);

/// Looks at the socket of an idle connection. Does not keep it open.
#[derive(Debug)]
pub(crate) struct Watch(Weak<TcpStream>);

/// Keeps the socket open, to see how it ends.
#[derive(Debug)]
pub(crate) struct Ending(Arc<TcpStream>);

/// Bytes of an abandoned answer that are read on the way to its end.
const MAX_REST: usize = 256 << 10;

impl Ending {
    /// Closes the socket for writing. Returns whether the server has closed its end, when it has, or when that will not be known.
    ///
    /// A reset counts as unknown: it may come from something between the two ends.
    pub(crate) async fn wait(&self) -> bool {
        if SockRef::from(&*self.0).shutdown(Shutdown::Write).is_err() {
            return false;
        }
        let mut buf = [0; 4096];
        let mut rest = 0;
        while rest <= MAX_REST {
            if self.0.readable().await.is_err() {
                return false;
            }
            match self.0.try_read(&mut buf) {
                Ok(0) => return true,
                Ok(len) => rest += len,
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        false
    }
}

impl Socket {
    pub(crate) async fn connect(options: Options, addr: SocketAddr) -> io::Result<Self> {
        let stream = match options.source {
            None => TcpStream::connect(addr).await?,
            Some(source) => connect_from(source, addr).await?,
        };
        stream.set_nodelay(true)?;
        notice_silence(&SockRef::from(&stream))?;
        if options.reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(Self(Arc::new(stream)))
    }

    pub(crate) fn watch(&self) -> Watch {
        Watch(Arc::downgrade(&self.0))
    }

    pub(crate) fn ending(&self) -> Ending {
        Ending(self.0.clone())
    }
}

/// A connection may go silent for good while new ones work. Without probes a wait on it would last to the end of its
/// timeout, which for a long poll is half a minute of missed changes; with them it ends after [`SILENT_FOR`] or so.
fn notice_silence(socket: &SockRef<'_>) -> io::Result<()> {
    let probes =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENT_FOR))
}

/// Pause between probes of a connection on which nothing comes. Whole seconds are all that the system counts in.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Bytes or probes unacknowledged for this long end a connection: some hundred round trips, and short enough that a change
/// missed meanwhile can still act within its two seconds.
const SILENT_FOR: Duration = Duration::from_millis(1200);

async fn connect_from(source: IpAddr, addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(addr).await
}

impl Watch {
    /// Whether the socket is open and nothing has arrived on it.
    ///
    /// What has arrived on an idle connection is its end, or bytes that nobody asked for. The connection's task may
    /// not have run since. A request sent now would be lost in the first case, though the server never saw it, and in
    /// the second it could be given another one's answer. Asking the kernel leaves only what is still on its way.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return false };
        let mut buf = [MaybeUninit::uninit(); 1];
        let seen = SockRef::from(&*stream).peek(&mut buf);
        matches!(seen, Err(err) if err.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
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
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
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
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
