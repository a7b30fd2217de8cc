//! Pauses between attempts that fail.

use std::time::Duration;

/// Pauses that double up to a bound, each drawn from its upper half so that hosts that failed together don't try again together.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    /// Pauses from `first` up to `most`.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self { first, most, next: first }
    }

    /// The pause before the next attempt.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.most);
        pause.mul_f64(0.5 + 0.5 * fastrand::f64())
    }

    /// An attempt has succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
