//! Client of the platform's list of live and leaving hosts.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};

use jacinthbeam_connection::Line;

use crate::format::hosts::HostList;

/// Longest list that is read, in bytes; some 110 for each host and backend server.
const MAX_LIST: usize = 16 << 20;

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
    /// Tag of the list that was read last.
    known: Mutex<Option<HeaderValue>>,
}

impl Client {
    /// A client of the host list at `addr`; `timeout` bounds each call.
    pub fn open(addr: SocketAddr, timeout: Duration) -> Self {
        Self { line: Line::new(addr, MAX_LIST), timeout, known: Mutex::new(None) }
    }

    /// Connects from this IP number of the host; the system picks one for `None`.
    pub fn bound_to(self, source: Option<IpAddr>) -> Self {
        Self { line: self.line.bound_to(source), ..self }
    }

    /// The list as it stands at the platform, which lags.
    pub async fn list(&self) -> Result<HostList, Error> {
        read(&self.exchange(None).await?)
    }

    /// The list if it is another one than this client has read last, else `None`.
    ///
    /// A list of a large fleet is long and seldom changes. A platform that tags its lists is told the tag and answers `304`; one that
    /// does not sends the whole list every time.
    pub async fn list_if_changed(&self) -> Result<Option<HostList>, Error> {
        let known = self.known().clone();
        let res = self.exchange(known).await?;
        if res.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let list = read(&res)?;
        // Only a list that was read whole may be left out the next time.
        *self.known() = res.headers().get(header::ETAG).cloned();
        Ok(Some(list))
    }

    async fn exchange(&self, known: Option<HeaderValue>) -> Result<Response<Bytes>, Error> {
        let mut req = Request::get("/hosts").body(Bytes::new()).expect("the path is valid");
        if let Some(tag) = known {
            req.headers_mut().insert(header::IF_NONE_MATCH, tag);
        }
        let res = self.line.exchange(req, self.timeout).await;
        res.map_err(|err| Error::Down(err.to_string()))
    }

    fn known(&self) -> MutexGuard<'_, Option<HeaderValue>> {
        self.known.lock().expect("no holder of the lock panics")
    }
}

fn read(res: &Response<Bytes>) -> Result<HostList, Error> {
    match res.status() {
        StatusCode::OK => {
            serde_json::from_slice(res.body()).map_err(|err| Error::Garbled(err.to_string()))
        }
        status => Err(Error::Status(status)),
    }
}
