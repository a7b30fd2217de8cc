//! A clock that goes on while the host is suspended.

use std::time::{Duration, Instant, SystemTime};

use jacinthbeam_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Time since the host started, suspension included.
///
/// The ordinary steady clock stands still while a host is suspended. A process that woke up would take its right to grant
/// keys for fresh, and renew what a successor has long given to another server.
#[derive(Debug, Clone, Copy)]
pub struct SuspendClock {
    base: Instant,
    base_reading: Duration,
}

impl SuspendClock {
    /// A clock whose instants compare with each other only.
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
