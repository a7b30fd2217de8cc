//! When refused callers are asked back.

use std::time::Duration;

use jacinthbeam_dispatch::refusal::{overload_retry_delay, retry_after};

/// The pattern: for eight seconds all servers of a service refuse half of what they get, whatever they have to do. Lookups with an objective
/// of 400 ms and 120 ms of work are refused within some 20 ms, and come back once. Asked back after 250 to 400 ms, as all were, each of
/// them is late even if it is served at once. A refused caller must be able to come back, be served, and still be in time.
#[test]
fn a_refused_caller_can_still_be_served_in_time() {
    for (objective, work) in [(400, 120), (500, 160), (800, 300), (1200, 480)] {
        let (objective, work) = (Duration::from_millis(objective), Duration::from_millis(work));
        // The ways there and back, twice, and the refusal itself.
        let ways = Duration::from_millis(4 * 8 + 20);
        let latest = retry_after(overload_retry_delay(objective), objective * 4, 1.0);
        assert!(ways + latest + work < objective, "{objective:?}: {latest:?}");
        assert!(latest >= Duration::from_millis(100), "it would meet the same full server");
    }
}
