//! Asking another host for news, over one h2 connection.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use super::{
    serve::{LocalExecutor, PATH},
    update::{self, StateUpdate, UpdateRequest},
};

/// Longest attempt to connect to a host: five times the 50 ms that two domains may be apart. A host that has lost its power answers
/// nothing, and until it is given up its followers hear nothing.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// Time for an answer besides the wait that was asked for.
const ANSWER_WITHIN: Duration = Duration::from_millis(300);

/// Why there is no news.
#[derive(Debug)]
pub(crate) enum Error {
    /// No connection.
    Connect(std::io::Error),
    /// No answer in time.
    Silent,
    /// The connection ended.
    Ended(hyper::Error),
    /// Another status than 200.
    Status(StatusCode),
    /// The answer can't be read.
    Unreadable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "no connection: {err}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Ended(err) => write!(f, "the connection ended: {err}"),
            Self::Status(status) => write!(f, "the answer is {status}"),
            Self::Unreadable(why) => write!(f, "the answer can't be read: {why}"),
        }
    }
}

impl Error {
    /// Whether no process listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(err) if err.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// A connection to another host.
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
}

impl Link {
    /// Connects.
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, Error> {
        let connected = timeout(CONNECT_WITHIN, TcpStream::connect(addr));
        let stream = connected.await.map_err(|_| Error::Silent)?.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let handshake = http2::handshake(LocalExecutor, TokioIo::new(stream));
        let shaken = timeout(CONNECT_WITHIN, handshake).await.map_err(|_| Error::Silent)?;
        let (sender, conn) = shaken.map_err(Error::Ended)?;
        spawn_local(async move {
            if let Err(err) = conn.await {
                tracing::debug!(part = "peers", event = "link-ended", error = ?err);
            }
        });
        Ok(Self { sender })
    }

    /// Asks for news.
    pub(crate) async fn ask(&mut self, asked: &UpdateRequest) -> Result<StateUpdate, Error> {
        let body = Full::new(Bytes::from(update::to_bytes(asked)));
        let req =
            Request::post(format!("http://host{PATH}")).body(body).expect("the path is valid");
        timeout(asked.wait + ANSWER_WITHIN, self.exchange(req)).await.map_err(|_| Error::Silent)?
    }

    async fn exchange(&mut self, req: Request<Full<Bytes>>) -> Result<StateUpdate, Error> {
        let res = self.sender.send_request(req).await.map_err(Error::Ended)?;
        if res.status() != StatusCode::OK {
            return Err(Error::Status(res.status()));
        }
        let body = Limited::new(res.into_body(), update::LONGEST).collect().await;
        let bytes = body.map_err(|err| Error::Unreadable(err.to_string()))?.to_bytes();
        update::from_bytes(&bytes).map_err(|err| Error::Unreadable(err.to_string()))
    }
}
