//! Stand-in for the platform's append-only log service.

mod serve;
mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

use crate::net::{Listener, Server};
use store::Store;

/// How a log starts.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time for [`Retention::age`].
    pub clock: Arc<dyn Clock>,
    /// What is kept; everything by default.
    pub retention: Retention,
}

impl Default for Options {
    fn default() -> Self {
        Self { clock: Arc::new(SystemClock), retention: Retention::default() }
    }
}

/// How long records are kept. `None` sets no bound.
#[derive(Debug, Clone, Copy, Default)]
pub struct Retention {
    /// At most this many records a stream.
    pub records: Option<usize>,
    /// At most this old.
    pub age: Option<Duration>,
}

/// A running log. Dropping it closes the log.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    listener: Listener,
}

/// What the handle and the connections of a log share.
#[derive(Debug)]
struct Shared {
    server: Arc<Server>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Signals appends and changes of faults to reads that wait.
    changed: watch::Sender<()>,
    /// Reads that were asked for.
    reads: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    retention: Retention,
    down: bool,
    slow: Duration,
    answers_to_lose: u32,
}

/// Starts a log that listens on `addr`. Must be called inside a tokio runtime.
pub fn spawn(addr: SocketAddr, options: Options) -> io::Result<Handle> {
    let shared = Arc::new(Shared {
        server: Server::new(usize::MAX),
        clock: options.clock,
        state: Mutex::new(State { retention: options.retention, ..State::default() }),
        changed: watch::Sender::new(()),
        reads: AtomicU64::new(0),
    });
    let listener = shared.listen(addr)?;
    Ok(Handle { shared, listener })
}

impl Handle {
    /// The first address.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// The listener of the first address.
    pub fn listener(&self) -> &Listener {
        &self.listener
    }

    /// Serves the same log on one more address.
    pub fn listen(&self, addr: SocketAddr) -> io::Result<Listener> {
        self.shared.listen(addr)
    }

    /// Whether the service answers every request with `503`. Reads that wait are ended by it.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
        self.shared.changed.send_replace(());
    }

    /// How long every request waits before the service looks at it; zero for not at all.
    pub fn set_slow(&self, by: Duration) {
        self.shared.lock().slow = by;
    }

    /// Writes the next `n` appends, but drops the connection instead of answering.
    pub fn lose_next_answers(&self, n: u32) {
        self.shared.lock().answers_to_lose = n;
    }

    /// Changes what is kept; records that are no longer kept are gone at once.
    pub fn set_retention(&self, retention: Retention) {
        self.shared.lock().retention = retention;
    }

    /// Appends without a connection; faults do not apply.
    pub fn append(&self, stream: &str, record: Bytes) -> Offset {
        self.shared.append(stream, record)
    }

    /// The records of a stream that are still kept; faults do not apply.
    pub fn records(&self, stream: &str) -> Vec<(Offset, Bytes)> {
        self.shared.kept().store.records(stream)
    }

    /// Reads that wait for a record now.
    pub fn waiting_reads(&self) -> usize {
        self.shared.changed.receiver_count()
    }

    /// Reads that were asked for so far.
    pub fn reads(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }

    /// Stops gracefully.
    pub async fn shutdown(self) {
        self.set_down(true);
        self.shared.server.shutdown().await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.server.abort();
    }
}

impl Shared {
    fn listen(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Listener> {
        let shared = self.clone();
        self.server.listen(addr, move |req| serve::serve(shared.clone(), req))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The state after records that are too old were removed.
    fn kept(&self) -> MutexGuard<'_, State> {
        let now = self.clock.now();
        let mut state = self.lock();
        let retention = state.retention;
        state.store.expire(now, retention);
        state
    }

    fn append(&self, stream: &str, record: Bytes) -> Offset {
        let now = self.clock.now();
        let offset = self.lock().store.append(now, stream, record);
        self.changed.send_replace(());
        offset
    }
}
