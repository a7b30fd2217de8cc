//! Which servers a host may use while its control thread is stalled.

use std::time::{Duration, Instant};

use jacinthbeam_host::version::Freshness;

/// Time in which a draining server may still get requests, minus the transit time of a request.
const DRAIN_WITHIN: Duration = Duration::from_millis(1700);

/// Data whose servers and last update have these ages in milliseconds.
fn freshness(now: Instant, servers: u64, updated: u64) -> Freshness {
    let ago = |ms| now.checked_sub(Duration::from_millis(ms));
    Freshness { config: None, servers: ago(servers), updated: ago(updated) }
}

/// Guards against a request to a server that had exited, sent 2.7 s after the store had accepted that it was draining.
///
/// The control thread of one host was stalled for two seconds with that change in its queue, while the traffic thread used the old
/// list of servers. Once a server may have been draining for too long, the traffic thread refuses requests.
#[test]
fn a_host_with_a_stalled_control_thread_sends_nothing() {
    let now = Instant::now() + Duration::from_secs(10);
    assert!(freshness(now, 1800, 1100).is_stalled(now, DRAIN_WITHIN));
    assert!(
        !freshness(now, 1600, 1100).is_stalled(now, DRAIN_WITHIN),
        "no server can have been draining for too long"
    );
}

/// Guards against an outage of all hosts while the store is unreachable. The control thread isn't stalled then, and the host serves
/// with the data that it has.
#[test]
fn a_host_whose_store_is_unreachable_keeps_serving() {
    let now = Instant::now() + Duration::from_secs(30);
    assert!(!freshness(now, 10_000, 100).is_stalled(now, DRAIN_WITHIN));
}

/// Guards against a wrong reason of refusals: a process that has just started refuses since it has no data yet.
#[test]
fn a_host_without_data_is_not_stalled() {
    assert!(!Freshness::default().is_stalled(Instant::now(), DRAIN_WITHIN));
}
