//! Peers that could not be reached of late, so that not each request waits for the same failing connection.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// How long a peer that could not be reached is left alone. Then one request tries it, while the
/// others still pass it over.
pub const LEFT_ALONE_FOR: Duration = Duration::from_secs(1);
/// Most peers kept. One is needed for each host of the failure domains that are cut off.
const MAX_PEERS: usize = 4096;

/// Peers that could not be reached, each with the time at which it may be tried next.
#[derive(Debug, Default)]
pub struct Unreachable(Mutex<BTreeMap<SocketAddr, Instant>>);

impl Unreachable {
    /// Whether a request may try this peer. A yes counts as the one try of a peer that is known as unreachable.
    pub fn may_try(&self, now: Instant, peer: SocketAddr) -> bool {
        match self.lock().get_mut(&peer) {
            None => true,
            Some(next) if now < *next => false,
            Some(next) => {
                *next = now + LEFT_ALONE_FOR;
                true
            }
        }
    }

    /// No connection to the peer could be opened.
    pub fn failed(&self, now: Instant, peer: SocketAddr) {
        let mut peers = self.lock();
        if peers.len() >= MAX_PEERS {
            peers.clear();
        }
        peers.insert(peer, now + LEFT_ALONE_FOR);
    }

    /// There is a connection to the peer.
    pub fn reached(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Instant>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
