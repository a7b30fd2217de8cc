//! Client of the platform's list of live and leaving hosts.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};

use crate::{connection::line::Line, format::hosts::HostList};

const MAX_LIST: usize = 4 << 20;

/// Why there is no list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The list can't be reached or gave no whole answer in time.
    Down(String),
    /// It answered another status than 200.
    Status(StatusCode),
    /// It answered something else than a list.
    Garbled(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down(why) => write!(f, "the host list can't be read at present: {why}"),
            Self::Status(status) => write!(f, "the host list answered {status}"),
            Self::Garbled(why) => write!(f, "the host list answered something else: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// One kept connection to the host list.
#[derive(Debug)]
pub struct Client {
    line: Line,
    timeout: Duration,
}

impl Client {
    /// A client of the host list at `addr`; `timeout` bounds each call.
    pub fn open(addr: SocketAddr, timeout: Duration) -> Self {
        Self { line: Line::new(addr, MAX_LIST), timeout }
    }

    /// Connects from this IP number of the host; the system picks one for `None`.
    pub fn bound_to(self, source: Option<IpAddr>) -> Self {
        Self { line: self.line.bound_to(source), ..self }
    }

    /// The list as it stands at the platform, which lags.
    pub async fn list(&self) -> Result<HostList, Error> {
        let req = Request::get("/hosts").body(Bytes::new()).expect("the path is valid");
        let res = self.line.exchange(req, self.timeout).await;
        let res = res.map_err(|err| Error::Down(err.to_string()))?;
        if res.status() != StatusCode::OK {
            return Err(Error::Status(res.status()));
        }
        serde_json::from_slice(res.body()).map_err(|err| Error::Garbled(err.to_string()))
    }
}
