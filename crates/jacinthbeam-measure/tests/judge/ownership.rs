//! At most one owner of a slot at any time.

use std::time::Instant;

use jacinthbeam_measure::judge::{Promise, judge};
use jacinthbeam_standin::backend::Outcome;

use super::{holding, ms, run, server};

/// Nobody notices: one server's lease on slot 7 runs until 1200 ms, another one is granted the slot at 1100 ms. Either
/// could take an order for the same key in those 100 ms.
#[test]
fn two_holders_of_a_slot_at_one_time_are_found() {
    let t = Instant::now();
    let one = server("one", vec![], vec![holding(&[6, 7], t, t + ms(1200))]);
    let other = server("other", vec![], vec![holding(&[7], t + ms(1100), t + ms(2000))]);
    let broken = judge(&[one, other], &[], &[]);
    assert_eq!(broken.times(Promise::OneOwner), 1);
}

#[test]
fn a_holder_after_the_other_is_fine() {
    let t = Instant::now();
    let one = server("one", vec![], vec![holding(&[7], t, t + ms(1200))]);
    let other = server("other", vec![], vec![holding(&[7], t + ms(1200), t + ms(2000))]);
    assert!(judge(&[one, other], &[], &[]).is_empty());
}

/// A renewal was delayed on its way until its end had passed on the server's clock. The server accepts it, since its token is
/// no lower, but may serve nothing under it; the slot has its next owner by then.
#[test]
fn a_grant_that_had_ended_on_arrival_holds_nothing() {
    let t = Instant::now();
    let late = holding(&[7], t + ms(1500), t + ms(1500));
    let one = server("one", vec![], vec![holding(&[7], t, t + ms(1200)), late]);
    let other = server("other", vec![], vec![holding(&[7], t + ms(1200), t + ms(2000))]);
    assert!(judge(&[one, other], &[], &[]).is_empty());
}

/// A server that checks nothing runs an order after its slot was granted to another: an effect on a key that it no
/// longer owns.
#[test]
fn an_effect_while_another_holds_the_slot_is_found() {
    let t = Instant::now();
    let late = run("/orders/k/n1", 1, t + ms(1300), Outcome::Ran);
    let one = server("one", vec![late], vec![holding(&[7], t, t + ms(1200))]);
    let other = server("other", vec![], vec![holding(&[7], t + ms(1200), t + ms(2000))]);
    let broken = judge(&[one, other], &[], &[]);
    assert_eq!(broken.times(Promise::EffectUnderOwnership), 1);
    assert_eq!(broken.times(Promise::OneOwner), 0);
}
