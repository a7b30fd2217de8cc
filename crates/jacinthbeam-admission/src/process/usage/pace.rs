//! When to append a snapshot of the totals.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use super::Fold;

/// Tells a host when the newest snapshot is old enough for another one.
///
/// Every host runs one with a delay of its own, so that most often one appends and the others see
/// it in time. If two do, no harm is done.
#[derive(Debug, Clone)]
pub struct Pace {
    after: Duration,
    seen: Option<Offset>,
    since: Instant,
}

impl Pace {
    /// Wants a snapshot at least every `every`, which must be well below the log's retention; `rng`
    /// spreads the hosts over the half before it.
    pub fn new(now: Instant, every: Duration, rng: &mut fastrand::Rng) -> Self {
        Self { after: every.mul_f64(0.5 + rng.f64() / 2.0), seen: None, since: now }
    }

    /// Whether to append [`Fold::snapshot`] now. After an append that may have failed it says so
    /// again after another wait.
    pub fn is_due(&mut self, now: Instant, fold: &Fold) -> bool {
        if fold.last_snapshot() != self.seen {
            self.seen = fold.last_snapshot();
            self.since = now;
            return false;
        }
        let due = fold.is_complete() && now.saturating_duration_since(self.since) >= self.after;
        if due {
            self.since = now;
        }
        due
    }
}
