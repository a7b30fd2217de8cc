//! A bound on this host's calls a second.

use std::time::{Duration, Instant};

/// Calls a second of one host. With 100 hosts all together stay below 2,000, which is what the store takes; a host needs
/// three to five a second.
const RATE: f64 = 20.0;

/// Calls that may come at once: the reads at the start of a process, several times over.
const BURST: f64 = 40.0;

#[derive(Debug)]
pub(crate) struct Pace {
    left: f64,
    at: Option<Instant>,
}

impl Pace {
    pub(crate) fn new() -> Self {
        Self { left: BURST, at: None }
    }

    /// Takes one call; returns how long to wait before it is sent.
    pub(crate) fn take(&mut self, now: Instant) -> Duration {
        let since = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        self.left = (self.left + since.as_secs_f64() * RATE).min(BURST) - 1.0;
        if self.left >= 0.0 { Duration::ZERO } else { Duration::from_secs_f64(-self.left / RATE) }
    }
}
