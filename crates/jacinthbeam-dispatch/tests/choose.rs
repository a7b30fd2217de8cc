//! Choice among servers from the observations of one host.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::{
    ServerStats,
    choose::{Candidate, best},
};

const WORK: Duration = Duration::from_millis(290);

fn candidate<'a>(id: &'a u32, stats: &'a ServerStats) -> Candidate<'a, u32> {
    Candidate { id, stats, slots: 3, near: true, in_subset: true, cold: false }
}

fn usual() -> ServerStats {
    let mut stats = ServerStats::default();
    (0..20).for_each(|_| stats.on_answer(WORK));
    stats
}

/// Guards against requests that pile up until their deadlines at a server that has suddenly become slow.
///
/// While the server returns no answers its mean stays low, and with only a request or two of each host in its queue it would
/// still look like the best choice. Here its request in flight is several times as old as its mean latency.
#[test]
fn a_server_that_has_become_slow_is_avoided_before_it_answers() {
    let now = Instant::now();
    let (mut slow, mut busy) = (usual(), usual());
    (0..20).for_each(|_| slow.on_answer(WORK / 2));
    slow.begin(now - Duration::from_millis(900));
    busy.begin(now);
    let pick = || best([candidate(&1, &slow), candidate(&2, &busy)].into_iter(), now, || 0.5);
    assert_eq!(pick(), Some(&2));
}

/// Guards against a wrong preference: idle before busy, the own failure domain before others, warm before cold, and servers
/// that were recently full or failed last, but still used if there is no other.
#[test]
fn the_server_with_the_lowest_expected_latency_is_chosen() {
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

/// Guards against a failed server that is never tried again: the backoff grows with consecutive failures up to a limit, and an
/// answer ends it.
#[test]
fn a_failed_server_is_tried_again() {
    let now = Instant::now();
    let mut stats = usual();
    let mut last = Duration::ZERO;
    for _ in 0..5 {
        stats.on_failure(now);
        let pause = (0..)
            .map(|n| Duration::from_millis(100 * n))
            .find(|after| !stats.is_avoided(now + *after));
        assert!(pause.unwrap() >= last);
        last = pause.unwrap();
    }
    assert!(last <= Duration::from_secs(4));
    stats.on_answer(WORK);
    assert!(!stats.is_avoided(now));
}

/// Guards against new servers that get no requests while the known ones have capacity, so that their slots are missing when
/// the load rises.
///
/// The load is light and the known servers answer in 100 ms. Each of two new servers must get its first request within a few
/// seconds, but not immediately.
#[test]
fn new_servers_are_tried_while_the_others_have_capacity() {
    let begun = Instant::now();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut servers: Vec<ServerStats> = (0..6).map(|_| ServerStats::new(begun)).collect();
    let mut first: Vec<Option<u64>> = vec![None; 6];
    for ms in (0..6000).step_by(40) {
        let now = begun + Duration::from_millis(ms);
        let known = if ms < 2000 { 4 } else { 6 };
        if ms == 2000 {
            servers[4..].iter_mut().for_each(|stats| *stats = ServerStats::new(now));
        }
        let ids: Vec<u32> = (0..known as u32).collect();
        let candidates = ids.iter().zip(&servers).map(|(id, stats)| candidate(id, stats));
        let n = *best(candidates, now, || rng.f64()).unwrap() as usize;
        first[n].get_or_insert(ms);
        servers[n].begin(now);
        servers[n].on_answer(Duration::from_millis(100));
        servers[n].end(now);
    }
    let new: Vec<u64> = first[4..].iter().map(|ms| ms.expect("it is tried") - 2000).collect();
    assert!(new.iter().all(|ms| (200..2500).contains(ms)), "{new:?}");
}

/// Guards against a server that was slow for a while and gets no request after its recovery, which would stay unnoticed.
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
