//! Rules of the choice among servers by the load from all hosts.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::{
    ServerStats,
    choose::{
        self,
        by_load::{
            Candidate, FleetLoad, Included, MAX_FIGURE_AGE, MAX_STATED_AGE, Request, StatedQueue,
            best, least_loaded,
        },
    },
};

const WORK: Duration = Duration::from_millis(200);

const URGENT: Request =
    Request { deferrable: false, objective: Duration::from_millis(600), service_time: Some(WORK) };

const DEFERRABLE: Request =
    Request { deferrable: true, objective: Duration::from_secs(5), service_time: Some(WORK) };

/// A server of the own failure domain with six slots, and `others` requests in flight from other hosts.
fn near<'a>(id: &'a u32, stats: &'a ServerStats, others: u32) -> Candidate<'a, u32> {
    let server =
        choose::Candidate { id, stats, slots: 6, near: true, in_subset: true, cold: false };
    let fleet = Some(FleetLoad { others, slowness: 1.0, age: Duration::ZERO });
    Candidate { server, fleet, stated: None, domain_free: None }
}

fn far<'a>(id: &'a u32, stats: &'a ServerStats, domain_free: f64) -> Candidate<'a, u32> {
    let mut candidate = near(id, stats, 0);
    candidate.server.near = false;
    Candidate { fleet: None, domain_free: Some(domain_free), ..candidate }
}

