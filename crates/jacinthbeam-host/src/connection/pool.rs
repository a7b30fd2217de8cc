//! Connection pool of one backend server.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Request, Response};
use http_body_util::{Full, combinators::MapErr};
use hyper::{body::Incoming, client::conn::TrySendError};
use jacinthbeam_connection::{BoxError, Connection, Dialer, Options};

use super::carried::{AttemptDigest, CarriedAttempts};

/// Body of a request. It is buffered completely, so that it can be sent again.
pub type Body = MapErr<Full<bytes::Bytes>, fn(std::convert::Infallible) -> BoxError>;

/// Creates a body from bytes.
pub fn body(bytes: bytes::Bytes) -> Body {
    let to_boxed: fn(std::convert::Infallible) -> BoxError = |never| match never {};
    http_body_util::BodyExt::map_err(Full::new(bytes), to_boxed)
}

/// Timeout of a connection attempt.
///
/// A new connection takes a few milliseconds. One that is not established within this time is on a broken network path, or
/// at a server whose accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest idle time of a connection, also if the server announces a longer one or none.
///
/// A request that is sent while the server closes the connection may have run as far as this host can tell, so a request that is
/// not idempotent can't be retried.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Margin below the server's announced idle timeout, for the time that its close takes to arrive.
const CLOSE_MARGIN: Duration = Duration::from_millis(1000);

/// Connections of this host to one server.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    dialer: Dialer,
    idle: RefCell<VecDeque<Idle>>,
    open: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct Idle {
    conn: PooledConnection,
    until: Instant,
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub inner: Connection<Body>,
    /// Whether it has been idle before.
    pub reused: bool,
    /// When its idle time ends if no request is sent over it; `None` if it is new.
    idle_until: Option<Instant>,
    carried: CarriedAttempts,
    _open: OpenGuard,
}

impl PooledConnection {
    /// Sends the request of an attempt that this connection has not carried yet. Returns the response once its head has arrived.
    pub async fn send(
        &mut self,
        attempt: AttemptDigest,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        let is_first = self.carried.insert(attempt);
        debug_assert!(is_first, "a connection carries each attempt at most once");
        self.inner.send(req).await
    }

    /// Whether the connection may have carried an attempt.
    pub fn has_carried(&self, attempt: AttemptDigest) -> bool {
        self.carried.contains(attempt)
    }
}

#[derive(Debug)]
struct OpenGuard(Rc<Cell<u32>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why no connection is available.
#[derive(Debug)]
pub enum Error {
    /// This host has reached its maximum number of connections to the server.
    Full,
    /// The server refused the connection or can't be reached.
    Connect(io::Error),
    /// The attempt timed out.
    Silent,
}

impl Error {
    /// Whether nothing listens at the server's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(err) if err.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl Pool {
    /// Creates an empty pool whose connections are opened by `dialer`.
    pub fn new(addr: SocketAddr, dialer: Dialer) -> Self {
        Self { addr, dialer, idle: RefCell::default(), open: Rc::default() }
    }

    /// Number of open connections, including idle ones.
    pub fn open_count(&self) -> u32 {
        self.open.get()
    }

    /// Returns the idle connection that was used last among those that have not carried the attempt, or a new one if fewer than `max`
    /// are open.
    pub async fn acquire(
        &self,
        now: Instant,
        max: u32,
        attempt: AttemptDigest,
    ) -> Result<PooledConnection, Error> {
        while let Some(Idle { mut conn, until }) = self.pop_for(attempt) {
            if now < until && conn.inner.is_quiet() {
                conn.idle_until = Some(until);
                return Ok(conn);
            }
        }
        self.connect(max).await
    }

    /// Opens a new connection if fewer than `max` are open. An idle one is closed to make room.
    pub async fn connect(&self, max: u32) -> Result<PooledConnection, Error> {
        if self.open.get() >= max {
            drop(self.pop());
            if self.open.get() >= max {
                return Err(Error::Full);
            }
        }
        self.open.set(self.open.get() + 1);
        let open = OpenGuard(self.open.clone());
        let connecting =
            jacinthbeam_connection::open(&self.dialer, Options::default(), self.addr, ());
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => {
                let carried = CarriedAttempts::default();
                let (inner, reused, idle_until) = (connection, false, None);
                Ok(PooledConnection { inner, reused, idle_until, carried, _open: open })
            }
            Ok(Err(err)) => Err(Error::Connect(err)),
            Err(_) => Err(Error::Silent),
        }
    }

    fn pop(&self) -> Option<Idle> {
        self.idle.borrow_mut().pop_back()
    }

    /// Removes the idle connection that was used last among those that have not carried the attempt.
    fn pop_for(&self, attempt: AttemptDigest) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.iter().rposition(|idle| !idle.conn.has_carried(attempt))?;
        idle.remove(at)
    }

    /// Returns a connection to the pool after a complete response, or closes it if it may carry no further attempt. `keep_alive` is the
    /// server's announced idle timeout.
    pub fn release(&self, conn: PooledConnection, now: Instant, keep_alive: Option<Duration>) {
        if conn.carried.is_full() {
            return;
        }
        let bound = keep_alive.map_or(MAX_IDLE, |bound| bound.saturating_sub(CLOSE_MARGIN));
        self.push(conn, now + bound.min(MAX_IDLE));
    }

    /// Returns a connection to the pool over which nothing was sent since it was acquired or opened. Its idle time continues.
    pub fn return_unused(&self, conn: PooledConnection, now: Instant) {
        let until = conn.idle_until.unwrap_or(now + MAX_IDLE);
        self.push(conn, until);
    }

    fn push(&self, mut conn: PooledConnection, until: Instant) {
        conn.reused = true;
        self.idle.borrow_mut().push_back(Idle { conn, until });
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| now < idle.until);
    }

    /// Closes all idle connections, after one connection broke and the others may be broken as well.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
