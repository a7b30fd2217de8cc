//! Rate limit on this host's calls to the store.

use std::time::{Duration, Instant};

/// Calls a second that one host may make. 100 hosts together then stay within the 2,000 a second that the
/// store accepts; a host needs three to five.
const RATE: f64 = 20.0;

/// Calls that may be made without delay after an idle time: several times the reads at the start of a
/// process.
const BURST: f64 = 40.0;

/// A token bucket. Callers wait for the tokens that they have taken in advance.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    /// Negative if calls are waiting.
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl RateLimiter {
    pub(crate) fn new() -> Self {
        Self { tokens: BURST, refilled_at: None }
    }

    /// Takes the token of one call and returns how long to wait before sending the call.
    pub(crate) fn take(&mut self, now: Instant) -> Duration {
        let elapsed =
            self.refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * RATE).min(BURST) - 1.0;
        if self.tokens >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.tokens / RATE)
        }
    }
}
