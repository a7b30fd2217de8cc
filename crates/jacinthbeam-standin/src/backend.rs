//! A backend server over HTTP/1.1: slots, a short queue, grants, and a note of everything it ran.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use jacinthbeam_native::{
    STORE_LAYOUT,
    grant::{GRANT, Grant, Handover, RELEASE, Release},
    request::{KEY, RAN, REQUEST, SERVER, key_of, server_id},
    server::Entry,
};
use jacinthbeam_range::{Key, KeyRange};
use jacinthbeam_store::{Call, Client, Wire};
use jacinthbeam_types::prelude::*;
use tokio::{sync::Semaphore, task::JoinHandle};

use crate::{http1::Server as Listening, keyed::Server as Grants};

/// Pause between two words of a server in the store.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Pause between two looks whether requests have ended.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Requests that wait besides those in slots, for each slot.
const QUEUE: u32 = 4;

/// How a server is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this life.
    pub id: ServerId,
    /// What it does.
    pub service: ServiceName,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Whether it runs requests only for keys that it was granted.
    pub keyed: bool,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Time that one request takes.
    pub work: Duration,
}

/// One request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// Name of the attempt.
    pub request: HeaderValue,
    /// The server.
    pub server: ServerId,
    /// The key, if the service has any.
    pub key: Option<Key>,
    /// When it began.
    pub begun: Instant,
    /// When it ended.
    pub ended: Instant,
}

/// A running server. Dropping it ends it without a word, as a crash would.
#[derive(Debug)]
pub struct Handle {
    /// How it was started.
    pub options: Options,
    listening: Listening,
    state: Arc<State>,
    heartbeat: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    options: Options,
    grants: Mutex<Grants>,
    slots: Semaphore,
    present: AtomicU32,
    draining: AtomicBool,
    runs: Mutex<Vec<Run>>,
    /// Keys of the requests in slots.
    at_work: Mutex<Vec<Key>>,
}

/// Starts a server that says in the store where it is.
pub async fn spawn(addr: SocketAddr, store: SocketAddr, options: Options) -> io::Result<Handle> {
    let state = Arc::new(State {
        grants: Mutex::new(Grants::new(options.id.clone())),
        slots: Semaphore::new(options.slots as usize),
        present: AtomicU32::new(0),
        draining: AtomicBool::new(false),
        runs: Mutex::default(),
        at_work: Mutex::default(),
        options: options.clone(),
    });
    let shared = state.clone();
    let answer = move |req| {
        let state = shared.clone();
        async move { Some(state.answer(req).await) }
    };
    let listening = Listening::bind(addr, answer).await?;
    let heartbeat = tokio::spawn(register(state.clone(), listening.addr, store));
    Ok(Handle { options, listening, state, heartbeat })
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.listening.addr
    }

    /// Says in the store that it is leaving, with the next heartbeat.
    pub fn leave(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
    }

    /// Makes it answer nothing, or go on.
    pub fn freeze(&self, frozen: bool) {
        self.listening.frozen.send_replace(frozen);
    }

    /// The ranges that it holds now.
    pub fn holds(&self) -> Vec<(KeyRange, Token)> {
        lock(&self.state.grants).holds(Instant::now()).collect()
    }

    /// Takes what it ran since the last call.
    pub fn take_runs(&self) -> Vec<Run> {
        std::mem::take(&mut lock(&self.state.runs))
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.heartbeat.abort();
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("no holder of the lock panics")
}

async fn register(state: Arc<State>, addr: SocketAddr, store: SocketAddr) {
    let wire = Wire {
        encode: jacinthbeam_native::store::encode,
        era: jacinthbeam_native::store::era,
        decode: jacinthbeam_native::store::decode,
    };
    let lane = Client::open(store, wire, Arc::new(SystemClock)).lane();
    let options = &state.options;
    loop {
        let entry = Entry {
            service: options.service.clone(),
            addr,
            domain: options.domain.clone(),
            slots: options.slots,
            draining: state.draining.load(Ordering::SeqCst),
            warmup_left_ms: 0,
            born: None,
        };
        let key = options.id.to_string();
        let call =
            Call::Put { to: (STORE_LAYOUT.servers)(), key, value: entry.to_bytes(), only_at: None };
        // A store that is away is part of many tests; the next heartbeat says the same again.
        let _ = lane.call(&call).await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Counts a request for as long as it is there.
struct Present<'a>(&'a AtomicU32);

impl Drop for Present<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Names the key of a request for as long as it is at work.
struct AtWork<'a>(&'a Mutex<Vec<Key>>, Key);

