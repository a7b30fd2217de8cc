//! An HTTP/1.1 client connection that is closed as soon as its handle is dropped.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
    ext::on_informational,
};
use hyper_util::rt::TokioIo;
use tokio::{sync::oneshot, task::AbortHandle, time::timeout};

use crate::{
    dialer::Dialer,
    socket::{Cutoff, IdleProbe, PeerClose, Socket},
};

/// Error of a streamed request body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Largest head of a response, in bytes. Also the size of the read buffer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 32;

/// Time for the server to close its end of an abandoned connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Notified when the server has closed its end of a connection. Dropped if that can't be determined.
pub type Closed = oneshot::Sender<()>;

/// Handle of a connection. Dropping it closes the socket, also while a request is in progress.
#[derive(Debug)]
pub struct Connection<B> {
    /// Sends requests, one at a time.
    pub sender: SendRequest<B>,
    /// Notified if the connection is dropped and the server then closes its end. If `None`, dropping closes
    /// the socket immediately.
    pub closed: Option<Closed>,
    driver: AbortHandle,
    abandon: Option<oneshot::Sender<Closed>>,
    idle_probe: IdleProbe,
    cutoff: Cutoff,
}

impl<B> Connection<B> {
    /// Sends a request and returns the response once its head has arrived. The connection fails if the head is larger than 64 KiB, or if more
    /// than 32 interim responses precede it.
    ///
    /// # Errors
    ///
    /// The error contains the request if no byte of it was written.
    pub async fn send(
        &mut self,
        mut req: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>>
    where
        B: Body + Send + 'static,
    {
        let (cutoff, seen) = (self.cutoff.clone(), AtomicUsize::new(0));
        // Called while the connection is read, which may not end by itself as long as bytes arrive.
        on_informational(&mut req, move |_| {
            if seen.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                cutoff.set();
            }
        });
        self.sender.try_send_request(req).await
    }

    /// Whether an idle connection can be used for a request: it is open, and no bytes have arrived on it.
    pub fn is_quiet(&self) -> bool {
        !self.sender.is_closed() && self.idle_probe.is_quiet()
    }
}

impl<B> Drop for Connection<B> {
    fn drop(&mut self) {
        // hyper would read the rest of an abandoned response and keep the socket open. In HTTP/1.1, closing
        // it is the only way to cancel the request at the server. It also ensures that no later request
        // receives the rest of that response.
        let handed_over = match (self.closed.take(), self.abandon.take()) {
            (Some(closed), Some(abandon)) if !closed.is_closed() => abandon.send(closed).is_ok(),
            _ => false,
        };
        if !handed_over {
            self.driver.abort();
        }
    }
}

/// Options of a new connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Options {
    /// Local IP address of the connection. Default `None`: chosen by the operating system.
    pub source: Option<IpAddr>,
    /// Whether closing the connection resets it, which discards data that was written but has not arrived.
    /// Default `false`.
    pub reset: bool,
}

/// Connects to `addr`. `guard` is dropped after the socket is closed.
pub async fn open<B, G>(
    dialer: &Dialer,
    options: Options,
    addr: SocketAddr,
    guard: G,
) -> io::Result<Connection<B>>
where
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
    G: Send + Unpin + 'static,
{
    let socket = Socket::connect(dialer, options, addr).await?;
    let idle_probe = socket.idle_probe();
    let cutoff = socket.cutoff();
    let resources = Resources { peer_close: socket.peer_close(), guard };
    let handshake =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(socket));
    let (sender, conn) = handshake.await.map_err(io::Error::other)?;
    let (abandon, abandoned) = oneshot::channel();
    let driver = tokio::spawn(drive(conn, abandoned, resources)).abort_handle();
    Ok(Connection { sender, closed: None, driver, abandon: Some(abandon), idle_probe, cutoff })
}

/// Held beyond the end of hyper's connection. The order of the fields matters: the socket must be closed
/// before the guard is dropped.
struct Resources<G> {
    peer_close: PeerClose,
    #[allow(dead_code, reason = "held for its drop")]
    guard: G,
}

/// Drives a connection until it ends or is abandoned.
///
/// An abandoned connection is closed for writing only, which a server can't distinguish from a full close.
/// When the server then closes its end, it has ended the request. Without this signal, the slot of the
/// request would have to stay reserved for much longer.
async fn drive<B, G>(
    conn: http1::Connection<TokioIo<Socket>, B>,
    mut abandoned: oneshot::Receiver<Closed>,
    resources: Resources<G>,
) where
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
{
    let closed = {
        let conn = pin!(conn);
        tokio::select! {
            // Must be polled first: when the request is abandoned, hyper ends the connection as well.
            biased;
            closed = &mut abandoned => closed.ok(),
            ended = conn => {
                if let Err(err) = ended {
                    ::log::debug!("connection: ended: {err}");
                }
                None
            }
        }
    };
    let Some(closed) = closed else { return };
    if let Ok(true) = timeout(CLOSE_TIMEOUT, resources.peer_close.wait()).await {
        // The receiver may have been dropped.
        let _ = closed.send(());
    }
}
