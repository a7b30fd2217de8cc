//! Clocks, passed in as a dependency so that tests can reproduce every decision.

use std::{
    fmt,
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// Source of time for a process.
pub trait Clock: fmt::Debug + Send + Sync + 'static {
    /// Monotonic time. All leases, timeouts and deadlines are measured with it.
    fn now(&self) -> Instant;

    /// Wall clock time, for logs and usage records. It may jump, so no lease, timeout or deadline
    /// depends on it. Probe slots and the age of stored crash evidence use wall clock time too,
    /// passed in as a [`SystemTime`].
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

/// A clock for tests, which advances only by [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// A clock at its start time.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances the clock.
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
