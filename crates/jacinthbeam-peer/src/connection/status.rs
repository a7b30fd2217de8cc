//! How many streams a connection has, and whether it takes new ones.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::{sync::Notify, time::Instant};

use crate::connection::io::Traffic;

/// Shared by the task that drives a connection and the streams on it.
#[derive(Debug)]
pub(crate) struct Status {
    pub(crate) traffic: Arc<Traffic>,
    /// Asks the driving task for a PING.
    pub(crate) probe: Notify,
    /// Tells that a PING was answered.
    pub(crate) answered: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    streams: usize,
    retired: bool,
    idle_since: Instant,
}

impl Status {
    pub(crate) fn new(traffic: Arc<Traffic>) -> Arc<Self> {
        let state = State { streams: 0, retired: false, idle_since: Instant::now() };
        Arc::new(Self {
            traffic,
            probe: Notify::new(),
            answered: Notify::new(),
            state: Mutex::new(state),
        })
    }

    /// Counts a new stream; `None` if the connection takes none any more.
    ///
    /// One lock guards the count and the end of the connection. Were they apart, a request could start on a
    /// connection that was found idle a moment before, and would be lost with it.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Stream> {
        let mut state = self.state();
        if state.retired {
            return None;
        }
        state.streams += 1;
        Some(Stream { status: self.clone() })
    }

    /// New streams go elsewhere from now on; those in progress go on.
    pub(crate) fn retire(&self) {
        self.state().retired = true;
    }

    /// Retires the connection if it has been without streams since before `since`.
    pub(crate) fn retire_if_idle(&self, since: Instant) -> bool {
        let mut state = self.state();
        let idle = state.streams == 0 && state.idle_since <= since;
        state.retired |= idle;
        idle
    }

    pub(crate) fn is_retired(&self) -> bool {
        self.state().retired
    }

    pub(crate) fn streams(&self) -> usize {
        self.state().streams
    }

    /// Since when the connection has had no stream.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        (state.streams == 0).then_some(state.idle_since)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// One open stream; counted until dropped.
#[derive(Debug)]
pub(crate) struct Stream {
    status: Arc<Status>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut state = self.status.state();
        state.streams -= 1;
        if state.streams == 0 {
            state.idle_since = Instant::now();
        }
    }
}
