//! What a change of one server costs a host that knows thousands of them.

use std::time::{Duration, Instant};

use jacinthbeam_host::{process::replica::StoreReplica, version::Leaving};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

fn server(n: usize, warmup_left: Duration) -> Server {
    Server {
        id: format!("i-{n:05}").parse().unwrap(),
        service: "tilecast".parse().unwrap(),
        addr: "127.0.0.1:80".parse().unwrap(),
        domain: format!("d{}", n % 5).parse().unwrap(),
        slots: 3,
        draining: false,
        warmup_left,
        cold_rate: None,
    }
}

/// A replica of `servers` servers that start cold, one record each.
fn replica(servers: usize, now: Instant) -> StoreReplica {
    let mut replica = StoreReplica::default();
    for n in 0..servers {
        let server = server(n, Duration::from_secs(3));
        let name = server.id.name().clone();
        replica.apply_server(name, Offset(n as u64), Some(server), Leaving::Unbounded);
    }
    replica.mark_servers_current(Offset(servers as u64), Some(now), true, now);
    replica
}

/// Guards against an answer to a follower containing what the follower has, or lacking one of several servers that a complete list lacked.
#[test]
fn an_update_contains_only_what_the_follower_lacks() {
    let now = Instant::now();
    let mut source = replica(3000, now);
    let mut follower = StoreReplica::default();
    let request = follower.update_request(Duration::ZERO);
    let update = source.update_for(&request, Duration::ZERO, now);
    assert_eq!(update.servers.len(), 3000);
    follower.apply_update(update, now);
    assert_eq!(follower.servers(), source.servers());

    let listed: Vec<String> = (2..3000).map(|n| format!("i-{n:05}")).collect();
    let listed: Vec<&str> = listed.iter().map(String::as_str).collect();
    assert!(source.remove_unlisted(&listed, Offset(3100), Leaving::Since(now)));
    source.mark_servers_current(Offset(3100), Some(now), true, now);
    let request = follower.update_request(Duration::ZERO);
    let update = source.update_for(&request, Duration::ZERO, now);
    assert_eq!(update.servers.len(), 2);
    follower.apply_update(update, now);
    assert_eq!(follower.servers(), source.servers());
    assert_eq!(follower.servers().iter().count(), 2998);
}

/// Guards against servers staying cold, or leaving the list, when their entries are replaced one by one.
#[test]
fn servers_become_warm_without_a_new_record() {
    let now = Instant::now();
    let mut replica = replica(300, now);
    let cold = |replica: &StoreReplica| replica.servers().iter().filter(|s| s.is_cold()).count();
    assert_eq!(cold(&replica), 300);
    assert!(!replica.expire_cold_servers(now + Duration::from_secs(2)));
    let renewed = server(7, Duration::from_secs(9));
    let name = renewed.id.name().clone();
    replica.apply_server(name, Offset(400), Some(renewed), Leaving::Unbounded);
    replica.mark_servers_current(Offset(401), Some(now), true, now);
    assert!(replica.expire_cold_servers(now + Duration::from_secs(3)));
    assert_eq!((cold(&replica), replica.servers().iter().count()), (1, 300));
}