impl<'a> AtWork<'a> {
    fn new(all: &'a Mutex<Vec<Key>>, key: Key) -> Self {
        lock(all).push(key);
        Self(all, key)
    }
}

impl Drop for AtWork<'_> {
    fn drop(&mut self) {
        let mut all = lock(self.0);
        if let Some(at) = all.iter().position(|key| *key == self.1) {
            all.swap_remove(at);
        }
    }
}

impl State {
    async fn answer(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        let id = req.headers().get(REQUEST).cloned();
        let meant = req.headers().get(SERVER);
        let mut res = if meant.is_some_and(|life| *life != server_id(&self.options.id)) {
            refused(StatusCode::MISDIRECTED_REQUEST)
        } else {
            match req.uri().path() {
                GRANT => self.grant(req.body()),
                RELEASE => self.release(req.body()).await,
                _ => self.work(&req).await,
            }
        };
        res.headers_mut().insert(SERVER, server_id(&self.options.id));
        if let Some(id) = id {
            res.headers_mut().insert(REQUEST, id);
        }
        res
    }

    fn grant(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(grant) = serde_json::from_slice::<Grant>(body) else {
            return plain(StatusCode::BAD_REQUEST, "no grant\n");
        };
        let hold = Duration::from_millis(grant.hold_ms);
        let held = lock(&self.grants).grant(Instant::now(), grant.range, grant.token, hold);
        match held {
            Ok(()) => plain(StatusCode::OK, ""),
            Err(_) => plain(StatusCode::CONFLICT, "a higher token was seen\n"),
        }
    }

    /// Answers when no request of the keys is at work any more.
    async fn release(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(release) = serde_json::from_slice::<Release>(body) else {
            return plain(StatusCode::BAD_REQUEST, "no release\n");
        };
        let handover = lock(&self.grants).release(Instant::now(), release.range, release.token);
        let at_work = || lock(&self.at_work).iter().any(|key| release.range.contains(*key));
        while at_work() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let body = serde_json::to_vec(&Handover { handover }).expect("text can be written");
        plain(StatusCode::OK, body)
    }

    async fn work(&self, req: &Request<Bytes>) -> Response<Full<Bytes>> {
        let key = self.options.keyed.then(|| key(req.headers())).flatten();
        if self.options.keyed && !key.is_some_and(|key| self.holds(key)) {
            return refused(StatusCode::MISDIRECTED_REQUEST);
        }
        let most = self.options.slots * (1 + QUEUE);
        let present = Present(&self.present);
        if present.0.fetch_add(1, Ordering::SeqCst) >= most {
            return refused(StatusCode::SERVICE_UNAVAILABLE);
        }
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        if self.options.keyed && !key.is_some_and(|key| self.holds(key)) {
            return refused(StatusCode::MISDIRECTED_REQUEST);
        }
        let _at_work = key.map(|key| AtWork::new(&self.at_work, key));
        let begun = Instant::now();
        let request = req.headers().get(REQUEST).cloned();
        let request = request.unwrap_or_else(|| HeaderValue::from_static("none"));
        let run = |ended| Run {
            request: request.clone(),
            server: self.options.id.clone(),
            key,
            begun,
            ended,
        };
        let at = {
            let mut runs = lock(&self.runs);
            runs.push(run(begun + self.options.work));
            runs.len()
        };
        tokio::time::sleep(self.options.work).await;
        let text = format!("run {at} of {} for {}\n", self.options.id, req.uri());
        let mut res = plain(StatusCode::OK, text);
        res.headers_mut().insert(RAN, HeaderValue::from_static("true"));
        res
    }

    fn holds(&self, key: Key) -> bool {
        lock(&self.grants).has(Instant::now(), key)
    }
}

fn key(headers: &HeaderMap) -> Option<Key> {
    headers.get(KEY).map(|text| key_of(text.as_bytes()))
}

fn refused(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = plain(status, "not run\n");
    res.headers_mut().insert(RAN, HeaderValue::from_static("false"));
    res
}

fn plain(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res
}
