//! Exponential backoff with jitter.

use std::time::Duration;

/// Pauses between failed attempts. They double up to a maximum, and each is drawn from its upper half, so
/// that hosts whose attempts failed together don't retry together.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// The pause starts at `first` and grows up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, next: first }
    }

    /// Returns the pause before the next attempt, and doubles the following one.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause.mul_f64(0.5 + 0.5 * fastrand::f64())
    }

    /// Starts again with the first pause. To be called after a successful attempt.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
