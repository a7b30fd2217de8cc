//! When a refused caller should come back.

use std::time::Duration;

/// Part of the remaining time that callers are willing to wait before they come back; a longer hint would be ignored.
const MAX_DEADLINE_SHARE: f64 = 1.0 / 3.0;

/// Shortest hint. Sooner, the caller would meet the same full server.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Part of its objective after which a caller is asked back whose server is full.
///
/// In a quarter of it a slot or two become free, since objectives are some three times the work; and what is left is still enough to be
/// answered in time. With 250 ms for all, each such request with an objective of 400 ms was late: on a day on which all servers of a
/// service refuse half of what they get for eight seconds, 2 % more of what is owed is earned (eight plays).
const OVERLOAD_DELAY_SHARE: f64 = 0.25;

/// When there should be room for a request with this objective that was refused for want of it.
pub fn overload_retry_delay(objective: Duration) -> Duration {
    objective.mul_f64(OVERLOAD_DELAY_SHARE)
}

/// Hints are spread over this much of the time from the expected one upward, so that callers refused together come back apart.
const JITTER: f64 = 0.6;

/// Time after which there should be room, given when that is expected and how much time the caller has left.
///
/// `random` is a number from 0 to 1.
pub fn retry_after(delay: Duration, left: Duration, random: f64) -> Duration {
    let jittered = delay.max(MIN_DELAY).mul_f64(1.0 + JITTER * random);
    jittered.min(left.mul_f64(MAX_DEADLINE_SHARE))
}
