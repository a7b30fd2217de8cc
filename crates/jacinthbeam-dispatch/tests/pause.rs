//! Pauses that a server asks for, one after the other.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::pause::KnownPause;

/// Guards against a pause that is ended by a shorter one, or by none at all, and against lengths that overflow.
#[test]
fn the_longest_pause_that_was_asked_for_holds() {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let mut pause = KnownPause::default();
    assert_eq!(pause.left(at(0)), None);
    pause.apply(Duration::ZERO, at(0));
    assert_eq!(pause.left(at(0)), None);
    pause.apply(Duration::from_millis(3000), at(0));
    pause.apply(Duration::from_millis(250), at(1000));
    assert_eq!(pause.left(at(1250)), Some(Duration::from_millis(1750)));
    assert_eq!(pause.left(at(3000)), None);
    pause.apply(Duration::from_millis(3000), at(2000));
    assert_eq!(pause.left(at(4999)), Some(Duration::from_millis(1)));
    pause.apply(Duration::MAX, at(6000));
    assert!(pause.left(at(6000)).is_some_and(|left| left >= Duration::from_secs(3600)));
}
