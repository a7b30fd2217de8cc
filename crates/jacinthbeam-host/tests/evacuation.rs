//! Evacuations of failure domains, and their effect on the servers of a host.

use std::time::{Duration, Instant};

use jacinthbeam_host::{
    process::{evacuation::Evacuations, replica::StoreReplica},
    version::{Grace, Leaving},
};
use jacinthbeam_route::{Admission, Config, Server, Service, SlowStart};
use jacinthbeam_types::prelude::*;

const GRACE: Grace =
    Grace { drained: Duration::from_secs(2), evacuated: Duration::from_millis(4700) };

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn server(n: u32, of: &str) -> Server {
    Server {
        id: format!("s{n}").parse().unwrap(),
        service: "tiles".parse().unwrap(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().unwrap(),
        domain: domain(of),
        slots: 3,
        draining: false,
        warmup_left: Duration::ZERO,
        cold_rate: None,
    }
}

fn config() -> Config {
    let service = Service {
        team: None,
        health_path: "/healthz".into(),
        connections: 100,
        keyed: false,
        warmup: Duration::ZERO,
        slow_start: Some(SlowStart { lasts: Duration::from_secs(3), rate: Rate(4400) }),
        admission: Admission::Auto,
    };
    let services = [("tiles".parse().unwrap(), service)].into();
    Config { version: ConfigVersion(1), services, ..Config::default() }
}

/// A host that has read a server of each of two domains at `now`.
fn host(now: Instant) -> StoreReplica {
    let mut replica = StoreReplica::default();
    replica.apply_config(config());
    replica.mark_config_current(now);
    for (n, of) in [(1, "a"), (2, "b")] {
        let server = server(n, of);
        let name = server.id.name().clone();
        replica.apply_server(name, Offset(n.into()), Some(server), Leaving::Since(now));
    }
    replica.mark_servers_current(Offset(3), Some(now), true, now);
    replica
}

fn evacuate(replica: &mut StoreReplica, offset: u64, evacuated: bool, now: Instant) {
    assert!(replica.apply_evacuation(domain("a"), Offset(offset), evacuated, now));
    replica.on_operator_changed(now);
}

/// Guards against requests that reach a failure domain after the deadline of its evacuation.
#[test]
fn servers_of_an_evacuated_domain_get_nothing_after_the_deadline() {
    let start = Instant::now();
    let mut replica = host(start);
    let applied = start + Duration::from_millis(800);
    evacuate(&mut replica, 7, true, applied);
    let (view, [a, b]) = (replica.view(), [server(1, "a").id, server(2, "b").id]);
    assert!(!view.servers.takes_work(&a) && view.servers.takes_work(&b));
    // The evacuation may have begun right after the previous read of the store.
    assert!(view.may_send(&a, start + Duration::from_millis(4600), GRACE));
    assert!(!view.may_send(&a, start + Duration::from_millis(4700), GRACE));
    assert!(view.may_send(&b, start + Duration::from_secs(60), GRACE));
}

/// Guards against requests from a host that starts during an evacuation and can't tell when it began.
#[test]
fn an_evacuation_of_unknown_start_stops_requests_immediately() {
    let now = Instant::now();
    let mut replica = StoreReplica::default();
    replica.apply_evacuation(domain("a"), Offset(7), true, now);
    let server = server(1, "a");
    replica.apply_server(
        server.id.name().clone(),
        Offset(1),
        Some(server.clone()),
        Leaving::Unbounded,
    );
    replica.mark_servers_current(Offset(2), Some(now), true, now);
    assert!(!replica.view().may_send(&server.id, now, GRACE));
}

/// Guards against an evacuation that extends the drain deadline of a server that was draining already.
#[test]
fn a_draining_server_keeps_its_own_deadline() {
    let start = Instant::now();
    let mut replica = host(start);
    let mut leaving = server(1, "a");
    leaving.draining = true;
    let name = leaving.id.name().clone();
    replica.apply_server(name, Offset(4), Some(leaving.clone()), Leaving::Since(start));
    replica.mark_servers_current(Offset(5), Some(start), true, start);
    evacuate(&mut replica, 7, true, start);
    assert!(!replica.view().may_send(&leaving.id, start + GRACE.drained, GRACE));
}

/// Guards against a thundering herd on the servers of a failure domain whose evacuation has just ended.
#[test]
fn servers_get_a_slow_start_after_an_evacuation() {
    let start = Instant::now();
    let mut replica = host(start);
    evacuate(&mut replica, 7, true, start);
    let back = start + Duration::from_secs(8);
    evacuate(&mut replica, 9, false, back);
    let id = server(1, "a").id;
    assert!(replica.view().servers.takes_work(&id));
    let until: Vec<Instant> = replica.cold().map(|(_, _, until)| until).collect();
    assert_eq!(until, [back + Duration::from_secs(3)]);
    assert!(!replica.expire_cold_servers(back + Duration::from_millis(2900)));
    assert!(replica.expire_cold_servers(back + Duration::from_secs(3)));
    assert!(!replica.servers().get(&id).unwrap().is_cold());
}

/// Guards against hosts that don't read the store and never learn of an evacuation or of its end.
#[test]
fn evacuations_propagate_between_hosts_with_their_age() {
    let start = Instant::now();
    let (mut reader, mut other) = (host(start), host(start));
    let propagate = |reader: &StoreReplica, other: &mut StoreReplica, at: Instant| {
        let update = reader.update_for(&other.update_request(Duration::ZERO), Duration::ZERO, at);
        other.apply_update(update, at)
    };
    evacuate(&mut reader, 7, true, start + Duration::from_millis(100));
    let at = start + Duration::from_secs(1);
    assert!(propagate(&reader, &mut other, at).servers);
    let id = server(1, "a").id;
    assert!(!other.view().may_send(&id, start + Duration::from_millis(4700), GRACE));
    assert!(!propagate(&reader, &mut other, at).any(), "the evacuation was propagated twice");
    evacuate(&mut reader, 9, false, start + Duration::from_secs(6));
    assert!(propagate(&reader, &mut other, start + Duration::from_secs(7)).servers);
    let until: Vec<Instant> = other.cold().map(|(_, _, until)| until).collect();
    assert_eq!(until, [start + Duration::from_secs(9)]);
}

/// Guards against an evacuation that never ends because the store no longer has the change that removed it.
#[test]
fn a_whole_list_without_the_record_ends_an_evacuation() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    let apply = |of: &mut Evacuations, name, offset| {
        of.apply(domain(name), Offset(offset), true, Leaving::Since(now), now)
    };
    assert!(apply(&mut evacuations, "a", 3) && apply(&mut evacuations, "b", 4));
    assert!(evacuations.retain_listed(&[domain("b")], Offset(9), now));
    assert_eq!(evacuations.since(&domain("a")), None);
    assert_eq!(evacuations.returned(&domain("a")), Some(now));
    assert!(evacuations.since(&domain("b")).is_some());
    assert!(!apply(&mut evacuations, "a", 3), "a late record restored a removed evacuation");
}

/// Guards against requests to an evacuated domain after the store was restored from a copy without the operator's record.
#[test]
fn an_evacuation_outlasts_a_restore_that_lost_its_record() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    let at = |era, number| Offset::new(Era(era), number);
    assert!(evacuations.apply(domain("a"), at(1, 7), true, Leaving::Unbounded, now));
    assert!(!evacuations.retain_listed(&[], at(2, 5), now));
    assert!(evacuations.since(&domain("a")).is_some());
    // The operator's next record, at an offset that was given out before.
    assert!(evacuations.apply(domain("a"), at(2, 6), false, Leaving::Unbounded, now));
    assert!(evacuations.since(&domain("a")).is_none());
}
