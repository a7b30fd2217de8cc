//! What processes cost is read from the system.

use std::time::Duration;

use jacinthbeam_measure::{Cost, Spent};

/// Work costs processor time, and only what was spent since the earlier look counts.
#[test]
fn the_cost_of_work_is_seen() {
    let own = || Cost::of(std::process::id()).expect("this process is there");
    let before = own();
    let mut sum = 0_u64;
    // Far above the 10 ms in which the system counts, whatever else the machine does: it is time of this process alone.
    while (own() - before).processor < Duration::from_millis(50) {
        sum = (0..100_000_u64).fold(sum, |sum, n| sum.wrapping_mul(31).wrapping_add(n));
    }
    assert_ne!(sum, 0);
    assert!(before.peak > 1 << 20 && own().peak >= before.peak);
}

#[test]
fn a_process_that_is_not_there_has_no_cost() {
    // Above the largest id that Linux gives out.
    assert!(Cost::of(1 << 30).is_err());
}

#[test]
fn the_cost_of_a_request_is_told() {
    let cost = Cost { processor: Duration::from_millis(300), peak: 6_100_000 };
    let text = Spent { cost, requests: 1000 }.to_string();
    assert!(text.contains("300 us") && text.contains("6.1 MB"), "{text}");
    // Nothing sent is no division by zero.
    assert!(Spent { cost, requests: 0 }.to_string().contains("300000 us"));
}
