//! Time is handed in, so that every decision can be repeated in a test.

use std::{
    fmt,
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// Source of time for a process.
pub trait Clock: fmt::Debug + Send + Sync + 'static {
    /// Monotonic time. All leases, timeouts and deadlines are counted on it.
    fn now(&self) -> Instant;

    /// Time of day, for logs and usage records only. No decision depends on it.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// A clock that stands at its start.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().expect("no holder of the lock panics") += by;
    }

    /// Time since the start of the clock.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("no holder of the lock panics")
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
