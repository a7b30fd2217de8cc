//! Choice among servers as one host sees them.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::{
    Seen,
    choose::{Candidate, best},
};

const WORK: Duration = Duration::from_millis(290);

fn candidate<'a>(id: &'a u32, seen: &'a Seen) -> Candidate<'a, u32> {
    Candidate { id, seen, slots: 3, near: true, cold: false }
}

fn usual() -> Seen {
    let mut seen = Seen::default();
    (0..20).for_each(|_| seen.on_answer(WORK));
    seen
}

/// Orders end at their deadline without having run, one after the other, at the same server.
///
/// The server works twelve times as slowly as a moment ago. It answers nothing, so the mean of its answers stays good, and with
/// a request or two of each host in its queue it still looks like the best choice.
#[test]
fn a_server_that_has_become_slow_is_left_alone_before_it_answers() {
    let now = Instant::now();
    let (mut slow, mut busy) = (usual(), usual());
    (0..20).for_each(|_| slow.on_answer(WORK / 2));
    slow.begin(now - Duration::from_millis(900));
    busy.begin(now);
    let pick = || best([candidate(&1, &slow), candidate(&2, &busy)].into_iter(), now, || 0.5);
    assert_eq!(pick(), Some(&2));
}

/// A host sends one after the other in the order of what it expects: idle before busy, near before far, warm before cold, and
/// what was full or failed a moment ago last.
#[test]
fn the_server_expected_to_answer_first_is_chosen() {
    let now = Instant::now();
    let (idle, mut busy, mut full, mut gone) = (usual(), usual(), usual(), usual());
    (0..3).for_each(|_| busy.begin(now));
    full.on_full(now);
    gone.on_failure(now);
    let pick =
        |candidates: Vec<Candidate<'_, u32>>| *best(candidates.into_iter(), now, || 0.0).unwrap();
    assert_eq!(pick(vec![candidate(&1, &busy), candidate(&2, &idle)]), 2);
    assert_eq!(pick(vec![candidate(&1, &full), candidate(&2, &busy)]), 2);
    assert_eq!(pick(vec![candidate(&1, &gone), candidate(&2, &busy)]), 2);
    let far = Candidate { near: false, ..candidate(&1, &idle) };
    assert_eq!(pick(vec![far, candidate(&2, &idle)]), 2);
    let cold = Candidate { cold: true, ..candidate(&1, &idle) };
    assert_eq!(pick(vec![cold, candidate(&2, &idle)]), 2);
    assert_eq!(pick(vec![candidate(&1, &gone)]), 1);
}

/// A server that failed comes back into use after a pause that grows with each failure in a row, and at once after an answer.
#[test]
fn a_failed_server_is_tried_again() {
    let now = Instant::now();
    let mut seen = usual();
    let mut last = Duration::ZERO;
    for _ in 0..5 {
        seen.on_failure(now);
        let pause = (0..)
            .map(|n| Duration::from_millis(100 * n))
            .find(|after| !seen.is_avoided(now + *after));
        assert!(pause.unwrap() >= last);
        last = pause.unwrap();
    }
    assert!(last <= Duration::from_secs(4));
    seen.on_answer(WORK);
    assert!(!seen.is_avoided(now));
}
