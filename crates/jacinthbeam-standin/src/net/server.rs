//! What all listeners of one stand-in share.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::Request;
use hyper::body::Incoming;
use tokio::{runtime, sync::watch};

use super::{Answer, Listener, freeze::Freeze};

/// How long a graceful stop waits for requests in progress.
const GRACE: Duration = Duration::from_secs(5);

/// State of a stand-in's sockets.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) freeze: Freeze,
    pub(super) runtime: runtime::Handle,
    pub(super) stop: watch::Sender<bool>,
    limit: usize,
    open: AtomicUsize,
    excess: AtomicU64,
    listeners: Mutex<Vec<Listener>>,
}

impl Server {
    /// A server without listeners that takes at most `limit` connections at once.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            freeze: Freeze::default(),
            runtime: runtime::Handle::current(),
            stop: watch::Sender::new(false),
            limit,
            open: AtomicUsize::new(0),
            excess: AtomicU64::new(0),
            listeners: Mutex::default(),
        })
    }

    /// Listens on one more address.
    pub(crate) fn listen<F>(
        self: &Arc<Self>,
        addr: SocketAddr,
        serve: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    ) -> io::Result<Listener>
    where
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = Listener::open(addr, self, serve)?;
        self.listeners.lock().expect("no holder of the lock panics").push(listener.clone());
        Ok(listener)
    }

    /// All listeners in the order they were opened.
    pub(crate) fn listeners(&self) -> Vec<Listener> {
        self.listeners.lock().expect("no holder of the lock panics").clone()
    }

    /// Connections that were closed at once because there were too many.
    pub(crate) fn excess(&self) -> u64 {
        self.excess.load(Ordering::SeqCst)
    }

    /// Connections that are open and not silent.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Whether the limit of connections is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open() >= self.limit
    }

    /// Counts a connection in, unless there are too many.
    pub(super) fn enter(&self) -> bool {
        let entered = self.open.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |open| {
            (open < self.limit).then_some(open + 1)
        });
        if entered.is_err() {
            self.excess.fetch_add(1, Ordering::SeqCst);
        }
        entered.is_ok()
    }

    /// Counts a connection out.
    pub(super) fn leave(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Takes no new connection, lets requests in progress end, and closes what is left after a bounded time.
    pub(crate) async fn shutdown(&self) {
        self.freeze.unfreeze();
        for listener in self.listeners() {
            listener.close();
            listener.close_silent();
        }
        self.stop.send_replace(true);
        let _ = tokio::time::timeout(GRACE, self.stop.closed()).await;
        self.abort();
    }

    /// Closes everything now.
    pub(crate) fn abort(&self) {
        let listeners =
            std::mem::take(&mut *self.listeners.lock().expect("no holder of the lock panics"));
        for listener in listeners {
            listener.close();
            listener.close_connections();
        }
    }
}
