//! One HTTP/1.1 connection, closed as soon as its handle is dropped.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    time::Duration,
};

use bytes::Bytes;
use http_body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{sync::oneshot, task::AbortHandle, time::timeout};

use crate::socket::{Ending, Socket, Watch};

/// What a streamed request body may fail with.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// How long the server has to close its end of a connection that was given up.
const CLOSES_WITHIN: Duration = Duration::from_millis(500);

/// Told when a server has closed its end of a connection; dropped if that is never known.
pub type Closed = oneshot::Sender<()>;

/// Handle of a connection; dropping it closes the socket, whatever is in progress on it.
#[derive(Debug)]
pub struct Connection<B> {
    /// Takes one request at a time.
    pub sender: SendRequest<B>,
    /// Who is told, if the connection is dropped now, that the server has closed its end.
    pub closed: Option<Closed>,
    driver: AbortHandle,
    given_up: Option<oneshot::Sender<Closed>>,
    watch: Watch,
}

impl<B> Connection<B> {
    /// Whether an idle connection can take a request: it is open, and nothing has arrived on it.
    pub fn is_quiet(&self) -> bool {
        !self.sender.is_closed() && self.watch.is_quiet()
    }
}

impl<B> Drop for Connection<B> {
    fn drop(&mut self) {
        // hyper would read the rest of an abandoned answer and keep the socket. Closing it is the only way in
        // HTTP/1.1 to tell the server that nobody waits, and no later request can meet the rest of that answer.
        let told = match (self.closed.take(), self.given_up.take()) {
            (Some(closed), Some(given_up)) if !closed.is_closed() => given_up.send(closed).is_ok(),
            _ => false,
        };
        if !told {
            self.driver.abort();
        }
    }
}

/// How to connect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Options {
    /// IP number of this host that the connection comes from. Default `None`: the system picks one.
    pub source: Option<IpAddr>,
    /// Whether closing the connection resets it, which takes back what has not arrived. Default `false`.
    pub reset: bool,
}

/// Connects. `guard` is dropped when the socket is closed, not before.
pub async fn open<B, G>(options: Options, addr: SocketAddr, guard: G) -> io::Result<Connection<B>>
where
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
    G: Send + Unpin + 'static,
{
    let socket = Socket::connect(options, addr).await?;
    let watch = socket.watch();
    let kept = Kept { ending: socket.ending(), guard };
    let (sender, conn) = http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
    let (given_up, is_given_up) = oneshot::channel();
    let driver = tokio::spawn(drive(conn, is_given_up, kept)).abort_handle();
    Ok(Connection { sender, closed: None, driver, given_up: Some(given_up), watch })
}

/// What outlives hyper's part of a connection. The order of the fields matters: the socket goes first, then the guard.
struct Kept<G> {
    ending: Ending,
    #[allow(dead_code, reason = "held for its drop")]
    guard: G,
}

/// Runs a connection to its end.
///
/// One that is given up is closed for writing only, which a server can't tell from a closed one. Its own close then says that it
/// has ended the request; without it, the place of the request would have to be held until long after.
async fn drive<B, G>(
    conn: http1::Connection<TokioIo<Socket>, B>,
    mut is_given_up: oneshot::Receiver<Closed>,
    kept: Kept<G>,
) where
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
{
    let closed = {
        let conn = pin!(conn);
        tokio::select! {
            // First, since hyper ends the connection too when it sees that nobody waits for the answer.
            biased;
            closed = &mut is_given_up => closed.ok(),
            ended = conn => {
                if let Err(err) = ended {
                    ::log::debug!("connection: ended: {err}");
                }
                None
            }
        }
    };
    let Some(closed) = closed else { return };
    if let Ok(true) = timeout(CLOSES_WITHIN, kept.ending.wait()).await {
        // Whoever waited may have no use for it any more.
        let _ = closed.send(());
    }
}
