//! Unavailable time of a key.

use std::time::Instant;

use jacinthbeam::types::prelude::*;
use jacinthbeam_measure::{judge::unavailable, load::Note};

use super::{ms, note};

fn probes(t: Instant, served: impl Fn(u64) -> bool) -> Vec<Note> {
    let at = |n: u64| {
        let verdict = if served(n) { Verdict::Ran } else { Verdict::NotRun };
        note("/orders/k/probe", n, verdict, t + ms(n * 100))
    };
    (0..=50).map(at).collect()
}

#[test]
fn a_key_that_is_always_served_is_never_unavailable() {
    let t = Instant::now();
    let times = unavailable(&probes(t, |_| true), t, t + ms(5000));
    assert_eq!(times[0].time, ms(0));
}

/// Reads fail from 1.0 s to 2.9 s. The key was last served at 0.9 s and then at 3.0 s; one of these 2.1 s is the pace of
/// the reads.
#[test]
fn the_time_between_two_answers_counts_beyond_the_pace() {
    let t = Instant::now();
    let times = unavailable(&probes(t, |n| !(10..30).contains(&n)), t, t + ms(5000));
    assert_eq!(times[0].time, ms(2000));
    assert_eq!(times[0].failed, 20);
}

#[test]
fn a_key_that_is_not_served_to_the_end_counts_to_the_end() {
    let t = Instant::now();
    let times = unavailable(&probes(t, |n| n < 20), t, t + ms(5000));
    assert_eq!(times[0].time, ms(3000));
}
