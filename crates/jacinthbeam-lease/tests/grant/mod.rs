//! Arithmetic of a lease's end.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use jacinthbeam_lease::{
    Timing,
    grant::{next_token, until, usable_until},
    timing,
};
use jacinthbeam_types::prelude::*;

use crate::support::fresh;

/// Whatever the delays and within the accepted clock error, the server's lease ends no later than a lease's
/// length after the proof, and no earlier than traffic is told.
#[test]
fn a_lease_ends_after_traffic_and_before_proof_plus_its_length() {
    arbtest(|u| {
        let timing = Timing::default();
        let start = Instant::now();
        let mut ms = |to: u64| Ok(Duration::from_millis(u.int_in_range(0..=to)?));
        let (proof, sent) = (start + ms(1000)?, start + ms(1000)?);
        let read = sent + ms(500)?;
        let received = read + ms(500)?;
        let mut state = fresh(1);
        state.clock = 5_000_000;
        let Some(until) = until(&state, received, proof, &timing) else { return Ok(()) };
        state.until = until;
        let ticks = Duration::from_micros(until - state.clock);
        for rate in [1.0 - 2.0 * timing.rho, 1.0, 1.0 + 2.0 * timing.rho] {
            let end = read + ticks.mul_f64(rate);
            assert!(end <= proof + timing.lease, "{rate}");
            assert!(usable_until(&state, sent, &timing) <= end, "{rate}");
        }
        Ok(())
    });
}

#[test]
fn hosts_that_read_the_same_token_present_different_ones() {
    let reported = next_token(Token(0), Incarnation(9));
    let (a, b) = (next_token(reported, Incarnation(1)), next_token(reported, Incarnation(2)));
    assert!(a > reported && b > reported && a != b);
}

#[test]
fn a_timing_that_cannot_work_is_refused() {
    assert_eq!(Timing::default().check(), Ok(()));
    let hasty = Timing { lease: Duration::from_millis(400), ..Timing::default() };
    let err = hasty.check().expect_err("two renewals take longer");
    assert_eq!(err.to_string(), "two `renew_every` must be shorter than `lease`");
    let broken = Timing { rho: f64::NAN, ..Timing::default() };
    assert!(matches!(broken.check(), Err(timing::Error::Rho(_))));
}
