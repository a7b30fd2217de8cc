//! When a refused caller should come back.

use std::time::Duration;

/// Part of the remaining time that callers are willing to wait before they come back; a longer hint would be ignored.
const HEEDED: f64 = 1.0 / 3.0;

/// Shortest hint. Sooner, the caller would meet the same full server.
const SHORTEST: Duration = Duration::from_millis(100);

/// Hints are spread over this much of the time from the expected one upward, so that callers refused together come back apart.
const SPREAD: f64 = 0.6;

/// Time after which there should be room, given when that is expected and how much time the caller has left.
///
/// `random` is a number from 0 to 1.
pub fn retry_after(room_in: Duration, left: Duration, random: f64) -> Duration {
    let spread = room_in.max(SHORTEST).mul_f64(1.0 + SPREAD * random);
    spread.min(left.mul_f64(HEEDED))
}
