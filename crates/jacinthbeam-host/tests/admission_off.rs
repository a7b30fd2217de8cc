//! Services that are left out of the exchange of load, and how hosts tell each other of them.

use std::time::{Duration, Instant};

use jacinthbeam_host::process::{
    peers::update::{StateUpdate, UpdateRequest},
    replica::StoreReplica,
};
use jacinthbeam_route::{Admission, Config, Route, Service, SlowStart, Target};
use jacinthbeam_types::prelude::*;
use serde::Serialize;

fn name(text: &str) -> ServiceName {
    text.parse().unwrap()
}

fn service(admission: Admission) -> Service {
    Service {
        team: Some("ice".parse().unwrap()),
        health_path: "/healthz".into(),
        connections: 100,
        keyed: false,
        warmup: Duration::from_secs(3),
        slow_start: Some(SlowStart { lasts: Duration::from_secs(3), rate: Rate(4400) }),
        admission,
    }
}

fn route(service: &str, priority: u32, objective: Duration) -> Route {
    Route {
        name: format!("{service}-{priority}"),
        prefix: format!("/{service}-{priority}/"),
        idempotent: false,
        timeout: objective,
        objective,
        priority,
        attempts: 2,
        target: Target::Service(name(service)),
        home_regions: Default::default(),
    }
}

/// Rides and refunds have deferrable routes, the index has not.
fn config(rides: Admission, refunds: Admission) -> Config {
    let mut cfg = Config { version: ConfigVersion(1), ..Config::default() };
    cfg.services = [(name("rides"), service(rides)), (name("refunds"), service(refunds))].into();
    cfg.services.insert(name("index"), service(Admission::Auto));
    cfg.routes.insert("*", route("index", 1, Duration::from_secs(1)));
    cfg.routes.insert("*", route("rides", 1, Duration::from_millis(600)));
    cfg.routes.insert("*", route("rides", 2, Duration::from_secs(5)));
    cfg.routes.insert("*", route("refunds", 1, Duration::from_secs(1)));
    cfg.routes.insert("*", route("refunds", 2, Duration::from_secs(2)));
    cfg
}

fn replica(cfg: Config) -> StoreReplica {
    let mut replica = StoreReplica::default();
    assert!(replica.apply_config(cfg));
    replica
}

fn shared(replica: &StoreReplica) -> Vec<String> {
    replica.view().load_shared.keys().map(ToString::to_string).collect()
}

/// Guards against load that is exchanged for a service whose operator has switched admission off, and against one service that switches it
/// off for others.
#[test]
fn a_service_with_admission_off_is_not_load_shared() {
    let shared = |rides, refunds| shared(&replica(config(rides, refunds)));
    assert_eq!(shared(Admission::Auto, Admission::Auto), ["refunds", "rides"]);
    assert_eq!(shared(Admission::Auto, Admission::Off), ["rides"]);
    assert_eq!(shared(Admission::Off, Admission::Auto), ["refunds"]);
    assert!(shared(Admission::Off, Admission::Off).is_empty());
}

/// Guards against a host that learns the configuration from another host and admits requests of a service whose admission is off.
#[test]
fn hosts_tell_each_other_that_admission_is_off() {
    for (rides, refunds) in [(Admission::Auto, Admission::Off), (Admission::Off, Admission::Auto)] {
        let sender = replica(config(rides, refunds));
        let now = Instant::now();
        let update = sender.update_for(&UpdateRequest::default(), Duration::ZERO, now);
        let received = StateUpdate::from_bytes(&update.to_bytes()).unwrap();
        assert_eq!(received, update);
        let mut receiver = StoreReplica::default();
        assert!(receiver.apply_update(received, now).config);
        assert_eq!(shared(&receiver), shared(&sender));
    }
}

/// [`Service`] as the builds before the field `admission` encode it.
#[derive(Serialize)]
struct OldService {
    team: Option<TeamName>,
    health_path: String,
    connections: u32,
    keyed: bool,
    warmup: Duration,
    slow_start: Option<SlowStart>,
}

/// Guards against updates that hosts of different builds can't read from each other during an upgrade: their encoding has no names of
/// fields, so a service with one more field would be read as the start of the next one.
#[test]
fn the_encoding_between_hosts_is_that_of_older_builds() {
    let bincode = bincode::config::standard();
    let Service { team, health_path, connections, keyed, warmup, slow_start, .. } =
        service(Admission::Off);
    let old = OldService { team, health_path, connections, keyed, warmup, slow_start };
    let old = bincode::serde::encode_to_vec(old, bincode).unwrap();
    let new = bincode::serde::encode_to_vec(service(Admission::Off), bincode).unwrap();
    assert_eq!(new, old);

    let config = Some(config(Admission::Auto, Admission::Off));
    let update = StateUpdate { config, ..StateUpdate::default() };
    let older = bincode::serde::encode_to_vec(&update, bincode).unwrap();
    assert!(update.to_bytes().starts_with(&older), "an older build can't read an update");
    let read = StateUpdate::from_bytes(&older).unwrap().config.unwrap();
    assert!(read.services.values().all(|service| service.admission == Admission::Auto));
}
