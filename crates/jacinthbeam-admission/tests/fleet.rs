//! Merging the loads of the failure domains.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    FleetLoads, collect, fleet,
    plan::{DomainLoad, RankLoad},
};
use jacinthbeam_types::prelude::*;

const INTERVAL: Duration = Duration::from_millis(250);

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn load(slots: u32) -> DomainLoad {
    DomainLoad { slots, ..DomainLoad::default() }
}

fn fleet_loads() -> FleetLoads {
    let mut loads = FleetLoads::new(service());
    loads.set_interval(INTERVAL);
    loads
}

/// Guards against plans that count on the servers of a domain that can't be reached, or leave room for its requests.
#[test]
fn a_partitioned_domain_does_not_count_after_four_intervals() {
    let (mut loads, now) = (fleet_loads(), Instant::now());
    loads.merge(domain("a"), host("a1"), 1, load(6), now);
    loads.merge(domain("b"), host("b1"), 1, load(6), now + INTERVAL);
    let at = now + INTERVAL * 4;
    loads.expire(at);
    assert_eq!(loads.loads(at).keys().collect::<Vec<_>>(), [&domain("b")]);
    loads.merge(domain("a"), host("a1"), 9, load(6), at);
    assert_eq!(loads.loads(at).len(), 2);
}

/// Guards against a plan that alternates between the numbers of two collectors, of which one gets only some of the reports.
#[test]
fn the_preferred_one_of_two_collectors_that_disagree_is_used() {
    let (mut loads, now) = (fleet_loads(), Instant::now());
    let hosts = [host("a1"), host("a2")];
    let [preferred, other] = collect::select(&service(), hosts.iter())[..] else { panic!() };
    for step in 1..10 {
        let now = now + INTERVAL * step;
        loads.merge(domain("a"), preferred.clone(), step, load(60), now);
        loads.merge(domain("a"), other.clone(), step, load(6), now + INTERVAL / 2);
        assert_eq!(loads.loads(now + INTERVAL / 2)[&domain("a")], load(60));
    }
    // After the loss of the preferred one, the other is used.
    let later = now + INTERVAL * 13;
    loads.merge(domain("a"), other.clone(), 13, load(6), later);
    assert_eq!(loads.loads(later)[&domain("a")], load(6));
}

/// Guards against an old load that replaces a newer one.
#[test]
fn late_and_duplicate_loads_are_ignored() {
    let (mut loads, now) = (fleet_loads(), Instant::now());
    assert!(loads.merge(domain("a"), host("a1"), 5, load(6), now));
    assert!(!loads.merge(domain("a"), host("a1"), 5, load(1), now + INTERVAL));
    assert!(!loads.merge(domain("a"), host("a1"), 4, load(1), now + INTERVAL));
    assert_eq!(loads.loads(now + INTERVAL)[&domain("a")], load(6));
}

/// Guards against a restarted collector whose domain counts as unreachable until its sequence has caught up.
#[test]
fn a_restarted_collector_is_accepted_after_four_intervals() {
    let (mut loads, now) = (fleet_loads(), Instant::now());
    loads.merge(domain("a"), host("a1"), 500, load(6), now);
    assert!(!loads.merge(domain("a"), host("a1"), 1, load(7), now + INTERVAL * 3));
    assert!(loads.merge(domain("a"), host("a1"), 2, load(7), now + INTERVAL * 4));
    assert_eq!(loads.loads(now + INTERVAL * 4)[&domain("a")], load(7));
}

#[test]
fn the_service_time_of_the_fleet_is_weighted_by_answers() {
    let rank = |answer_rate, ms| RankLoad {
        answer_rate,
        service_time: Duration::from_millis(ms),
        ..RankLoad::default()
    };
    let with = |rank| DomainLoad { ranks: BTreeMap::from([(1, rank)]), ..DomainLoad::default() };
    let loads = [("a", rank(30.0, 100)), ("b", rank(10.0, 500)), ("c", rank(10.0, 0))];
    let loads = loads.map(|(name, rank)| (domain(name), with(rank))).into();
    let mean = fleet::service_times(&loads)[&1];
    assert!(mean.abs_diff(Duration::from_millis(200)) < Duration::from_millis(1), "{mean:?}");
}

/// Guards against a collector that panics because of a datagram with an invalid rate or time.
#[test]
fn invalid_rates_and_times_are_ignored() {
    let valid =
        RankLoad { answer_rate: 10.0, service_time: Duration::from_secs(1), ..RankLoad::default() };
    let invalid = [
        RankLoad { answer_rate: f32::INFINITY, ..valid },
        RankLoad { answer_rate: f32::NAN, ..valid },
        RankLoad { answer_rate: -1.0, ..valid },
        RankLoad { service_time: Duration::MAX, ..valid },
    ];
    for rank in invalid {
        let of = |rank| DomainLoad { ranks: BTreeMap::from([(2, rank)]), ..load(6) };
        let loads = BTreeMap::from([(domain("a"), of(valid)), (domain("b"), of(rank))]);
        let mean = fleet::service_times(&loads)[&2];
        assert!(mean.abs_diff(Duration::from_secs(1)) < Duration::from_millis(1), "{rank:?}");
    }
}
