//! How long a request will wait and run, from those before it.

use std::time::Duration;

/// Weight of a new sample in the mean is 1 in this many, as for round-trip times in TCP.
const MEAN_OF: u32 = 8;
/// The same for the deviation.
const DEVIATION_OF: u32 = 4;
/// Deviations added to the mean for the ticket's own run, so that nearly all that is sent ends in
/// time: with exponential service times two of them leave the slowest hundredth beyond the
/// deadline, three do not (`examples/load.rs`).
const DEVIATIONS: u32 = 3;

/// Smoothed service time and its mean deviation. Knows nothing until the first answer, and then
/// refuses nothing early.
#[derive(Debug, Clone, Default)]
pub(super) struct Estimate {
    smoothed: Option<Smoothed>,
}

#[derive(Debug, Clone, Copy)]
struct Smoothed {
    mean: Duration,
    deviation: Duration,
}

impl Estimate {
    /// Takes the time that one request ran.
    pub(super) fn took(&mut self, took: Duration) {
        let next = match self.smoothed {
            None => Smoothed { mean: took, deviation: took / 2 },
            Some(old) => Smoothed {
                mean: blend(old.mean, took, MEAN_OF),
                deviation: blend(old.deviation, old.mean.abs_diff(took), DEVIATION_OF),
            },
        };
        self.smoothed = Some(next);
    }

    /// Wait until the ticket at `position` (1 is first) gets one of `places` places that are all taken now.
    pub(super) fn wait(&self, position: usize, places: u32) -> Duration {
        let Some(smoothed) = self.smoothed else { return Duration::ZERO };
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        smoothed.mean.saturating_mul(position) / places.max(1)
    }

    /// Time that a request takes once started, with an allowance for its spread.
    pub(super) fn own(&self) -> Duration {
        let Some(smoothed) = self.smoothed else { return Duration::ZERO };
        smoothed.mean + smoothed.deviation * DEVIATIONS
    }
}

fn blend(old: Duration, sample: Duration, of: u32) -> Duration {
    (old * (of - 1) + sample) / of
}
