//! Asks the operators' port of a running host, for commands and experiments.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthbeam_crash::Fingerprint;
use tokio::{net::TcpStream, time::timeout};

use crate::process::status::Status;

/// Time within which a host must answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Stands before a fingerprint in the path at which a host is told to let a request through.
pub const LET_THROUGH: &str = "/let-through/";

/// Why a host gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// It can't be reached, or the connection broke.
    Unreachable(String),
    /// It gave no whole answer within `TIMEOUT`.
    Silent,
    /// It answered something else than what was asked for.
    Unexpected(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "can't be reached: {why}"),
            Self::Silent => write!(f, "gave no answer within {TIMEOUT:?}"),
            Self::Unexpected(what) => {
                write!(f, "answered {what}; is that its operators' address?")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The text of a page of a host.
pub async fn get(addr: SocketAddr, path: &str) -> Result<String, Error> {
    timeout(TIMEOUT, fetch(addr, Method::GET, path)).await.unwrap_or(Err(Error::Silent))
}

/// Lets a request through again that is refused since servers ended under it: one host is told, and tells the others. Returns what
/// it says.
pub async fn let_through(addr: SocketAddr, request: Fingerprint) -> Result<String, Error> {
    let path = format!("{LET_THROUGH}{request}");
    timeout(TIMEOUT, fetch(addr, Method::POST, &path)).await.unwrap_or(Err(Error::Silent))
}

/// What a host knows, in short.
pub async fn status(addr: SocketAddr) -> Result<Status, Error> {
    let text = get(addr, "/status").await?;
    serde_json::from_str(&text).map_err(|err| Error::Unexpected(format!("no status ({err})")))
}

async fn fetch(addr: SocketAddr, method: Method, path: &str) -> Result<String, Error> {
    let unreachable = |err: &dyn fmt::Display| Error::Unreachable(err.to_string());
    let stream = TcpStream::connect(addr).await.map_err(|err| unreachable(&err))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|err| unreachable(&err))?;
    let driver = tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .expect("the path is valid");
    let res = sender.send_request(req).await.map_err(|err| unreachable(&err))?;
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_ANSWER).collect().await;
    driver.abort();
    let body = body.map_err(|err| unreachable(&err))?.to_bytes();
    if status != StatusCode::OK {
        return Err(Error::Unexpected(status.to_string()));
    }
    String::from_utf8(body.into()).map_err(|_| Error::Unexpected("no text".into()))
}
