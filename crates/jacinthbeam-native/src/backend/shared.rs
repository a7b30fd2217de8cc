//! The connections to one backend server: which are idle, how many are open.

use std::{
    mem,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use serde::Serialize;
use tokio::sync::Notify;

use super::RequestBody;
use jacinthbeam_connection::Connection;

/// How long a connection whose answer was read may take until it is ready for the next request.
const READY_WITHIN: Duration = Duration::from_millis(100);

/// Counts of one pool, for the dump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Most connections the pool may have open.
    pub limit: u32,
    /// Sockets open or being opened.
    pub open: u32,
    /// Those among them that wait for a request.
    pub idle: u32,
    /// Those among them that carry a request, or are being opened or closed.
    pub in_use: u32,
    /// Connections closed because one went silent, since the pool was opened.
    pub suspected: u64,
}

/// State that outlives a request: shared by the pool, its connections and the bodies of its answers.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) server: ServerId,
    pub(super) addr: SocketAddr,
    pub(super) clock: Arc<dyn Clock>,
    /// Told each time that a connection turns idle or a place becomes free.
    pub(super) freed: Notify,
    limit: u32,
    max_idle: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: u32,
    /// The one used last is at the end, and is used first: the others age and are closed.
    idle: Vec<Idle>,
    next_id: u64,
    /// Counts the silences. A connection from before the last one isn't used again.
    generation: u64,
    suspected: u64,
    closed: bool,
}

#[derive(Debug)]
struct Idle {
    held: Held,
    since: Instant,
}

/// A connection in the hands of one request.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) connection: Connection<RequestBody>,
    pub(super) id: u64,
    pub(super) generation: u64,
}

/// A connection's place among the N allowed. It lasts as long as the socket, which may be longer than the request:
/// the backend server counts sockets, and would refuse the one too many.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) id: u64,
    pub(super) generation: u64,
    shared: Arc<Shared>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let gone = self.shared.state().release(self.id);
        drop(gone);
        self.shared.freed.notify_one();
    }
}

/// What a request gets to run on.
pub(super) enum Checkout {
    Idle(Held),
    Place(Place),
    Full,
    Closed,
}

impl Shared {
    pub(super) fn new(
        server: ServerId,
        addr: SocketAddr,
        limit: u32,
        max_idle: Duration,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let (freed, state) = (Notify::new(), Mutex::default());
        Self { server, addr, clock, freed, limit, max_idle, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// An idle connection if there is one, else a place to open one.
    pub(super) fn checkout(self: &Arc<Self>) -> Checkout {
        self.expire();
        let mut state = self.state();
        if state.closed {
            return Checkout::Closed;
        }
        if let Some(idle) = state.idle.pop() {
            return Checkout::Idle(idle.held);
        }
        if state.open >= self.limit {
            return Checkout::Full;
        }
        state.open += 1;
        state.next_id += 1;
        let (id, generation) = (state.next_id, state.generation);
        Checkout::Place(Place { id, generation, shared: self.clone() })
    }

    /// Takes a connection back after a whole answer.
    pub(super) fn give_back(self: &Arc<Self>, mut held: Held) {
        held.connection.closed = None;
        if held.connection.sender.is_ready() {
            self.put(held);
            return;
        }
        // The request's body may still be on its way, or the connection may be about to close itself.
        let shared = self.clone();
        tokio::spawn(async move {
            let ready = tokio::time::timeout(READY_WITHIN, held.connection.sender.ready()).await;
            if let Ok(Ok(())) = ready {
                shared.put(held);
            }
        });
    }

    pub(super) fn put(&self, held: Held) {
        let since = self.clock.now();
        let mut state = self.state();
        // A connection that ended meanwhile must not be put, since its place won't take it out any more.
        let ended = held.connection.sender.is_closed();
        if ended || state.closed || held.generation != state.generation {
            drop(state);
            drop(held);
            return;
        }
        state.idle.push(Idle { held, since });
        drop(state);
        self.freed.notify_one();
    }

    /// Closes a connection that gave no answer in time, and every idle one.
    ///
    /// Something between the two ends may have lost track of all connections opened so far. Each of them would cost
    /// one more request its deadline and leave it as may-have-run; opening new ones costs about a millisecond each.
    pub(super) fn silent(&self, held: Held) {
        let mut state = self.state();
        let idle = mem::take(&mut state.idle);
        state.generation += 1;
        state.suspected += 1 + idle.len() as u64;
        drop(state);
        let closed = idle.len();
        ::log::info!("backend: {} went silent, {closed} idle connections closed", self.server);
        drop(idle);
        drop(held);
    }

    /// Closes connections that were idle for too long.
    pub(super) fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let fresh = |idle: &Idle| now.saturating_duration_since(idle.since) < self.max_idle;
        // Ascending by `since`, so the old ones stand in front.
        let old = state.idle.iter().take_while(|idle| !fresh(idle)).count();
        let expired: Vec<Idle> = state.idle.drain(..old).collect();
        drop(state);
        drop(expired);
    }

    /// Closes idle connections and lets none be opened or kept from now on.
    pub(super) fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        let idle = mem::take(&mut state.idle);
        drop(state);
        drop(idle);
        self.freed.notify_waiters();
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        let state = self.state();
        let idle = state.idle.len() as u32;
        Snapshot {
            limit: self.limit,
            open: state.open,
            idle,
            in_use: state.open.saturating_sub(idle),
            suspected: state.suspected,
        }
    }
}

impl State {
    /// Frees a place. Returns what has to be dropped outside the lock.
    fn release(&mut self, id: u64) -> Option<Idle> {
        self.open -= 1;
        let at = self.idle.iter().position(|idle| idle.held.id == id)?;
        Some(self.idle.remove(at))
    }
}