/// How often each of the servers 0 to 3 is chosen in a thousand times, and how often none.
fn chosen(candidates: &[Candidate<'_, u32>], request: &Request, now: Instant) -> ([u32; 4], u32) {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut counts, mut none) = ([0; 4], 0);
    for _ in 0..1000 {
        match best(candidates.iter().copied(), request, now, || rng.f64()) {
            Some(id) => counts[*id as usize] += 1,
            None => none += 1,
        }
    }
    (counts, none)
}

/// Guards against deferrable requests that fill the queues of servers, where urgent requests wait behind them.
#[test]
fn a_deferrable_request_gets_no_server_without_a_free_slot() {
    let (now, stats) = (Instant::now(), ServerStats::default());
    let full = [near(&0, &stats, 6), near(&1, &stats, 9)];
    assert_eq!(chosen(&full, &DEFERRABLE, now), ([0; 4], 1000));
    assert_eq!(chosen(&full, &URGENT, now).1, 0);
    let least = least_loaded(full.into_iter(), &DEFERRABLE, now, || 0.5);
    assert_eq!(least, Some(&0));
}

/// Guards against deferrable requests that occupy the fast servers, which the urgent ones need, or that are late at a server that is much
/// too slow.
#[test]
fn deferrable_requests_prefer_slow_servers_that_answer_in_time() {
    let (now, stats) = (Instant::now(), ServerStats::default());
    let at = |id, slowness| {
        let candidate = near(id, &stats, 3);
        Candidate {
            fleet: candidate.fleet.map(|fleet| FleetLoad { slowness, ..fleet }),
            ..candidate
        }
    };
    let servers = [at(&0, 0.7), at(&1, 1.7), at(&2, 20.0)];
    assert_eq!(chosen(&servers, &DEFERRABLE, now).0, [0, 1000, 0, 0]);
    assert_eq!(chosen(&servers, &URGENT, now).0, [1000, 0, 0, 0]);
}

/// Guards against deferrable requests that are drawn to a server because it fails, is cold or is silent: the first only has free slots because
/// its requests fail, the others look slow.
#[test]
fn deferrable_requests_do_not_prefer_failing_cold_or_silent_servers() {
    let now = Instant::now();
    let (usual, mut failing, mut silent) =
        (ServerStats::default(), ServerStats::default(), ServerStats::default());
    (0..4).for_each(|_| failing.on_error());
    silent.begin(now - Duration::from_secs(2));
    let slow = near(&0, &usual, 3);
    let slow =
        Candidate { fleet: slow.fleet.map(|fleet| FleetLoad { slowness: 1.5, ..fleet }), ..slow };
    let mut cold = near(&3, &usual, 0);
    cold.server.cold = true;
    let servers = [slow, near(&1, &failing, 0), near(&2, &silent, 0), cold];
    assert_eq!(chosen(&servers, &DEFERRABLE, now).0, [1000, 0, 0, 0]);
    // They are used if there is no other.
    for (n, server) in servers.into_iter().enumerate().skip(1) {
        assert_eq!(chosen(&[server], &DEFERRABLE, now).0[n], 1000);
    }
}

/// Guards against charged bytes between failure domains while the own one has capacity, and against an own one that stays overloaded while
/// another has capacity.
#[test]
fn another_failure_domain_is_used_only_if_the_own_one_is_full_and_the_other_is_not() {
    let (now, stats) = (Instant::now(), ServerStats::default());
    let far_share = |in_flight, free, request: &Request| {
        let servers =
            [near(&0, &stats, in_flight), near(&1, &stats, in_flight), far(&2, &stats, free)];
        chosen(&servers, request, now).0[2]
    };
    for request in [URGENT, DEFERRABLE] {
        assert_eq!(far_share(3, 0.9, &request), 0);
        assert_eq!(far_share(6, 0.1, &request), 0, "there is no free slot");
        assert_eq!(far_share(12, 0.5, &request), 1000);
    }
    // The own domain states that more than a tenth of its slots is free.
    let own = |id| Candidate { domain_free: Some(0.2), ..near(id, &stats, 6) };
    assert_eq!(chosen(&[own(&0), own(&1), far(&2, &stats, 0.9)], &DEFERRABLE, now), ([0; 4], 1000));
    // Of two others, the freer one gets deferrable requests.
    let servers = [near(&0, &stats, 6), far(&1, &stats, 0.4), far(&2, &stats, 0.6)];
    assert_eq!(chosen(&servers, &DEFERRABLE, now).0, [0, 0, 1000, 0]);
    // Without servers of its own domain, a host uses the others.
    assert_eq!(chosen(&[far(&2, &stats, 0.6)], &URGENT, now).0, [0, 0, 1000, 0]);
}

/// Guards against a queue that the server has stated being ignored, and against one that is long gone being believed.
#[test]
fn a_stated_queue_counts_while_it_is_new() {
    let (now, stats) = (Instant::now(), ServerStats::default());
    let at = |age| {
        let stated = Some(StatedQueue { running: 6, waiting: 5, age });
        let servers = [Candidate { stated, ..near(&0, &stats, 2) }, near(&1, &stats, 3)];
        chosen(&servers, &DEFERRABLE, now).0[0]
    };
    assert_eq!(at(Duration::from_millis(100)), 0);
    assert!(at(MAX_STATED_AGE) > 0);
}

/// Guards against a server that is unreachable, full or silent, and looks free because it has no requests in flight.
#[test]
fn unavailable_servers_come_last() {
    let now = Instant::now();
    let (usual, mut gone, mut full, mut silent) = (
        ServerStats::default(),
        ServerStats::default(),
        ServerStats::default(),
        ServerStats::default(),
    );
    gone.on_failure(now);
    full.on_full(now);
    silent.begin(now - Duration::from_secs(3));
    let servers =
        [near(&0, &usual, 3), near(&1, &gone, 0), near(&2, &full, 0), near(&3, &silent, 0)];
    assert_eq!(chosen(&servers, &URGENT, now).0, [1000, 0, 0, 0]);
    assert_eq!(chosen(&servers[1..2], &URGENT, now).0, [0, 1000, 0, 0]);
}

/// Guards against figures of a collector that is gone: after a second, the host's own observations decide.
#[test]
fn figures_that_are_too_old_are_not_used() {
    let now = Instant::now();
    let (idle, mut busy) = (ServerStats::default(), ServerStats::default());
    (0..6).for_each(|_| busy.begin(now));
    let at = |age| {
        let aged =
            |candidate: Candidate<'_, u32>| candidate.fleet.map(|fleet| FleetLoad { age, ..fleet });
        let servers = [near(&0, &idle, 9), near(&1, &busy, 0)];
        let servers = servers.map(|candidate| Candidate { fleet: aged(candidate), ..candidate });
        chosen(&servers, &DEFERRABLE, now)
    };
    assert_eq!(at(MAX_FIGURE_AGE).1, 1000, "neither has a free slot");
    assert_eq!(at(MAX_FIGURE_AGE + Duration::from_millis(1)), ([1000, 0, 0, 0], 0));
}

/// Guards against a server that no figure includes yet, or of another failure domain, whose slots this host has filled by itself.
#[test]
fn requests_of_this_host_fill_a_server_without_a_figure() {
    let now = Instant::now();
    let (usual, mut filled) = (ServerStats::default(), ServerStats::default());
    (0..6).for_each(|_| filled.begin(now));
    let unknown = Candidate { fleet: None, ..near(&0, &filled, 0) };
    let other = Candidate { domain_free: Some(0.0), ..near(&1, &usual, 6) };
    let servers = [unknown, near(&1, &usual, 2)];
    assert_eq!(chosen(&servers, &DEFERRABLE, now).0, [0, 1000, 0, 0]);
    assert_eq!(chosen(&[other, far(&0, &filled, 0.8)], &DEFERRABLE, now), ([0; 4], 1000));
}

/// Guards against requests of this host that are counted twice: in the collector's figure, and by the host itself.
#[test]
fn requests_of_this_host_are_counted_once() {
    let begun = Instant::now();
    let (before, arrived) = (begun + Duration::from_secs(1), begun + Duration::from_secs(2));
    let mut stats = ServerStats::default();
    stats.begin(begun);
    stats.begin(before);
    // It started too late for the report that is in the figure.
    stats.begin(arrived - Duration::from_millis(10));
    let first = Included::update(None, arrived, &stats);
    assert_eq!(first.others(5), 3);
    // The figure stays the same when they end.
    stats.end(begun);
    let same = Included::update(Some(first), arrived, &stats);
    assert_eq!(same.others(5), 3);
    let next = Included::update(Some(same), arrived + Duration::from_millis(250), &stats);
    assert_eq!((next.others(5), next.others(1)), (3, 0));
}
