//! Stand-in for the platform's lagging list of hosts.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use jacinthbeam_native::format::hosts::HostList;
use jacinthbeam_types::prelude::*;

use crate::net::{Answer, Body, Dropped, Listener, Server, answer, json, read_body};

/// Lists that are remembered for the sake of the lag.
const MAX_HISTORY: usize = 1024;

/// How a host list starts.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time that the lag is counted on.
    pub clock: Arc<dyn Clock>,
    /// The list at the start, which is answered from the first moment.
    pub list: HostList,
    /// How long a change takes to be seen.
    pub lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { clock: Arc::new(SystemClock), list: HostList::default(), lag: Duration::ZERO }
    }
}

/// A running host list. Dropping it closes it.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    listener: Listener,
}

#[derive(Debug)]
struct Shared {
    server: Arc<Server>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lag: Duration,
    down: bool,
    /// Visible when no later list is old enough.
    oldest: HostList,
    later: VecDeque<(Instant, HostList)>,
    /// Lists that were older than the oldest one.
    dropped: u64,
}

/// Starts a host list that listens on `addr`. Must be called inside a tokio runtime.
pub fn spawn(addr: SocketAddr, options: Options) -> io::Result<Handle> {
    let state = State {
        lag: options.lag,
        down: false,
        oldest: options.list,
        later: VecDeque::new(),
        dropped: 0,
    };
    let shared = Arc::new(Shared {
        server: Server::new(usize::MAX),
        clock: options.clock,
        state: Mutex::new(state),
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

    /// Serves the same list on one more address.
    pub fn listen(&self, addr: SocketAddr) -> io::Result<Listener> {
        self.shared.listen(addr)
    }

    /// The newest list, also if the lag still hides it.
    pub fn list(&self) -> HostList {
        self.shared.lock().newest().clone()
    }

    /// Replaces the list. Readers see it after the lag.
    pub fn set_list(&self, list: HostList) {
        self.shared.set(list);
    }

    /// Changes how long a change takes to be seen; holds for earlier changes too.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().lag = lag;
    }

    /// Whether every request is answered with `503`.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }

    /// Stops gracefully.
    pub async fn shutdown(self) {
        self.shared.server.shutdown().await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.server.abort();
    }
}

impl State {
    fn newest(&self) -> &HostList {
        self.later.back().map_or(&self.oldest, |(_, list)| list)
    }

    /// The list that readers see, and its number among all lists.
    fn visible(&self, now: Instant) -> (u64, &HostList) {
        let seen = |set: &Instant| now.saturating_duration_since(*set) >= self.lag;
        let newest = self.later.iter().enumerate().rev().find(|(_, (set, _))| seen(set));
        match newest {
            Some((at, (_, list))) => (self.dropped + 1 + at as u64, list),
            None => (self.dropped, &self.oldest),
        }
    }
}

impl Shared {
    fn listen(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Listener> {
        let shared = self.clone();
        self.server.listen(addr, move |req| serve(shared.clone(), req))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn set(&self, list: HostList) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.later.push_back((now, list));
        if state.later.len() > MAX_HISTORY
            && let Some((_, list)) = state.later.pop_front()
        {
            state.oldest = list;
            state.dropped += 1;
        }
    }
}

/// The list, or that it is the one whose tag the reader names.
fn get(shared: &Shared, req: &Request<Incoming>) -> Response<Body> {
    let state = shared.lock();
    let (number, list) = state.visible(shared.clock.now());
    let tag = HeaderValue::try_from(format!("\"{number}\"")).expect("a number is a value");
    let mut res = match req.headers().get(header::IF_NONE_MATCH) == Some(&tag) {
        true => answer(StatusCode::NOT_MODIFIED, ""),
        false => json(StatusCode::OK, list),
    };
    res.headers_mut().insert(header::ETAG, tag);
    res
}

async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    if shared.lock().down {
        return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, "the host list is down"));
    }
    if req.uri().path() != "/hosts" {
        return Ok(answer(StatusCode::NOT_FOUND, "the host list knows only /hosts"));
    }
    match *req.method() {
        Method::GET => Ok(get(&shared, &req)),
        Method::PUT => {
            let body = read_body(req.into_body()).await.ok_or(Dropped)?;
            Ok(match serde_json::from_slice(&body) {
                Ok(list) => {
                    shared.set(list);
                    answer(StatusCode::NO_CONTENT, "")
                }
                Err(err) => answer(StatusCode::BAD_REQUEST, format!("no list of hosts: {err}")),
            })
        }
        _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "the host list takes GET and PUT")),
    }
}
