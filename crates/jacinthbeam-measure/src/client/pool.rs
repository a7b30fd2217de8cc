//! Idle connections to several hosts.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use super::Connection;

/// Idle connections by host.
#[derive(Debug, Default)]
pub struct Pool(Mutex<BTreeMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    /// An idle connection, or a new one.
    pub async fn take(&self, addr: SocketAddr) -> io::Result<Connection> {
        let idle = self.lock().get_mut(&addr).and_then(Vec::pop);
        match idle.filter(Connection::is_open) {
            Some(connection) => Ok(connection),
            None => Connection::open(addr).await,
        }
    }

    /// Keeps a connection whose last answer was read whole.
    pub fn put(&self, addr: SocketAddr, connection: Connection) {
        if connection.is_open() {
            self.lock().entry(addr).or_default().push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
