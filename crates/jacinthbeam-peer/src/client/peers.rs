//! The current connection of each peer, and how it is replaced.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{runtime, sync::watch};

use crate::client::{
    Options, PeerDump,
    connect::{self, Opened},
    connection::{self, Connection, Started, Use},
};

/// Pause between two attempts to connect to a peer that does not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(100);

/// All connections of a client.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) options: Options,
    runtime: runtime::Handle,
    state: Arc<Mutex<State>>,
    /// Dropped with the client, which tells the connections to end.
    alive: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Newest attempt or connection of each peer.
    current: BTreeMap<SocketAddr, Current>,
    /// Every connection that is not yet closed, also those that only let their streams end.
    open: BTreeMap<u64, (SocketAddr, Arc<Connection>)>,
}

#[derive(Debug, Clone)]
struct Current {
    number: u64,
    progress: watch::Receiver<Progress>,
    /// Whether a request wanted it since the last attempt.
    wanted: Arc<AtomicBool>,
}

#[derive(Debug, Clone)]
enum Progress {
    Connecting,
    Ready(Arc<Connection>),
    Failed(connect::Error),
    /// The peer does not answer; it is tried again in the background.
    ///
    /// Requests fail at once meanwhile. Did each of them wait for an attempt of its own, all requests for a failure
    /// domain that is cut off would be refused near their deadlines, and hold their places here until then.
    Silent(connect::Error),
}

impl Progress {
    fn result(&self) -> Option<Result<Arc<Connection>, connect::Error>> {
        match self {
            Self::Connecting => None,
            Self::Ready(connection) => Some(Ok(connection.clone())),
            Self::Failed(err) | Self::Silent(err) => Some(Err(err.clone())),
        }
    }

    fn takes_requests(&self) -> bool {
        match self {
            Self::Connecting | Self::Silent(_) => true,
            Self::Ready(connection) => !connection.status.is_retired(),
            Self::Failed(_) => false,
        }
    }
}

impl Peers {
    pub(crate) fn new(options: Options, runtime: runtime::Handle) -> Arc<Self> {
        let (alive, _) = watch::channel(());
        Arc::new(Self { options, runtime, state: Arc::default(), alive })
    }

    /// The peer's connection; opened if there is none, or if the last one takes no more requests.
    ///
    /// Requests that come while it is being opened share the one attempt, which goes on even if all of them
    /// give up. A peer that is slow to answer therefore meets one attempt at a time, however many requests wait.
    async fn connection(&self, addr: SocketAddr) -> Result<Arc<Connection>, connect::Error> {
        let mut progress = self.current(addr);
        let done = progress.wait_for(|progress| progress.result().is_some()).await;
        let result = done.ok().and_then(|progress| progress.result());
        result.unwrap_or(Err(connect::Error::Stopped))
    }

    /// Starts to open the peer's connection if there is none.
    pub(crate) fn prepare(&self, addr: SocketAddr) {
        drop(self.current(addr));
    }

    /// Opens a stream on the peer's connection.
    ///
    /// That a connection has ended may show only when it is used; the second attempt then meets a new one.
    pub(crate) async fn start(
        &self,
        addr: SocketAddr,
        what: Use,
    ) -> Result<(Arc<Connection>, Started), start::Error> {
        for _ in 0..2 {
            let connection = self.connection(addr).await.map_err(start::Error::Connect)?;
            if let Ok(started) = connection.start(what).await {
                return Ok((connection, started));
            }
        }
        Err(start::Error::Ended)
    }

    fn current(&self, addr: SocketAddr) -> watch::Receiver<Progress> {
        let mut state = lock(&self.state);
        if let Some(current) = state.current.get(&addr)
            && current.progress.borrow().takes_requests()
        {
            current.wanted.store(true, Ordering::Relaxed);
            return current.progress.clone();
        }
        let (tx, progress) = watch::channel(Progress::Connecting);
        let number = state.next;
        state.next += 1;
        let wanted = Arc::new(AtomicBool::new(false));
        let current = Current { number, progress: progress.clone(), wanted: wanted.clone() };
        state.current.insert(addr, current);
        let task =
            Task { addr, number, wanted, state: self.state.clone(), options: self.options.clone() };
        self.runtime.spawn(task.run(tx, self.alive.subscribe()));
        progress
    }

    pub(crate) fn dump(&self) -> Vec<PeerDump> {
        let state = lock(&self.state);
        let open = state.open.iter().map(|(number, (addr, connection))| PeerDump {
            addr: *addr,
            current: state.current.get(addr).is_some_and(|current| current.number == *number)
                && !connection.status.is_retired(),
            streams: connection.status.streams(),
            bytes_read: connection.status.traffic.bytes_read(),
            bytes_written: connection.status.traffic.bytes_written(),
        });
        open.collect()
    }
}

/// See [`Peers::start`].
pub(crate) mod start {
    use crate::client::connect;

    /// No stream could be opened; nothing was sent.
    #[derive(Debug)]
    pub(crate) enum Error {
        /// There is no connection.
        Connect(connect::Error),
        /// Two connections in a row ended before the stream was opened.
        Ended,
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

/// Opens one connection and drives it to its end.
struct Task {
    addr: SocketAddr,
    number: u64,
    wanted: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
    options: Options,
}

impl Task {
    async fn run(self, tx: watch::Sender<Progress>, client: watch::Receiver<()>) {
        let Some(opened) = self.open(&tx, &client).await else { return };
        let connection = Arc::new(Connection::new(&opened, &self.options.limits));
        lock(&self.state).open.insert(self.number, (self.addr, connection.clone()));
        tx.send_replace(Progress::Ready(connection));
        let end = connection::drive(opened, &self.options.limits, client).await;
        log::debug!("peer: connection to {} ended: {end}", self.addr);
    }

    /// Connects; tries again and again while the peer is silent and requests for it come.
    async fn open(
        &self,
        tx: &watch::Sender<Progress>,
        client: &watch::Receiver<()>,
    ) -> Option<Opened> {
        loop {
            let err = match connect::open(self.addr, &self.options).await {
                Ok(opened) => return Some(opened),
                Err(err) => err,
            };
            log::debug!("peer: no connection to {}: {err}", self.addr);
            if !matches!(err, connect::Error::Timeout(_)) {
                tx.send_replace(Progress::Failed(err));
                return None;
            }
            tx.send_replace(Progress::Silent(err));
            tokio::time::sleep(SILENT_PAUSE).await;
            let client_gone = client.has_changed().is_err();
            if client_gone || !self.wanted.swap(false, Ordering::Relaxed) {
                return None;
            }
        }
    }
}

/// Forgets the connection, so that hosts which come and go leave nothing behind.
impl Drop for Task {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.open.remove(&self.number);
        let current = state.current.get(&self.addr);
        if current.is_some_and(|current| current.number == self.number) {
            state.current.remove(&self.addr);
        }
    }
}
