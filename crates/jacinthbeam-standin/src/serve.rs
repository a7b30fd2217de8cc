//! The store over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use jacinthbeam_native::{STORE_LAYOUT, store as wire};
use jacinthbeam_store::{Call, Reply};
use tokio::task::JoinHandle;

use crate::{http1::Server, store::Store};

/// Entries of backend servers are dropped after this long without a word of theirs: three heartbeats.
pub const ENTRY_LASTS: Duration = Duration::from_millis(1500);

/// Pause between two looks for a record that a read waits for.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// A running store.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    state: Arc<Mutex<State>>,
    expiry: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    store: Store,
    /// When each backend server last wrote its entry.
    seen: BTreeMap<String, Instant>,
    calls: u64,
}

/// Starts an empty store whose topics have this many partitions.
pub async fn spawn(addr: SocketAddr, partitions: u32) -> io::Result<Handle> {
    let store = Store::new(partitions);
    let state = Arc::new(Mutex::new(State { store, seen: BTreeMap::new(), calls: 0 }));
    let shared = state.clone();
    let server = Server::bind(addr, move |req| answer(req, shared.clone())).await?;
    let expiry = tokio::spawn(expire(state.clone()));
    Ok(Handle { server, state, expiry })
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Makes it refuse every call, or serve again.
    pub fn turn_away(&self, turns_away: bool) {
        lock(&self.state).store.turn_away(turns_away);
    }

    /// Bounds the records of one answer to a read.
    pub fn bound_reads(&self, most: usize) {
        lock(&self.state).store.bound_reads(most);
    }

    /// Makes it answer nothing, or go on.
    pub fn freeze(&self, frozen: bool) {
        self.server.frozen.send_replace(frozen);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

async fn answer(req: Request<Bytes>, state: Arc<Mutex<State>>) -> Option<Response<Full<Bytes>>> {
    let Ok(call) = wire::call(req.body()) else {
        return Some(response(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let wait = match &call {
        Call::Read { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let end = Instant::now() + wait;
    lock(&state).calls += 1;
    loop {
        let reply = lock(&state).call(&call);
        let empty = matches!(&reply, Ok(Reply::Records { records, .. }) if records.is_empty());
        if empty && Instant::now() < end {
            tokio::time::sleep(LOOK_EVERY).await;
            continue;
        }
        let (status, body) = wire::reply(&reply);
        return Some(response(status, body));
    }
}

impl State {
    fn call(&mut self, call: &Call) -> Result<Reply, jacinthbeam_store::Error> {
        let now = Instant::now();
        if let Call::Put { to, key, .. } = call
            && *to == (STORE_LAYOUT.servers)()
        {
            self.seen.insert(key.clone(), now);
        }
        self.store.call(now, call)
    }
}

async fn expire(state: Arc<Mutex<State>>) {
    loop {
        tokio::time::sleep(ENTRY_LASTS / 5).await;
        let mut state = lock(&state);
        let old = |at: &Instant| at.elapsed() >= ENTRY_LASTS;
        let gone: Vec<String> =
            state.seen.iter().filter(|(_, at)| old(at)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            state.seen.remove(&id);
            state.store.put(&(STORE_LAYOUT.servers)(), &id, Bytes::new());
        }
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res
}
