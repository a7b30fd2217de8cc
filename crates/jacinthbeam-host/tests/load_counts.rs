//! What a host counts for the load reports of services whose load is exchanged.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{Classes, HostReport};
use jacinthbeam_host::process::load_counts::LoadCounts;
use jacinthbeam_types::prelude::*;

const RANK: u32 = 2;
const TOOK: Duration = Duration::from_millis(300);

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn server() -> ServerId {
    "s1".parse().unwrap()
}

fn take(counts: &LoadCounts) -> HostReport {
    counts.take_report(&service(), Instant::now())
}

#[test]
fn a_report_has_the_counts_since_the_last_one_and_the_present_numbers() {
    let (counts, service, server) = (LoadCounts::default(), service(), server());
    counts.on_arrival(&service, RANK);
    counts.on_arrival(&service, RANK);
    counts.set_waiting(&service, RANK, 1);
    let in_flight = counts.on_send(&service, RANK, &server);
    counts.on_answer(&service, RANK, &server, TOOK, Some(TOOK * 2));
    counts.on_rejected(&service, &server);
    let report = take(&counts);
    let (rank, at_server) = (report.ranks[&RANK], report.servers[&server]);
    assert_eq!((rank.arrivals, rank.waiting, rank.in_flight), (2, 1, 1));
    assert_eq!((rank.answers, rank.busy), (1, TOOK));
    assert_eq!((at_server.in_flight, at_server.answers, at_server.refused), (1, 1, 1));
    assert!((at_server.slowness - 0.5).abs() < 1e-6);

    let next = take(&counts);
    assert_eq!(next.sequence, report.sequence + 1);
    let rank = next.ranks[&RANK];
    assert_eq!((rank.arrivals, rank.answers, rank.waiting, rank.in_flight), (0, 0, 1, 1));
    assert_eq!(next.servers[&server].answers, 0);

    drop(in_flight);
    counts.set_waiting(&service, RANK, 0);
    let last = take(&counts);
    assert!(last.ranks.is_empty() && last.servers.is_empty(), "{last:?}");
}

/// Guards against requests that count as in flight for ever after their caller has disconnected.
#[test]
fn a_request_is_in_flight_until_its_guard_is_dropped() {
    let (counts, service, server) = (LoadCounts::default(), service(), server());
    let guards: Vec<_> = (0..3).map(|_| counts.on_send(&service, RANK, &server)).collect();
    assert_eq!(counts.ranks(&service)[&RANK].in_flight, 3);
    drop(guards);
    assert_eq!(counts.ranks(&service)[&RANK].in_flight, 0);
}

/// Guards against numbers below zero for requests that were sent before a change of the configuration.
#[test]
fn a_service_that_is_no_longer_shared_has_no_counts() {
    let (counts, service, server) = (LoadCounts::default(), service(), server());
    let in_flight = counts.on_send(&service, RANK, &server);
    counts.retain(&BTreeMap::new());
    assert!(counts.ranks(&service).is_empty());
    let shared = BTreeMap::from([(service.clone(), Classes::default())]);
    counts.on_arrival(&service, RANK);
    counts.retain(&shared);
    drop(in_flight);
    assert_eq!(take(&counts).ranks[&RANK].in_flight, 0);
}

/// Guards against requests in flight that are missing from the reports as long as there is traffic: those of before a change of the
/// configuration have no part in the counts that were begun after it.
#[test]
fn the_end_of_a_request_from_before_the_counts_were_dropped_changes_nothing() {
    let (counts, service, server) = (LoadCounts::default(), service(), server());
    let earlier = counts.on_send(&service, RANK, &server);
    counts.retain(&BTreeMap::new());
    let _later = counts.on_send(&service, RANK, &server);
    drop(earlier);
    let report = take(&counts);
    assert_eq!((report.ranks[&RANK].in_flight, report.servers[&server].in_flight), (1, 1));
}

/// Guards against a server that counts as fast or slow while the mean of the fleet is unknown.
#[test]
fn an_answer_has_the_slowness_of_the_fleet_if_its_mean_is_unknown() {
    let (counts, service, server) = (LoadCounts::default(), service(), server());
    counts.on_answer(&service, RANK, &server, TOOK, None);
    counts.on_answer(&service, RANK, &server, TOOK, Some(Duration::ZERO));
    assert!((take(&counts).servers[&server].slowness - 2.0).abs() < 1e-6);
}

#[test]
fn the_arrival_rate_is_that_between_the_last_two_reports() {
    let (counts, service, now) = (LoadCounts::default(), service(), Instant::now());
    counts.take_report(&service, now);
    (0..5).for_each(|_| counts.on_arrival(&service, RANK));
    counts.take_report(&service, now + Duration::from_millis(250));
    assert!((counts.ranks(&service)[&RANK].arrival_rate - 20.0).abs() < 1e-3);
}
