//! Requests that were in flight at a server when their connection ended, kept until it is known whether the server has ended too.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_crash::Fingerprint;

/// Time after a broken connection within which the end of its server is attributed to the request. Servers usually restart within it.
pub const BROKEN_TTL: Duration = Duration::from_secs(10);

/// The same for a request whose caller disconnected, so that it is unknown whether its connection would have broken.
const DISCONNECTED_TTL: Duration = Duration::from_secs(2);

/// Maximum number of requests kept for one server; the oldest is dropped first. A server has fewer in flight at a time.
const MAX_REQUESTS: usize = 64;

/// Minimum time between an accepted connection and the next check whether the server still accepts connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A request that was in flight when its connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The caller.
    pub caller: IpAddr,
    /// When its connection ended.
    pub at: Instant,
}

/// Requests whose connections to one server ended recently.
#[derive(Debug, Default)]
pub struct Broken {
    /// The requests, each with the time at which it expires.
    requests: RefCell<Vec<(Running, Instant)>>,
    /// When the server last accepted a connection of a check.
    connected: Cell<Option<Instant>>,
    /// Whether the server is being checked again and again.
    rechecked: Cell<bool>,
}

impl Broken {
    /// Records a request whose connection broke without an answer, or amid one.
    pub fn on_broken(&self, running: Running) {
        self.add(running, BROKEN_TTL);
    }

    /// Records a request that was aborted at the server because its caller disconnected.
    pub fn on_caller_disconnect(&self, running: Running) {
        self.add(running, DISCONNECTED_TTL);
    }

    fn add(&self, running: Running, within: Duration) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= MAX_REQUESTS {
            requests.remove(0);
        }
        requests.push((running, running.at + within));
    }

    /// Whether to check again if the server still accepts connections.
    pub fn is_check_due(&self, now: Instant) -> bool {
        self.connected.get().is_none_or(|at| now >= at + CHECK_INTERVAL)
    }

    /// Marks the server as being checked again. Returns `false` if it already is.
    pub fn start_rechecks(&self) -> bool {
        !self.rechecked.replace(true)
    }

    /// Ends that.
    pub fn end_rechecks(&self) {
        self.rechecked.set(false);
    }

    /// Records that the server has just accepted a connection.
    pub fn on_connected(&self, now: Instant) {
        self.connected.set(Some(now));
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// Removes all requests and returns those that haven't expired.
    pub fn take(&self, now: Instant) -> Vec<Running> {
        let requests = std::mem::take(&mut *self.requests.borrow_mut());
        requests.into_iter().filter(|(_, until)| now < *until).map(|(running, _)| running).collect()
    }
}
