//! The status page of a host.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{Plan, plan::RankPlan};
use jacinthbeam_host::{
    process::{
        load_counts::LoadCounts,
        service_loads::{ServiceLoad, ServiceLoads},
        status::{Keys, RankLoad, loads, services},
    },
    version::View,
};
use jacinthbeam_range::{Map, key::KEY_COUNT};
use jacinthbeam_route::{Config, config};
use jacinthbeam_types::prelude::*;

fn name(text: &str) -> ServiceName {
    text.parse().unwrap()
}

fn view(keyed: bool) -> View {
    let service = config::Service {
        team: None,
        health_path: "/".into(),
        connections: 4,
        keyed,
        warmup: Duration::ZERO,
        slow_start: None,
        admission: config::Admission::Auto,
    };
    let services = BTreeMap::from([(name("tiles"), service)]);
    View { config: Some(Arc::new(Config { services, ..Config::default() })), ..View::default() }
}

/// Guards against a host that refuses every request for a key while `status` reports no fault.
///
/// The host has read the configuration but not yet the ownership map. It has no map then, just as for a service without keyed
/// ownership, whose requests any server may serve.
#[test]
fn an_ownership_map_not_yet_read_counts_as_unowned() {
    let status = &services(&view(true))[&name("tiles")];
    assert_eq!((&status.keys, status.unowned()), (&Keys::Unknown, KEY_COUNT));
}

/// Guards against unowned keys reported for a service without keyed ownership.
#[test]
fn a_service_without_keyed_ownership_has_no_unowned_keys() {
    let status = &services(&view(false))[&name("tiles")];
    assert_eq!((&status.keys, status.unowned()), (&Keys::Shared, 0));
}

/// Guards against unowned keys that `status` doesn't show.
#[test]
fn unowned_keys_are_counted() {
    let mut view = view(true);
    view.maps.insert(name("tiles"), Arc::new(Map::unowned()));
    let status = &services(&view)[&name("tiles")];
    assert!(matches!(status.keys, Keys::Owned(_)), "{status:?}");
    assert_eq!(status.unowned(), KEY_COUNT);
}

/// Guards against an operator who can't see why requests wait or are refused.
#[test]
fn the_load_of_a_service_is_shown_by_rank() {
    let (counts, service, now) = (LoadCounts::default(), name("tiles"), Instant::now());
    counts.set_waiting(&service, 2, 3);
    counts.on_arrival(&service, 1);
    let plan = RankPlan { share: 0.456, waiting: 70, ..RankPlan::default() };
    let plan = Plan { ranks: BTreeMap::from([(2, plan)]), ..Plan::default() };
    let load = ServiceLoad { plan: Some((now, plan)), ..ServiceLoad::default() };
    let shared = ServiceLoads { services: BTreeMap::from([(service.clone(), load)]) };
    let shown = &loads(&shared, &counts, now + Duration::from_millis(300))[&service];
    assert_eq!(shown.plan_age_ms, Some(300));
    let deferred = RankLoad {
        share_percent: Some(46),
        waiting_here: 3,
        waiting_in_fleet: Some(70),
        ..RankLoad::default()
    };
    assert_eq!(shown.ranks, BTreeMap::from([(1, RankLoad::default()), (2, deferred)]));
}
