//! Asks an entry host's operators' port.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthbeam::types::prelude::*;
use serde::Deserialize;
use tokio::{net::TcpStream, time::timeout};

/// Time within which a host must answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

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

/// What the commands use of a host's dump. The rest of it is for people.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Dump {
    /// Who it is.
    pub host: Host,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Configuration in force.
    pub config_version: Option<ConfigVersion>,
    /// First record of the control stream that it has not read.
    pub log_next: Offset,
    /// Milliseconds since the last read that reached the end of the stream.
    pub log_read_age_ms: Option<u64>,
    /// Other entry hosts of the cell.
    pub members: Vec<Member>,
    /// Backend servers of the cell.
    pub backend_servers: BTreeMap<ServerId, BackendServer>,
}

/// Who a host is.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: HostId,
    /// Its cell.
    pub cell: CellId,
}

/// Another entry host, as heard by the one that was asked.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Member {
    /// Its name.
    pub host: HostId,
    /// Milliseconds since its last heartbeat.
    pub age_ms: Option<u64>,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Configuration in force there.
    pub config_version: Option<ConfigVersion>,
    /// First record that it has not read.
    pub log_next: Option<Offset>,
}

/// A backend server as the host sees it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct BackendServer {
    /// What the host does about it.
    pub attendant: String,
    /// Present if the host attends it.
    pub admission: Option<Admission>,
}

/// The host's right to send requests to a backend server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Admission {
    /// Requests that run there.
    pub in_use: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Token of the lease.
    pub token: Option<Token>,
    /// Milliseconds until the lease ends.
    pub permit_left_ms: Option<u64>,
}

impl Dump {
    /// Leases that run at present, by backend server.
    pub fn leases(&self) -> impl Iterator<Item = (&ServerId, &Admission)> {
        let attended = self.backend_servers.iter();
        let attended = attended.filter_map(|(id, server)| Some((id, server.admission.as_ref()?)));
        attended.filter(|(_, admission)| admission.permit_left_ms > Some(0))
    }
}

/// The host's whole dump as JSON text.
pub async fn dump_text(addr: SocketAddr) -> Result<String, Error> {
    timeout(TIMEOUT, get(addr, "/dump")).await.unwrap_or(Err(Error::Silent))
}

/// What the commands use of the host's dump.
pub async fn dump(addr: SocketAddr) -> Result<Dump, Error> {
    let text = dump_text(addr).await?;
    serde_json::from_str(&text).map_err(|err| Error::Unexpected(format!("no dump ({err})")))
}

async fn get(addr: SocketAddr, path: &str) -> Result<String, Error> {
    let unreachable = |err: &dyn fmt::Display| Error::Unreachable(err.to_string());
    let stream = TcpStream::connect(addr).await.map_err(|err| unreachable(&err))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|err| unreachable(&err))?;
    let driver = tokio::spawn(connection);
    let req = Request::get(path)
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
