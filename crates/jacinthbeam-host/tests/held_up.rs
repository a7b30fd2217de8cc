//! Which servers a host may use whose control thread has no time.

use std::time::{Duration, Instant};

use jacinthbeam_host::version::Freshness;

/// Time in which a leaving server may still get requests, less what a request takes on its way.
const DRAIN_WITHIN: Duration = Duration::from_millis(1700);

fn known(now: Instant, servers: u64, told: u64) -> Freshness {
    let ago = |ms| now.checked_sub(Duration::from_millis(ms));
    Freshness { config: None, servers: ago(servers), updated: ago(told) }
}

/// A server gets a request 2.7 s after the store has taken the word of its leaving, and has ended.
///
/// The control thread of one host stands still for two seconds, with the word among what waits for it. The traffic thread goes on, by the
/// list of before. From the time on at which the server may have left for too long, it refuses what it would send.
#[test]
fn a_host_that_has_no_time_for_news_sends_nothing() {
    let now = Instant::now() + Duration::from_secs(10);
    assert!(known(now, 1800, 1100).is_stalled(now, DRAIN_WITHIN));
    assert!(!known(now, 1600, 1100).is_stalled(now, DRAIN_WITHIN), "nothing has left for too long");
}

/// The store is away for everybody for ten seconds. Refusing until it is back would be an outage; the control thread has its turns, and serving
/// goes on by what is known.
#[test]
fn a_host_whose_store_is_away_goes_on() {
    let now = Instant::now() + Duration::from_secs(30);
    assert!(!known(now, 10_000, 100).is_stalled(now, DRAIN_WITHIN));
}

/// A process that has just started knows nothing yet, and refuses for that reason.
#[test]
fn a_host_that_knows_nothing_is_not_held_up() {
    assert!(!Freshness::default().is_stalled(Instant::now(), DRAIN_WITHIN));
}
