//! Callers that keep their connections, so that what is measured is requests and not connections.

mod pool;

use std::{fmt, io, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle};

pub use pool::Pool;

/// A kept connection. One request at a time.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    /// Connects.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // An error of the connection reaches the sender too.
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for its whole answer; `None` if the connection broke.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Option<Response<Bytes>> {
        self.sender.ready().await.ok()?;
        let res = self.sender.send_request(req).await.ok()?;
        let (parts, body) = res.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(parts, body))
    }

    /// Whether it can take another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("open", &self.is_open()).finish()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
