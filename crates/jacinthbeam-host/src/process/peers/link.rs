//! Requests updates from another host over an HTTP/2 connection.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use super::{
    serve::{LocalExecutor, PATH},
    update::{self, StateUpdate, UpdateRequest},
};

/// Connect timeout: five times the 50 ms of latency allowed between two domains. A host that has lost power doesn't answer, and its followers
/// get no data until the attempt times out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of the head of an answer, in addition to the wait that the request allows, and of each further part of the body. The whole state
/// of a large fleet takes a slow link longer than this.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a request failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection attempt failed.
    Connect(std::io::Error),
    /// No answer in time.
    Silent,
    /// The connection ended.
    Ended(hyper::Error),
    /// The status is not 200.
    Status(StatusCode),
    /// The answer can't be decoded.
    Unreadable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "no connection: {err}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Ended(err) => write!(f, "the connection closed: {err}"),
            Self::Status(status) => write!(f, "the answer is {status}"),
            Self::Unreadable(why) => write!(f, "the answer can't be decoded: {why}"),
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
    /// Connects to a host.
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, Error> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = connected.await.map_err(|_| Error::Silent)?.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let handshake = http2::handshake(LocalExecutor, TokioIo::new(stream));
        let connected = timeout(CONNECT_TIMEOUT, handshake).await.map_err(|_| Error::Silent)?;
        let (sender, conn) = connected.map_err(Error::Ended)?;
        spawn_local(async move {
            if let Err(err) = conn.await {
                tracing::debug!(part = "peers", event = "link-ended", error = ?err);
            }
        });
        Ok(Self { sender })
    }

    /// Requests an update. Fails if nothing arrives for [`ANSWER_TIMEOUT`] after the wait that the request allows.
    pub(crate) async fn ask(&mut self, request: &UpdateRequest) -> Result<StateUpdate, Error> {
        let body = Full::new(Bytes::from(request.to_bytes()));
        let req =
            Request::post(format!("http://host{PATH}")).body(body).expect("the path is valid");
        let head = timeout(request.wait + ANSWER_TIMEOUT, self.sender.send_request(req));
        let res = head.await.map_err(|_| Error::Silent)?.map_err(Error::Ended)?;
        if res.status() != StatusCode::OK {
            return Err(Error::Status(res.status()));
        }
        let bytes = read_body(Limited::new(res.into_body(), update::MAX_MESSAGE_BYTES)).await?;
        StateUpdate::from_bytes(&bytes).map_err(|err| Error::Unreadable(err.to_string()))
    }
}

async fn read_body(mut body: Limited<Incoming>) -> Result<BytesMut, Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) =
        timeout(ANSWER_TIMEOUT, body.frame()).await.map_err(|_| Error::Silent)?
    {
        let frame = frame.map_err(|err| Error::Unreadable(err.to_string()))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes)
}
