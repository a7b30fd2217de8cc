//! A clock that keeps running while the host is suspended.

use std::time::{Duration, Instant, SystemTime};

use jacinthbeam_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Time since boot, including suspension.
///
/// The standard monotonic clock stops while a host is suspended. With it, a process that resumes would consider its grantor lease
/// still valid, and renew grants of ranges that a successor has since granted to another server.
#[derive(Debug, Clone, Copy)]
pub struct SuspendClock {
    base: Instant,
    base_reading: Duration,
}

impl SuspendClock {
    /// A clock whose instants are comparable only with each other.
    pub fn new() -> Self {
        Self { base: Instant::now(), base_reading: reading() }
    }
}

impl Default for SuspendClock {
    fn default() -> Self {
        Self::new()
    }
}

fn reading() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Clock for SuspendClock {
    fn now(&self) -> Instant {
        self.base + reading().saturating_sub(self.base_reading)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
