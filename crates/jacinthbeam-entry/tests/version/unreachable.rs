use std::time::{Duration, Instant};

use jacinthbeam_entry::version::unreachable::{LEFT_ALONE_FOR, Unreachable};

/// A failure domain is cut off; a connection to one of its hosts fails after half a second. Were each request to try for
/// itself, each would be refused late. One tries at a time, the others pass the host over.
#[test]
fn one_request_at_a_time_tries_a_host_that_could_not_be_reached() {
    let (unreachable, start) = (Unreachable::default(), Instant::now());
    let (cut, other) = (([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
    assert!(unreachable.may_try(start, cut));
    assert!(unreachable.may_try(start, cut), "nothing speaks against it yet");
    unreachable.failed(start, cut);
    assert!(!unreachable.may_try(start, cut));
    assert!(unreachable.may_try(start, other));

    let later = start + LEFT_ALONE_FOR;
    assert!(unreachable.may_try(later, cut));
    assert!(!unreachable.may_try(later, cut), "one tries already");
    let failed = later + Duration::from_millis(500);
    unreachable.failed(failed, cut);
    assert!(!unreachable.may_try(later + LEFT_ALONE_FOR, cut));
}

#[test]
fn host_that_is_reached_again_takes_all_requests() {
    let (unreachable, start) = (Unreachable::default(), Instant::now());
    let host = ([127, 0, 0, 1], 1).into();
    unreachable.failed(start, host);
    unreachable.reached(host);
    assert!(unreachable.may_try(start, host));
    assert!(unreachable.may_try(start, host));
}
