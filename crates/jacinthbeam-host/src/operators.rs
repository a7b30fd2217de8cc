//! Client of the operators' port of a running host, for commands.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthbeam_crash::Fingerprint;
use tokio::{net::TcpStream, time::timeout};

use crate::process::status::Status;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Path prefix for releasing a request from quarantine; followed by the fingerprint of the request.
pub const LET_THROUGH: &str = "/let-through/";

/// Why a call to a host failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The host can't be reached, or the connection broke.
    Unreachable(String),
    /// The host returned no complete response within `TIMEOUT`.
    Silent,
    /// The response was not of the expected kind.
    Unexpected(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "can't be reached: {why}"),
            Self::Silent => write!(f, "returned no complete response within {TIMEOUT:?}"),
            Self::Unexpected(what) => {
                write!(f, "unexpected response: {what}; is this its operators' address?")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Fetches the text of a page of a host.
pub async fn get(addr: SocketAddr, path: &str) -> Result<String, Error> {
    timeout(TIMEOUT, fetch(addr, Method::GET, path)).await.unwrap_or(Err(Error::Silent))
}

/// Releases a request from quarantine after server crashes, through one host, which informs the others. Returns the text of the
/// response.
pub async fn let_through(addr: SocketAddr, request: Fingerprint) -> Result<String, Error> {
    let path = format!("{LET_THROUGH}{request}");
    timeout(TIMEOUT, fetch(addr, Method::POST, &path)).await.unwrap_or(Err(Error::Silent))
}

/// Fetches the status summary of a host.
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
    let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect().await;
    driver.abort();
    let body = body.map_err(|err| unreachable(&err))?.to_bytes();
    if status != StatusCode::OK {
        return Err(Error::Unexpected(status.to_string()));
    }
    String::from_utf8(body.into()).map_err(|_| Error::Unexpected("no text".into()))
}
