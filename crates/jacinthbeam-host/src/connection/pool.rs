//! Connections to one backend server.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::{Full, combinators::MapErr};
use jacinthbeam_connection::{BoxError, Connection};

/// Body of a request: it is whole before it is sent, so it can be sent again.
pub type Body = MapErr<Full<bytes::Bytes>, fn(std::convert::Infallible) -> BoxError>;

/// The body of these bytes.
pub fn body(bytes: bytes::Bytes) -> Body {
    let to_boxed: fn(std::convert::Infallible) -> BoxError = |never| match never {};
    http_body_util::BodyExt::map_err(Full::new(bytes), to_boxed)
}

/// Longest attempt to connect. A new connection takes some milliseconds; one that doesn't come within a quarter of a second
/// is on a path that is cut, or at a server whose queue of connections is full.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);

/// Age at which an idle connection is no longer used, if the server says nothing of its own bound. A request that meets the
/// server's closing may have run as far as this host can tell, and an order is then lost.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Kept below the server's own bound by this much, for the time that its closing is on the way.
const BEFORE_CLOSE: Duration = Duration::from_millis(1000);

/// The connections of this host to one server.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    idle: RefCell<VecDeque<Idle>>,
    open: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct Idle {
    conn: PooledConnection,
    until: Instant,
}

/// A connection in use. Dropping it closes it.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub inner: Connection<Body>,
    /// Whether it has carried a request before.
    pub reused: bool,
    _counted: Counted,
}

#[derive(Debug)]
struct Counted(Rc<Cell<u32>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why there is no connection.
#[derive(Debug)]
pub enum Error {
    /// This host has as many connections as it may.
    Full,
    /// The server refused it or can't be reached.
    Connect(io::Error),
    /// The attempt took too long.
    Silent,
}

impl Error {
    /// Whether nothing listens at the server's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(err) if err.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: RefCell::default(), open: Rc::default() }
    }

    /// Connections that are open, idle ones included.
    pub fn open_count(&self) -> u32 {
        self.open.get()
    }

    /// A connection that is ready for a request: the one used last, or a new one if there are fewer than `most`.
    pub async fn acquire(&self, now: Instant, most: u32) -> Result<PooledConnection, Error> {
        while let Some(idle) = self.pop() {
            if now < idle.until && idle.conn.inner.is_quiet() {
                return Ok(idle.conn);
            }
        }
        self.connect(most).await
    }

    /// A new connection.
    pub async fn connect(&self, most: u32) -> Result<PooledConnection, Error> {
        if self.open.get() >= most {
            // An idle one makes room.
            drop(self.pop());
            if self.open.get() >= most {
                return Err(Error::Full);
            }
        }
        self.open.set(self.open.get() + 1);
        let counted = Counted(self.open.clone());
        let opened = jacinthbeam_connection::open(Default::default(), self.addr, ());
        match tokio::time::timeout(CONNECT_WITHIN, opened).await {
            Ok(Ok(connection)) => {
                Ok(PooledConnection { inner: connection, reused: false, _counted: counted })
            }
            Ok(Err(err)) => Err(Error::Connect(err)),
            Err(_) => Err(Error::Silent),
        }
    }

    fn pop(&self) -> Option<Idle> {
        self.idle.borrow_mut().pop_back()
    }

    /// Takes a connection back whose last answer was whole. `keep_alive` is the server's own bound of idleness.
    pub fn release(&self, mut conn: PooledConnection, now: Instant, keep_alive: Option<Duration>) {
        conn.reused = true;
        let bound = keep_alive.map_or(MAX_IDLE, |bound| bound.saturating_sub(BEFORE_CLOSE));
        let until = now + bound.min(MAX_IDLE);
        self.idle.borrow_mut().push_back(Idle { conn, until });
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| now < idle.until);
    }

    /// Closes every idle connection: one of them fell silent, and the others may have too.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
