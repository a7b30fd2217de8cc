//! Merging the reports of the hosts of a failure domain.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Collector, HostReport,
    collect::{self, Outcome},
    report::{RankCounts, ServerCounts, interval},
};
use jacinthbeam_types::prelude::*;

const RANK: u32 = 1;
const EVERY: Duration = Duration::from_millis(250);

fn host(n: usize) -> HostId {
    format!("h{n}").parse().unwrap()
}

fn server(n: usize) -> ServerId {
    format!("s{n}").parse().unwrap()
}

/// A report of 5 arrivals and 5 answers of 100 ms each, with `in_flight` requests at server 0.
fn report(sequence: u32, in_flight: u32) -> HostReport {
    let (answers, busy) = (5, Duration::from_millis(500));
    let rank = RankCounts { arrivals: 5, waiting: 1, in_flight, answers, busy };
    let counts = ServerCounts { in_flight, answers, slowness: 10.0, ..ServerCounts::default() };
    let (ranks, servers) = (BTreeMap::from([(RANK, rank)]), BTreeMap::from([(server(0), counts)]));
    HostReport { sequence, part: 0, ranks, servers }
}

/// A collector, and the time of its last report.
struct Domain {
    collector: Collector,
    now: Instant,
}

impl Domain {
    fn new() -> Self {
        let now = Instant::now();
        Self { collector: Collector::new(now), now }
    }

    /// Merges one report of each host per interval.
    fn run(&mut self, hosts: usize, sequences: std::ops::Range<u32>) {
        for sequence in sequences {
            self.now += EVERY;
            for n in 0..hosts {
                assert_eq!(self.merge(n, report(sequence, 2)), Outcome::Merged);
            }
        }
    }

    fn merge(&mut self, n: usize, report: HostReport) -> Outcome {
        self.collector.merge(&host(n), report, self.now)
    }

    fn load(&self) -> jacinthbeam_admission::plan::DomainLoad {
        self.collector.load([(&server(0), 6), (&server(1), 6)].into_iter(), self.now)
    }

    fn rate(&self) -> f32 {
        self.load().ranks.get(&RANK).map_or(0.0, |rank| rank.arrival_rate)
    }
}

fn assert_near(value: f32, expected: f32) {
    assert!((value - expected).abs() <= 0.05 * expected, "{value} instead of {expected}");
}

#[test]
fn the_load_of_a_domain_is_the_sum_of_its_hosts() {
    let mut domain = Domain::new();
    domain.run(10, 1..20);
    let load = domain.load();
    let rank = load.ranks[&RANK];
    assert_near(rank.arrival_rate, 10.0 * 20.0);
    assert_near(rank.answer_rate, 10.0 * 20.0);
    assert_near(rank.service_time.as_secs_f32(), 0.1);
    assert_eq!((rank.in_flight, rank.waiting, load.slots), (20, 10, 12));
}

/// Guards against a server with a long queue that hides the free slots of the others.
#[test]
fn the_requests_at_a_server_take_no_more_than_its_slots() {
    let mut domain = Domain::new();
    domain.run(10, 1..2);
    assert_eq!(domain.load().busy_slots, 6);
}

/// Guards against a demand that is too low, and a share that is too high, for a second after a host has become a collector.
#[test]
fn the_first_reports_state_the_whole_rate() {
    let mut domain = Domain::new();
    domain.run(10, 500..501);
    assert_near(domain.rate(), 200.0);
}

/// Guards against a plan from the reports of a few hosts.
#[test]
fn a_collector_that_has_just_started_is_incomplete() {
    let mut domain = Domain::new();
    assert!(!domain.collector.is_complete(domain.now));
    domain.run(10, 1..3);
    assert!(domain.collector.is_complete(domain.now));
}

/// Guards against a plan from the load before a suspension, or from the first reports after it.
#[test]
fn a_collector_that_was_cut_off_is_incomplete_until_all_hosts_have_reported() {
    let mut domain = Domain::new();
    domain.run(10, 1..10);
    domain.now += EVERY * 5;
    domain.collector.expire(domain.now);
    assert!(!domain.collector.is_complete(domain.now));
    assert_eq!(domain.load().ranks, BTreeMap::new());
    domain.run(10, 15..17);
    assert!(domain.collector.is_complete(domain.now));
}

/// Guards against requests that are counted twice.
#[test]
fn late_and_duplicate_reports_are_ignored() {
    let mut domain = Domain::new();
    domain.run(1, 1..20);
    let before = domain.load();
    for sequence in [1, 18, 19] {
        assert_eq!(domain.merge(0, report(sequence, 100)), Outcome::Stale);
    }
    assert_eq!(domain.load(), before);
}

/// Guards against a demand that sinks with the loss of messages.
#[test]
fn a_lost_report_does_not_change_the_rate() {
    let mut domain = Domain::new();
    domain.run(10, 1..20);
    for sequence in (20..60).step_by(3) {
        domain.now += EVERY * 2;
        domain.run(10, sequence + 2..sequence + 3);
    }
    assert_near(domain.rate(), 200.0);
}

/// Guards against a rate that jumps where a network delivers several reports at once.
#[test]
fn reports_that_arrive_together_do_not_raise_the_rate() {
    let mut domain = Domain::new();
    domain.run(10, 1..20);
    domain.now += EVERY * 3;
    for sequence in 20..23 {
        for n in 0..10 {
            domain.merge(n, report(sequence, 2));
        }
    }
    assert!(domain.rate() < 250.0, "{}", domain.rate());
}

