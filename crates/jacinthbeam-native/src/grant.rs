//! Grants to one backend server, over a connection of their own so that no request delays them.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use jacinthbeam_connection::line::{self, Line};
use jacinthbeam_types::prelude::ServerId;

use crate::format::backend::{Grant, GrantState};

const PATH: &str = "/grant";
const MAX_STATE: usize = 1 << 20;

/// Why there is no word of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Nothing was written to the backend server.
    NotSent(String),
    /// The query or grant may have arrived; no whole answer came in time.
    Lost(String),
    /// It answered a status that the format does not know.
    Status(StatusCode),
    /// It answered something else than the state of a grant.
    Garbled(String),
    /// Another backend server answers at this address.
    OtherServer(ServerId),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "the backend server was not reached: {why}"),
            Self::Lost(why) => write!(f, "the backend server gave no whole answer: {why}"),
            Self::Status(status) => write!(f, "the backend server answered {status}"),
            Self::Garbled(why) => write!(f, "the backend server answered no grant state: {why}"),
            Self::OtherServer(id) => write!(f, "backend server {id} answers in its place"),
        }
    }
}

impl std::error::Error for Error {}

impl From<line::Error> for Error {
    fn from(err: line::Error) -> Self {
        match err {
            line::Error::NotSent(why) => Self::NotSent(why),
            line::Error::Lost(why) => Self::Lost(why),
        }
    }
}

/// What became of a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force; the state is the one after it.
    Granted(GrantState),
    /// The backend server refused it; the state is the present one.
    Refused(GrantState),
}

/// One kept connection to one backend server.
#[derive(Debug)]
pub struct Client {
    server: ServerId,
    line: Line,
    timeout: Duration,
}

impl Client {
    /// A client of the backend server `server`, expected at `addr`; `timeout` bounds each call.
    pub fn open(addr: SocketAddr, server: ServerId, timeout: Duration) -> Self {
        Self { server, line: Line::new(addr, MAX_STATE), timeout }
    }

    /// Connects from this IP number of the host; the system picks one for `None`.
    pub fn bound_to(self, source: Option<IpAddr>) -> Self {
        Self { line: self.line.bound_to(source), ..self }
    }

    /// The state of its grant.
    pub async fn query(&self) -> Result<GrantState, Error> {
        let res = self.line.exchange(query(), self.timeout).await?;
        self.queried(&res)
    }

    /// As [`Client::query`], over a new connection.
    ///
    /// The kept connection may have gone silent while new ones work. Its timeout would make a live
    /// server look lost, and an eviction would follow; a new connection tells the two apart.
    pub async fn probe(&self) -> Result<GrantState, Error> {
        let res = self.line.exchange_anew(query(), self.timeout).await?;
        self.queried(&res)
    }

    /// Presents a grant.
    pub async fn grant(&self, grant: &Grant) -> Result<Outcome, Error> {
        let body = serde_json::to_vec(grant).map_err(|err| Error::NotSent(err.to_string()))?;
        let req = Request::post(PATH)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .expect("the path is valid");
        let res = self.line.exchange(req, self.timeout).await?;
        match res.status() {
            StatusCode::OK => self.state(&res).map(Outcome::Granted),
            StatusCode::CONFLICT => self.state(&res).map(Outcome::Refused),
            status => Err(Error::Status(status)),
        }
    }

    fn queried(&self, res: &Response<Bytes>) -> Result<GrantState, Error> {
        match res.status() {
            StatusCode::OK => self.state(res),
            status => Err(Error::Status(status)),
        }
    }

    fn state(&self, res: &Response<Bytes>) -> Result<GrantState, Error> {
        let state: GrantState =
            serde_json::from_slice(res.body()).map_err(|err| Error::Garbled(err.to_string()))?;
        // Addresses are reused when hosts are replaced. A renewal credited to the wrong server would hide the
        // loss of the right one.
        if state.server != self.server {
            return Err(Error::OtherServer(state.server));
        }
        Ok(state)
    }
}

fn query() -> Request<Bytes> {
    Request::get(PATH).body(Bytes::new()).expect("the path is valid")
}
