//! One kept connection that carries one small exchange after the other, reopened after an error.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited, combinators::MapErr};
use tokio::{sync::Mutex, time::Instant};

use crate::connection::{self, BoxError, Connection};

type LineBody = MapErr<Full<Bytes>, fn(std::convert::Infallible) -> BoxError>;

/// Why an exchange got no whole answer.
#[derive(Debug)]
pub enum Error {
    /// Nothing of the request was written.
    NotSent(String),
    /// The request may have arrived; no whole answer came.
    Lost(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "the request was not sent: {why}"),
            Self::Lost(why) => write!(f, "the request was sent but got no whole answer: {why}"),
        }
    }
}

/// Longest attempt to connect. A path that loses the first packet sends the next one after a second.
const CONNECT_WITHIN: Duration = Duration::from_millis(1000);

/// A kept connection to one address. Exchanges wait for each other.
#[derive(Debug)]
pub struct Line {
    addr: SocketAddr,
    max_answer: usize,
    how: connection::Options,
    kept: Mutex<Option<Connection<LineBody>>>,
}

impl Line {
    /// A line that is not connected yet. An answer's body may have up to `max_answer` bytes.
    pub fn new(addr: SocketAddr, max_answer: usize) -> Self {
        Self { addr, max_answer, how: connection::Options::default(), kept: Mutex::new(None) }
    }

    /// Connects from this IP number of the host; the system picks one for `None`.
    pub fn bound_to(mut self, source: Option<IpAddr>) -> Self {
        self.how.source = source;
        self
    }

    /// Resets the connection when an exchange is given up. What was written and has not arrived is then lost for certain,
    /// in place of arriving when a broken path heals.
    pub fn resetting(mut self) -> Self {
        self.how.reset = true;
        self
    }

    /// Sends a request and reads its whole answer; `timeout` covers the wait for the line too.
    pub async fn exchange(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + timeout;
        let Ok(mut kept) = tokio::time::timeout_at(deadline, self.kept.lock()).await else {
            return Err(Error::NotSent("an earlier exchange took all the time".into()));
        };
        // Taken out for the exchange: if this future is dropped, so is the connection.
        let reused = kept.take().filter(Connection::is_quiet);
        let (res, conn) = self.exchange_on(reused, req, deadline).await?;
        *kept = conn;
        Ok(res)
    }

    /// As [`Line::exchange`], over a new connection, which is kept in place of the old one.
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

    /// Connects if the line isn't connected. Returns whether it had to.
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

    /// As [`Line::exchange`], but at once and over the connection that is open: nothing is sent if it was closed meanwhile, or if another
    /// exchange is under way.
    pub async fn exchange_kept(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + timeout;
        let closed = || Error::NotSent("the connection was closed".into());
        let busy = |_| Error::NotSent("another exchange is under way".into());
        let mut kept = self.kept.try_lock().map_err(busy)?;
        let conn = kept.take().filter(Connection::is_quiet).ok_or_else(closed)?;
        match self.exchange_once(conn, self.prepare(req), deadline).await? {
            Once::Answered(res, conn) => {
                *kept = conn;
                Ok(res)
            }
            Once::GivenBack(_) => Err(closed()),
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
                Once::Answered(res, conn) => return Ok((res, conn)),
                Once::GivenBack(given_back) => req = given_back,
            }
        }
        let conn = self.connect(deadline).await?;
        match self.exchange_once(conn, req, deadline).await? {
            Once::Answered(res, conn) => Ok((res, conn)),
            Once::GivenBack(_) => Err(Error::NotSent("the new connection was closed".into())),
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
        let by = deadline.min(Instant::now() + CONNECT_WITHIN);
        match tokio::time::timeout_at(by, connection::open(self.how, self.addr, ())).await {
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
    ) -> Result<Once, Error> {
        let late = |_| Error::Lost(format!("no answer from {} in time", self.addr));
        let sent = tokio::time::timeout_at(deadline, conn.sender.try_send_request(req));
        let res = match sent.await.map_err(late)? {
            Ok(res) => res,
            Err(mut err) => {
                return match err.take_message() {
                    Some(req) => Ok(Once::GivenBack(req)),
                    None => Err(Error::Lost(err.into_error().to_string())),
                };
            }
        };
        let (head, body) = res.into_parts();
        let whole = Limited::new(body, self.max_answer).collect();
        let body = tokio::time::timeout_at(deadline, whole)
            .await
            .map_err(late)?
            .map_err(|err| Error::Lost(format!("answer cut short: {err}")))?
            .to_bytes();
        // An answer that came before the whole request was read leaves the connection in an unknown state.
        let ready = tokio::time::timeout_at(deadline, conn.sender.ready()).await;
        let conn = matches!(ready, Ok(Ok(()))).then_some(conn);
        Ok(Once::Answered(Response::from_parts(head, body), conn))
    }
}

enum Once {
    Answered(Response<Bytes>, Option<Connection<LineBody>>),
    GivenBack(Request<LineBody>),
}
