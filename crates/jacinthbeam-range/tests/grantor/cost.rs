//! What a granting host spends by the number of its owners.

use std::time::{Duration, Instant};

use jacinthbeam_range::Event;

use crate::play::Play;

const FEW: u16 = 40;
const MANY: u16 = 320;
/// The shortest of so many counts, so that a processor that others use too doesn't change the verdict.
const PASSES: u32 = 40;
/// Eight times the owners. In proportion, a pass takes 8 times as long; with one look at all owners for each owner it took 40
/// times and more. As measured, 10 and 40 to 63.
const MOST_RATIO: u32 = 24;

/// The time of a pass in which nothing is due.
fn pass(owners: u16) -> Duration {
    let mut play = Play::among(owners, 1, None, &[]);
    play.run(Duration::from_secs(2));
    assert!(play.grantor.leads());
    let mut time = || {
        let begun = Instant::now();
        play.feed(Event::Tick);
        begun.elapsed()
    };
    // The first one brings what was due.
    time();
    (0..PASSES).map(|_| time()).min().expect("there is a pass")
}

/// A granting host looks at its owners ten times a second. With the square of their number it falls behind at some hundred
/// owners: callers see keys without an owner, since renewals go out late, while the host does nothing else.
/// The right to grant was worked out from all owners once for each owner.
#[test]
fn a_pass_grows_no_faster_than_the_owners() {
    let (few, many) = (pass(FEW), pass(MANY));
    assert!(many < few * MOST_RATIO, "{few:?} for {FEW} owners, {many:?} for {MANY}");
}
