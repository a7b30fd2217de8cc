//! The running server as its owner sees it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::{sync::watch, task::JoinHandle};

use crate::connection::Status;

/// How far a server is on its way to the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    Draining,
}

/// A running server. Dropping it stops the server at once; [`Handle::shutdown`] stops it gracefully.
#[derive(Debug)]
pub struct Handle {
    local_addr: SocketAddr,
    phase: watch::Sender<Phase>,
    accepting: JoinHandle<()>,
    census: Arc<Census>,
}

/// How a shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// Streams that were still in progress when the time was up, and were cut.
    pub cut: usize,
}

impl Handle {
    pub(crate) fn new(
        local_addr: SocketAddr,
        phase: watch::Sender<Phase>,
        accepting: JoinHandle<()>,
        census: Arc<Census>,
    ) -> Self {
        Self { local_addr, phase, accepting, census }
    }

    /// Where the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Connections at present.
    pub fn connections(&self) -> usize {
        self.census.connections()
    }

    /// Streams in progress at present.
    pub fn streams(&self) -> usize {
        self.census.streams()
    }

    /// Takes no more connections and streams, lets streams in progress end, and cuts what is left after `within`.
    pub async fn shutdown(mut self, within: Duration) -> Shutdown {
        self.phase.send_replace(Phase::Draining);
        match tokio::time::timeout(within, &mut self.accepting).await {
            Ok(_) => Shutdown { cut: 0 },
            Err(_) => Shutdown { cut: self.census.streams() },
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// All connections of a server.
#[derive(Debug, Default)]
pub(crate) struct Census {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    next: u64,
    connections: BTreeMap<u64, Arc<Status>>,
}

impl Census {
    pub(crate) fn enter(self: &Arc<Self>, status: Arc<Status>) -> Entry {
        let mut entries = self.entries();
        let number = entries.next;
        entries.next += 1;
        entries.connections.insert(number, status);
        Entry { census: self.clone(), number }
    }

    fn connections(&self) -> usize {
        self.entries().connections.len()
    }

    fn streams(&self) -> usize {
        self.entries().connections.values().map(|status| status.streams()).sum()
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().expect("no holder of the lock panics")
    }
}

/// Keeps a connection in the [`Census`] until dropped.
#[derive(Debug)]
pub(crate) struct Entry {
    census: Arc<Census>,
    number: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.census.entries().connections.remove(&self.number);
    }
}
