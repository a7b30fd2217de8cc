//! Choice among servers as one host sees them.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::{
    ServerStats,
    choose::{Candidate, best},
};

const WORK: Duration = Duration::from_millis(290);

fn candidate<'a>(id: &'a u32, seen: &'a ServerStats) -> Candidate<'a, u32> {
    Candidate { id, stats: seen, slots: 3, near: true, in_subset: true, cold: false }
}

fn usual() -> ServerStats {
    let mut seen = ServerStats::default();
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

/// New servers get nothing for as long as the others have room, although their slots would be needed a moment later.
///
/// A light load, and servers of which one host knows that they answer in 100 ms. Two new ones are heard of, of which nothing is known.
/// Each must get a request within some seconds, and not all at once.
#[test]
fn new_servers_are_tried_while_the_others_have_room() {
    let begun = Instant::now();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut servers: Vec<ServerStats> = (0..6).map(|_| ServerStats::new(begun)).collect();
    let mut first: Vec<Option<u64>> = vec![None; 6];
    for ms in (0..6000).step_by(40) {
        let now = begun + Duration::from_millis(ms);
        let known = if ms < 2000 { 4 } else { 6 };
        if ms == 2000 {
            servers[4..].iter_mut().for_each(|seen| *seen = ServerStats::new(now));
        }
        let ids: Vec<u32> = (0..known as u32).collect();
        let candidates = ids.iter().zip(&servers).map(|(id, seen)| candidate(id, seen));
        let n = *best(candidates, now, || rng.f64()).unwrap() as usize;
        first[n].get_or_insert(ms);
        servers[n].begin(now);
        servers[n].on_answer(Duration::from_millis(100));
        servers[n].end(now);
    }
    let new: Vec<u64> = first[4..].iter().map(|ms| ms.expect("it is tried") - 2000).collect();
    assert!(new.iter().all(|ms| (200..2500).contains(ms)), "{new:?}");
}

/// A server was five times as slow as usual for a while, and is well again. Without a request nobody would ever learn it.
#[test]
fn a_server_that_was_slow_is_tried_again() {
    let begun = Instant::now();
    let (mut slow, fast) = (usual(), usual());
    (0..20).for_each(|_| slow.on_answer(WORK * 5));
    slow.begin(begun);
    slow.end(begun);
    let pick = |s: u64| {
        let now = begun + Duration::from_secs(s);
        *best([candidate(&1, &slow), candidate(&2, &fast)].into_iter(), now, || 0.5).unwrap()
    };
    assert_eq!((pick(2), pick(20)), (2, 1));
}
