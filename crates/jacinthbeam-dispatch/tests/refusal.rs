//! Retry hints of refused callers.

use std::time::Duration;

use jacinthbeam_dispatch::refusal::{overload_retry_delay, retry_after};

/// Guards against retry hints that make the retry late: all servers of a service refuse half of their requests for eight
/// seconds, and a lookup with an objective of 400 ms and 120 ms of work is refused within about 20 ms. With a hint of 250 to
/// 400 ms, the retry would miss its objective even if it were served immediately.
#[test]
fn a_refused_caller_can_still_be_served_in_time() {
    for (objective, work) in [(400, 120), (500, 160), (800, 300), (1200, 480)] {
        let (objective, work) = (Duration::from_millis(objective), Duration::from_millis(work));
        // Two round trips and the refusal itself.
        let round_trips = Duration::from_millis(4 * 8 + 20);
        let latest = retry_after(overload_retry_delay(objective), objective * 4, 1.0);
        assert!(round_trips + latest + work < objective, "{objective:?}: {latest:?}");
        assert!(latest >= Duration::from_millis(100), "the retry would find the same server full");
    }
}
