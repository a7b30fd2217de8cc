//! Pauses that a backend server asks one host for when it turns a request away.

use std::time::{Duration, Instant};

/// Longest pause. A longer one counts as this.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// The pause that a server asked this host for.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownPause {
    until: Option<Instant>,
}

impl KnownPause {
    /// Applies a pause that was asked for at `now`. A shorter one that is asked for meanwhile doesn't end it.
    pub fn apply(&mut self, pause: Duration, now: Instant) {
        self.until = self.until.max(Some(now + pause.min(MAX_PAUSE)));
    }

    /// How much longer nothing may be sent; `None` if there is no pause.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
