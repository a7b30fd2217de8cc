//! One HTTP/1.1 connection, closed as soon as its handle is dropped.

pub(crate) mod line;
mod socket;

use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use socket::{Socket, Watch};

/// What a streamed request body may fail with.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Handle of a connection; dropping it closes the socket, whatever is in progress on it.
#[derive(Debug)]
pub(crate) struct Connection<B> {
    /// Takes one request at a time.
    pub(crate) sender: SendRequest<B>,
    driver: AbortHandle,
    watch: Watch,
}

impl<B> Connection<B> {
    /// Whether an idle connection can take a request: it is open, and nothing has arrived on it.
    pub(crate) fn is_quiet(&self) -> bool {
        !self.sender.is_closed() && self.watch.is_quiet()
    }
}

impl<B> Drop for Connection<B> {
    fn drop(&mut self) {
        // hyper would read the rest of an abandoned answer and keep the socket. Closing it is the only way in
        // HTTP/1.1 to tell the server that nobody waits, and no later request can meet the rest of that answer.
        self.driver.abort();
    }
}

/// Connects, from the IP number `source` if one is given. `guard` is dropped when the socket is closed, not before.
pub(crate) async fn open<B, G>(
    source: Option<IpAddr>,
    addr: SocketAddr,
    guard: G,
) -> io::Result<Connection<B>>
where
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
    G: Send + Unpin + 'static,
{
    let socket = Socket::connect(source, addr).await?;
    let watch = socket.watch();
    let (sender, conn) = http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(Driver { conn, guard }).abort_handle();
    Ok(Connection { sender, driver, watch })
}

/// Runs a connection. The order of its fields matters: the socket goes first, then the guard.
struct Driver<B: Body + 'static, G> {
    conn: http1::Connection<TokioIo<Socket>, B>,
    #[allow(dead_code, reason = "held for its drop")]
    guard: G,
}

impl<B, G> Future for Driver<B, G>
where
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
    G: Unpin,
{
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.conn).poll(cx).map(|ended| {
            if let Err(err) = ended {
                ::log::debug!("connection: ended: {err}");
            }
        })
    }
}
