//! Requests that were at a server when their connection ended, until it is known whether the server has ended too.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_crash::Fingerprint;

/// A server may be found gone so long after a connection to it broke: as long as one takes to start again at most, as a rule.
const BROKE_WITHIN: Duration = Duration::from_secs(10);

/// The same for a request whose caller left, so that nobody saw whether its connection would have broken.
const LEFT_WITHIN: Duration = Duration::from_secs(2);

/// Requests that are kept for one server, the oldest left out first: more than run there at a time.
const MOST: usize = 64;

/// Pause between two looks whether a server still takes connections that it has just taken.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// One request of one caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// The request.
    pub request: Fingerprint,
    /// Its caller.
    pub caller: IpAddr,
    /// When its connection ended.
    pub at: Instant,
}

/// What has broken at one server lately.
#[derive(Debug, Default)]
pub struct Broken {
    waiting: RefCell<Vec<(Running, Instant)>>,
    looked: Cell<Option<Instant>>,
}

impl Broken {
    /// A connection broke without an answer, or with half of one.
    pub fn on_broken(&self, running: Running) {
        self.add(running, BROKE_WITHIN);
    }

    /// A caller left, and its request was given up at the server.
    pub fn on_caller_disconnect(&self, running: Running) {
        self.add(running, LEFT_WITHIN);
    }

    fn add(&self, running: Running, within: Duration) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MOST {
            waiting.remove(0);
        }
        waiting.push((running, running.at + within));
    }

    /// Whether it is time to look if the server still takes connections.
    pub fn is_check_due(&self, now: Instant) -> bool {
        self.looked.get().is_none_or(|at| now >= at + LOOK_EVERY)
    }

    /// The server has just taken a connection.
    pub fn on_connected(&self, now: Instant) {
        self.looked.set(Some(now));
    }

    /// Everything that was running there lately, of which nothing is kept.
    pub fn take(&self, now: Instant) -> Vec<Running> {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_iter().filter(|(_, until)| now < *until).map(|(running, _)| running).collect()
    }
}
