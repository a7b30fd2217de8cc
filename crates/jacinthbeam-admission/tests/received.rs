//! Which collector a host follows.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Plan, Received,
    plan::{RankPlan, ServerLoad},
};
use jacinthbeam_types::prelude::*;

const EVERY: Duration = Duration::from_millis(250);

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn plan(share: f32) -> Plan {
    let rank = RankPlan { share, ..RankPlan::default() };
    Plan { ranks: BTreeMap::from([(2, rank)]), ..Plan::default() }
}

/// A host in a domain of 20, which prefers collector `a` over `b`.
fn received() -> Received {
    let mut received = Received::default();
    received.set_collectors(vec![host("a"), host("b")], 20);
    received
}

fn share(received: &Received, now: Instant) -> Option<f32> {
    received.plan(now).map(|(_, plan)| plan.ranks[&2].share)
}

/// Guards against a host that alternates between the plans of two collectors that disagree.
#[test]
fn the_plan_of_the_preferred_collector_is_followed_while_it_is_recent() {
    let (mut received, now) = (received(), Instant::now());
    for step in 1..8 {
        let now = now + EVERY * step;
        received.on_plan(&host("a"), step, plan(0.5), now);
        received.on_plan(&host("b"), step, plan(0.9), now + EVERY / 2);
        assert_eq!(share(&received, now + EVERY / 2), Some(0.5));
    }
}

/// Guards against a host without a plan after the loss of one collector, and one that follows an old plan after the loss of both.
#[test]
fn the_other_collector_is_followed_within_a_second_and_none_after_both_are_lost() {
    let (mut received, now) = (received(), Instant::now());
    received.on_plan(&host("a"), 1, plan(0.5), now);
    for step in 1..8 {
        received.on_plan(&host("b"), step, plan(0.9), now + EVERY * step);
    }
    assert_eq!(share(&received, now + EVERY * 3), Some(0.5));
    assert_eq!(share(&received, now + EVERY * 4), Some(0.9));
    assert_eq!(share(&received, now + EVERY * 10), Some(0.9));
    assert_eq!(share(&received, now + EVERY * 11), None);
    received.on_plan(&host("a"), 2, plan(0.4), now + EVERY * 12);
    assert_eq!(share(&received, now + EVERY * 12), Some(0.4));
}

#[test]
fn a_host_that_has_just_started_follows_no_plan() {
    assert_eq!(share(&received(), Instant::now()), None);
}

/// Guards against an older plan that replaces a newer one, and against an old plan whose duplicates keep it valid.
#[test]
fn late_and_duplicate_plans_are_ignored() {
    let (mut received, now) = (received(), Instant::now());
    assert!(received.on_plan(&host("a"), 7, plan(0.5), now));
    assert!(!received.on_plan(&host("a"), 6, plan(0.1), now + EVERY));
    assert!(!received.on_plan(&host("a"), 7, plan(0.1), now + EVERY * 2));
    assert_eq!(share(&received, now + EVERY * 3), Some(0.5));
    assert_eq!(share(&received, now + EVERY * 4), None);
}

/// Guards against a restarted collector that is ignored until its sequence has caught up.
#[test]
fn a_restarted_collector_is_followed_after_a_second() {
    let (mut received, now) = (received(), Instant::now());
    received.on_plan(&host("a"), 900, plan(0.5), now);
    assert!(!received.on_plan(&host("a"), 1, plan(0.6), now + EVERY * 3));
    assert!(received.on_plan(&host("a"), 2, plan(0.6), now + EVERY * 4));
    assert_eq!(share(&received, now + EVERY * 4), Some(0.6));
}

/// Guards against the plan of a host that lacks this host's reports, while two hosts know different lists of hosts.
#[test]
fn only_collectors_of_the_own_reports_are_followed() {
    let (mut received, now) = (received(), Instant::now());
    assert!(!received.on_plan(&host("c"), 1, plan(0.5), now));
    received.on_plan(&host("a"), 1, plan(0.5), now);
    received.set_collectors(vec![host("b"), host("c")], 20);
    assert_eq!(share(&received, now), None);
}

/// Guards against plans that expire between two messages in a domain of hundreds of hosts.
#[test]
fn plans_are_valid_for_four_intervals_in_a_large_domain() {
    let (mut received, now) = (received(), Instant::now());
    received.set_collectors(vec![host("a"), host("b")], 714);
    received.on_plan(&host("a"), 1, plan(0.5), now);
    assert_eq!(share(&received, now + Duration::from_secs(28)), Some(0.5));
    assert_eq!(share(&received, now + Duration::from_secs(29)), None);
}

/// Guards against a table of servers that holds only the last datagram, and one that keeps servers that are gone.
#[test]
fn the_loads_of_servers_of_several_datagrams_are_merged_and_expire() {
    let (mut received, now) = (received(), Instant::now());
    let loads = |name: &str| BTreeMap::from([(name.parse().unwrap(), ServerLoad::default())]);
    received.on_servers(&host("a"), 1, loads("s1"), BTreeMap::new(), now);
    let times = BTreeMap::from([(1, EVERY)]);
    received.on_servers(&host("a"), 2, loads("s2"), times.clone(), now + EVERY);
    assert_eq!(received.servers(now + EVERY).len(), 2);
    assert_eq!(received.service_times(now + EVERY), times);
    received.on_servers(&host("a"), 3, loads("s2"), times, now + EVERY * 4);
    assert_eq!(received.servers(now + EVERY * 4).len(), 1);
    assert!(received.servers(now + EVERY * 8).is_empty());
}
