//! Whether a host counts as partitioned from the backend servers.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::reachability::{Probed, Reachability};
use jacinthbeam_types::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const NONE_REACHED: Probed = Probed { servers: 3, reached: 0 };

fn server(n: usize) -> ServerId {
    format!("i-{n}").parse().unwrap()
}

/// Two servers could not be reached.
fn suspicious(now: Instant) -> Reachability {
    let mut reachability = Reachability::default();
    reachability.on_unreachable(&server(0), now);
    reachability.on_unreachable(&server(1), now);
    reachability
}

fn partitioned(now: Instant) -> Reachability {
    let mut reachability = suspicious(now);
    assert!(reachability.begin_round(now));
    assert!(reachability.on_probed(NONE_REACHED, now));
    assert!(reachability.is_partitioned());
    reachability
}

/// Guards against a host that takes the crash of one server for a partition of its own.
#[test]
fn one_server_that_is_down_does_not_raise_suspicion() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    for n in 0..20 {
        reachability.on_unreachable(&server(0), now + SECOND * n / 10);
    }
    assert!(!reachability.is_suspected(now + SECOND * 2));
    assert!(!reachability.begin_round(now + SECOND * 2));
}

/// Guards against a service whose servers are all down being taken for a partition while other servers accept connections.
#[test]
fn a_host_that_reaches_any_probed_server_is_not_partitioned() {
    let now = Instant::now();
    let mut reachability = suspicious(now);
    assert!(reachability.begin_round(now));
    assert!(!reachability.on_probed(Probed { servers: 3, reached: 1 }, now));
    assert!(!reachability.is_partitioned());
}

#[test]
fn a_connection_ends_the_suspicion() {
    let now = Instant::now();
    let mut reachability = suspicious(now);
    reachability.on_connected(&server(2), now);
    assert!(!reachability.is_suspected(now));
}

/// Guards against failures that lie far apart adding up to a suspicion.
#[test]
fn old_failures_do_not_count() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.on_unreachable(&server(0), now);
    reachability.on_unreachable(&server(1), now + SECOND * 5);
    assert!(!reachability.is_suspected(now + SECOND * 5));
}

/// Guards against requests being forwarded for ever after a false or a healed partition, and against probes without end.
#[test]
fn a_partition_ends_when_most_probed_servers_accept() {
    let start = Instant::now();
    let mut reachability = partitioned(start);
    assert!(!reachability.begin_round(start + SECOND / 10), "rounds are paced");
    let now = start + SECOND;
    assert!(reachability.begin_round(now));
    assert!(!reachability.begin_round(now + SECOND), "one round at a time");
    assert!(!reachability.on_probed(Probed { servers: 3, reached: 1 }, now));
    assert!(reachability.is_partitioned());
    assert!(reachability.begin_round(now + SECOND));
    assert!(reachability.on_probed(Probed { servers: 3, reached: 2 }, now + SECOND));
    assert!(!reachability.is_partitioned());
    assert!(!reachability.begin_round(now + SECOND * 2));
}

/// Guards against a server being taken for crashed by a host that reaches no server.
#[test]
fn only_another_server_shows_that_the_network_is_up() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.on_connected(&server(1), now);
    reachability.on_connected(&server(0), now + SECOND);
    assert!(!reachability.has_reached_other(&server(0), now + SECOND));
    assert!(reachability.has_reached_other(&server(0), now));
    assert!(reachability.has_reached_other(&server(2), now + SECOND));
}
