//! Evacuations of failure domains, as a host knows them and makes them act.

use std::time::{Duration, Instant};

use jacinthbeam_host::{
    process::{evacuation::Evacuations, replica::StoreReplica},
    version::{Grace, Leaving},
};
use jacinthbeam_route::{Config, Server, Service, SlowStart};
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
    };
    let services = [("tiles".parse().unwrap(), service)].into();
    Config { version: ConfigVersion(1), services, ..Config::default() }
}

/// A host that has read a server of each of two domains at `now`.
fn host(now: Instant) -> StoreReplica {
    let mut known = StoreReplica::default();
    known.apply_config(config());
    known.mark_config_current(now);
    for (n, of) in [(1, "a"), (2, "b")] {
        let server = server(n, of);
        let name = server.id.name().clone();
        known.apply_server(name, Offset(n.into()), Some(server), Leaving::Since(now));
    }
    known.mark_servers_current(Offset(3), Some(now), true, now);
    known
}

fn evacuate(known: &mut StoreReplica, offset: u64, evacuated: bool, now: Instant) {
    assert!(known.apply_evacuation(domain("a"), Offset(offset), evacuated, now));
    known.on_operator_changed(now);
}

/// Guards against requests that reach a failure domain after the bound of its evacuation.
#[test]
fn servers_of_an_evacuated_domain_get_nothing_after_the_bound() {
    let begun = Instant::now();
    let mut known = host(begun);
    let heard = begun + Duration::from_millis(800);
    evacuate(&mut known, 7, true, heard);
    let (view, [a, b]) = (known.view(), [server(1, "a").id, server(2, "b").id]);
    assert!(!view.servers.takes_work(&a) && view.servers.takes_work(&b));
    // The word may be as old as the read before it.
    assert!(view.may_send(&a, begun + Duration::from_millis(4600), GRACE));
    assert!(!view.may_send(&a, begun + Duration::from_millis(4700), GRACE));
    assert!(view.may_send(&b, begun + Duration::from_secs(60), GRACE));
}

/// Guards against a host that starts during an evacuation and knows no bound of it.
#[test]
fn a_host_that_cannot_know_since_when_sends_nothing() {
    let now = Instant::now();
    let mut known = StoreReplica::default();
    known.apply_evacuation(domain("a"), Offset(7), true, now);
    let server = server(1, "a");
    known.apply_server(
        server.id.name().clone(),
        Offset(1),
        Some(server.clone()),
        Leaving::Unbounded,
    );
    known.mark_servers_current(Offset(2), Some(now), true, now);
    assert!(!known.view().may_send(&server.id, now, GRACE));
}

/// Guards against a drain bound that an evacuation of the same domain stretches.
#[test]
fn a_server_that_leaves_by_itself_keeps_its_own_bound() {
    let begun = Instant::now();
    let mut known = host(begun);
    let mut leaving = server(1, "a");
    leaving.draining = true;
    let name = leaving.id.name().clone();
    known.apply_server(name, Offset(4), Some(leaving.clone()), Leaving::Since(begun));
    known.mark_servers_current(Offset(5), Some(begun), true, begun);
    evacuate(&mut known, 7, true, begun);
    assert!(!known.view().may_send(&leaving.id, begun + GRACE.drained, GRACE));
}

/// Guards against a herd on the servers of a failure domain that has just been taken back.
#[test]
fn servers_of_a_domain_that_is_back_are_cold_for_their_time() {
    let begun = Instant::now();
    let mut known = host(begun);
    evacuate(&mut known, 7, true, begun);
    let back = begun + Duration::from_secs(8);
    evacuate(&mut known, 9, false, back);
    let id = server(1, "a").id;
    assert!(known.view().servers.takes_work(&id));
    let until: Vec<Instant> = known.cold().map(|(_, _, until)| until).collect();
    assert_eq!(until, [back + Duration::from_secs(3)]);
    assert!(!known.expire_cold_servers(back + Duration::from_millis(2900)));
    assert!(known.expire_cold_servers(back + Duration::from_secs(3)));
    assert!(!known.servers().get(&id).unwrap().is_cold());
}

/// Guards against hosts that never hear of an evacuation, or of its end, since they don't read the store.
#[test]
fn evacuations_propagate_between_hosts_with_their_age() {
    let begun = Instant::now();
    let (mut reader, mut other) = (host(begun), host(begun));
    let propagate = |reader: &StoreReplica, other: &mut StoreReplica, at: Instant| {
        let update = reader.update_for(&other.update_request(Duration::ZERO), Duration::ZERO, at);
        other.apply_update(update, at)
    };
    evacuate(&mut reader, 7, true, begun + Duration::from_millis(100));
    let at = begun + Duration::from_secs(1);
    assert!(propagate(&reader, &mut other, at).servers);
    let id = server(1, "a").id;
    assert!(!other.view().may_send(&id, begun + Duration::from_millis(4700), GRACE));
    assert!(!propagate(&reader, &mut other, at).any(), "it is told once");
    evacuate(&mut reader, 9, false, begun + Duration::from_secs(6));
    assert!(propagate(&reader, &mut other, begun + Duration::from_secs(7)).servers);
    let until: Vec<Instant> = other.cold().map(|(_, _, until)| until).collect();
    assert_eq!(until, [begun + Duration::from_secs(9)]);
}

/// Guards against an evacuation whose removal was lost with the history of the store.
#[test]
fn a_whole_list_without_the_record_ends_an_evacuation() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    let take = |of: &mut Evacuations, name, offset| {
        of.take(domain(name), Offset(offset), true, Leaving::Since(now), now)
    };
    assert!(take(&mut evacuations, "a", 3) && take(&mut evacuations, "b", 4));
    assert!(evacuations.retain_listed(&[domain("b")], Offset(9), now));
    assert_eq!(evacuations.since(&domain("a")), None);
    assert_eq!(evacuations.returned(&domain("a")), Some(now));
    assert!(evacuations.since(&domain("b")).is_some());
    assert!(!take(&mut evacuations, "a", 3), "a late record brings it back");
}