/// Guards against requests in flight of a host that has ended, which would block its servers' slots.
#[test]
fn a_host_that_does_not_report_is_forgotten_after_four_intervals() {
    let mut domain = Domain::new();
    domain.run(2, 1..5);
    let silent_since = domain.now;
    for sequence in 5..8 {
        domain.now += EVERY;
        domain.merge(0, report(sequence, 2));
    }
    assert_eq!(domain.load().ranks[&RANK].in_flight, 4);
    domain.now = silent_since + EVERY * 4;
    domain.merge(0, report(8, 2));
    assert_eq!(domain.load().ranks[&RANK].in_flight, 2);
}

/// Guards against a restarted host that is ignored until its sequence has caught up.
#[test]
fn the_lower_sequence_of_a_restarted_host_is_accepted_after_four_intervals() {
    let mut domain = Domain::new();
    domain.run(1, 1000..1010);
    domain.now += EVERY * 3;
    assert_eq!(domain.merge(0, report(1, 2)), Outcome::Stale);
    domain.now += EVERY;
    assert_eq!(domain.merge(0, report(2, 2)), Outcome::Merged);
    assert_near(domain.rate(), 20.0);
}

/// Guards against a rank that keeps its demand after its requests have ended.
#[test]
fn a_rank_without_requests_fades() {
    let mut domain = Domain::new();
    domain.run(1, 1..20);
    for sequence in 20..40 {
        domain.now += EVERY;
        domain.merge(0, HostReport { sequence, ..HostReport::default() });
    }
    assert!(domain.rate() < 0.2, "{}", domain.rate());
    assert!(domain.load().ranks.values().all(|rank| rank.in_flight + rank.waiting == 0));
}

/// Guards against requests in flight that are lost where a host uses more servers than fit in a datagram.
#[test]
fn the_parts_of_a_report_add_up() {
    let counts = ServerCounts { in_flight: 1, ..ServerCounts::default() };
    let part = |sequence, part| HostReport {
        sequence,
        part,
        servers: BTreeMap::from([(server(part as usize), counts)]),
        ..HostReport::default()
    };
    let mut domain = Domain::new();
    assert_eq!(domain.merge(0, part(1, 0)), Outcome::Merged);
    assert_eq!(domain.merge(0, part(1, 1)), Outcome::Merged);
    assert_eq!(domain.merge(0, part(1, 1)), Outcome::Stale);
    assert_eq!(domain.load().busy_slots, 2);
    assert_eq!(domain.merge(0, part(3, 1)), Outcome::Stale);
    assert_eq!(domain.merge(0, part(2, 0)), Outcome::Merged);
    assert_eq!(domain.load().busy_slots, 1);
}

#[test]
fn a_server_is_as_slow_as_its_answers() {
    let mut domain = Domain::new();
    domain.run(10, 1..20);
    let (slow, unknown) = (server(0), server(1));
    let loads = domain.collector.server_loads([&slow, &unknown].into_iter(), domain.now);
    assert_eq!(loads[&slow].in_flight, 20);
    assert!((195..=200).contains(&loads[&slow].slowness_percent), "{loads:?}");
    assert_eq!((loads[&unknown].in_flight, loads[&unknown].slowness_percent), (0, 100));
}

/// Guards against a server that is avoided for long after it was slow: it gets no requests that would show that it no longer is.
#[test]
fn the_slowness_of_a_server_fades_without_answers() {
    let mut domain = Domain::new();
    domain.run(10, 1..20);
    domain.now += Duration::from_secs(60);
    domain.collector.expire(domain.now);
    let loads = domain.collector.server_loads([&server(0)].into_iter(), domain.now);
    assert!(loads[&server(0)].slowness_percent <= 120, "{loads:?}");
}

/// Guards against two answers by which a server counts as slow.
#[test]
fn a_single_slow_answer_is_not_a_slow_server() {
    let mut domain = Domain::new();
    let counts = ServerCounts { answers: 1, slowness: 3.0, ..ServerCounts::default() };
    let servers = BTreeMap::from([(server(0), counts)]);
    domain.merge(0, HostReport { sequence: 1, servers, ..HostReport::default() });
    let loads = domain.collector.server_loads([&server(0)].into_iter(), domain.now);
    assert!(loads[&server(0)].slowness_percent < 180, "{loads:?}");
}

/// Guards against a collector that is overloaded by the reports of a large domain.
#[test]
fn a_collector_receives_at_most_a_hundred_reports_per_second() {
    for hosts in [1, 20, 25, 246, 714, 20_000] {
        let rate = f64::from(hosts) / interval(hosts).as_secs_f64();
        assert!(rate <= 100.0 + 1e-9, "{rate} at {hosts} hosts");
    }
}

/// Guards against collection that moves with each host that joins.
#[test]
fn a_host_that_joins_replaces_at_most_one_collector() {
    let service: ServiceName = "svc".parse().unwrap();
    let hosts: Vec<HostId> = (0..40).map(host).collect();
    for count in 2..40 {
        let before = collect::select(&service, hosts[..count].iter());
        let after = collect::select(&service, hosts[..=count].iter());
        let kept = after.iter().filter(|host| before.contains(host)).count();
        assert!(kept >= collect::COLLECTORS - 1, "{before:?} {after:?}");
    }
}
