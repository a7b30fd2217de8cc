//! A persistent connection for small requests, one after the other. It is reopened after an error.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited, combinators::MapErr};
use tokio::{sync::Mutex, time::Instant};

use crate::{
    connection::{self, BoxError, Connection},
    dialer::Dialer,
};

type LineBody = MapErr<Full<Bytes>, fn(std::convert::Infallible) -> BoxError>;

/// Why a request got no complete response.
#[derive(Debug)]
pub enum Error {
    /// The request was not sent.
    NotSent(String),
    /// The request may have reached the server, but no complete response arrived.
    Lost(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "the request was not sent: {why}"),
            Self::Lost(why) => {
                write!(f, "the request was sent, but no complete response arrived: {why}")
            }
        }
    }
}

/// Timeout of an attempt to connect. If the first packet is lost, the operating system sends the next one
/// after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A persistent connection to one address. An exchange, which is a request and its response, waits for the
/// earlier ones.
#[derive(Debug)]
pub struct Line {
    addr: SocketAddr,
    max_response_bytes: usize,
    options: connection::Options,
    dialer: Dialer,
    kept: Mutex<Option<Connection<LineBody>>>,
}

impl Line {
    /// Creates a line without connecting. The body of a response may have up to `max_response_bytes` bytes.
    pub fn new(addr: SocketAddr, max_response_bytes: usize) -> Self {
        Self {
            addr,
            max_response_bytes,
            options: connection::Options::default(),
            dialer: Dialer::default(),
            kept: Mutex::new(None),
        }
    }

    /// Connects from this local IP address, or from one chosen by the operating system if `None`.
    pub fn bound_to(mut self, source: Option<IpAddr>) -> Self {
        self.options.source = source;
        self
    }

    /// Connects with this dialer.
    pub fn dialed_by(mut self, dialer: Dialer) -> Self {
        self.dialer = dialer;
        self
    }

    /// Resets the connection when an exchange is abandoned. Data that was written but has not arrived is then
    /// discarded, instead of arriving after the network has recovered.
    pub fn resetting(mut self) -> Self {
        self.options.reset = true;
        self
    }

    /// Sends a request and reads the complete response. `timeout` includes the wait for earlier exchanges.
    pub async fn exchange(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + timeout;
        let Ok(mut kept) = tokio::time::timeout_at(deadline, self.kept.lock()).await else {
            return Err(Error::NotSent("an earlier exchange took all the time".into()));
        };
        // Taken out during the exchange, so that the connection is dropped together with this future.
        let reused = kept.take().filter(Connection::is_quiet);
        let (res, conn) = self.exchange_on(reused, req, deadline).await?;
        *kept = conn;
        Ok(res)
    }

    /// Like [`Line::exchange`], but over a new connection, without waiting for earlier exchanges. The new
    /// connection replaces the old one unless another exchange is in progress.
    pub async fn exchange_anew(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + timeout;
        let (res, conn) = self.exchange_on(None, req, deadline).await?;
        if let Ok(mut kept) = self.kept.try_lock() {
            *kept = conn;
        }
        Ok(res)
    }

    /// Connects unless the connection is open. Returns whether a new connection was made.
    pub async fn connect_if_closed(&self, timeout: Duration) -> Result<bool, Error> {
        let deadline = Instant::now() + timeout;
        let Ok(mut kept) = tokio::time::timeout_at(deadline, self.kept.lock()).await else {
            return Err(Error::NotSent("an earlier exchange took all the time".into()));
        };
        if kept.as_ref().is_some_and(Connection::is_quiet) {
            return Ok(false);
        }
        *kept = None;
        *kept = Some(self.connect(deadline).await?);
        Ok(true)
    }

    /// Like [`Line::exchange`], but only over the connection that is open, and without waiting. Sends nothing
    /// if the connection has been closed or another exchange is in progress.
    pub async fn exchange_kept(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + timeout;
        let closed = || Error::NotSent("the connection was closed".into());
        let busy = |_| Error::NotSent("another exchange is in progress".into());
        let mut kept = self.kept.try_lock().map_err(busy)?;
        let conn = kept.take().filter(Connection::is_quiet).ok_or_else(closed)?;
        match self.exchange_once(conn, self.prepare(req), deadline).await? {
            Attempt::Completed(res, conn) => {
                *kept = conn;
                Ok(res)
            }
            Attempt::NotSent(_) => Err(closed()),
        }
    }

    async fn exchange_on(
        &self,
        reused: Option<Connection<LineBody>>,
        req: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(Response<Bytes>, Option<Connection<LineBody>>), Error> {
        let mut req = self.prepare(req);
        if let Some(conn) = reused {
            match self.exchange_once(conn, req, deadline).await? {
                Attempt::Completed(res, conn) => return Ok((res, conn)),
                Attempt::NotSent(unsent) => req = unsent,
            }
        }
        let conn = self.connect(deadline).await?;
        match self.exchange_once(conn, req, deadline).await? {
            Attempt::Completed(res, conn) => Ok((res, conn)),
            Attempt::NotSent(_) => Err(Error::NotSent("the new connection was closed".into())),
        }
    }

    fn prepare(&self, req: Request<Bytes>) -> Request<LineBody> {
        let to_boxed: fn(std::convert::Infallible) -> BoxError = |never| match never {};
        let mut req = req.map(|body| Full::new(body).map_err(to_boxed));
        let host =
            HeaderValue::from_str(&self.addr.to_string()).expect("an address is visible ASCII");
        req.headers_mut().insert(header::HOST, host);
        req
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection<LineBody>, Error> {
        let by = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connecting = connection::open(&self.dialer, self.options, self.addr, ());
        match tokio::time::timeout_at(by, connecting).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(err)) => Err(Error::NotSent(format!("no connection to {}: {err}", self.addr))),
            Err(_) => Err(Error::NotSent(format!("no connection to {} in time", self.addr))),
        }
    }

    async fn exchange_once(
        &self,
        mut conn: Connection<LineBody>,
        req: Request<LineBody>,
        deadline: Instant,
    ) -> Result<Attempt, Error> {
        let late = |_| Error::Lost(format!("no response from {} in time", self.addr));
        let sent = tokio::time::timeout_at(deadline, conn.send(req));
        let res = match sent.await.map_err(late)? {
            Ok(res) => res,
            Err(mut err) => {
                return match err.take_message() {
                    Some(req) => Ok(Attempt::NotSent(req)),
                    None => Err(Error::Lost(err.into_error().to_string())),
                };
            }
        };
        let (head, body) = res.into_parts();
        let complete = Limited::new(body, self.max_response_bytes).collect();
        let body = tokio::time::timeout_at(deadline, complete)
            .await
            .map_err(late)?
            .map_err(|err| Error::Lost(format!("incomplete response: {err}")))?
            .to_bytes();
        // After a response that came before the request was read completely, the state of the connection is
        // unknown.
        let ready = tokio::time::timeout_at(deadline, conn.sender.ready()).await;
        let conn = matches!(ready, Ok(Ok(()))).then_some(conn);
        Ok(Attempt::Completed(Response::from_parts(head, body), conn))
    }
}

/// Result of sending a request over one connection.
enum Attempt {
    /// The response, and the connection if it can be reused.
    Completed(Response<Bytes>, Option<Connection<LineBody>>),
    /// The connection was closed before the request was sent.
    NotSent(Request<LineBody>),
}
