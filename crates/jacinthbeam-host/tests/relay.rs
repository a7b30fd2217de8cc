//! Which hosts become relays, and how the entries of the others reach the list of hosts.

use std::time::{Duration, Instant};

use jacinthbeam_host::process::peers::{
    HostEntry,
    enrolment::Enrolments,
    relay::{self, DOUBLING_TIME, MIN_RELAYS},
};
use jacinthbeam_store::{Item, keyed::Changes};
use jacinthbeam_types::prelude::*;

fn entry(n: usize, domain: &str) -> HostEntry {
    HostEntry {
        addr: format!("127.0.0.1:{}", 1000 + n).parse().unwrap(),
        domain: domain.parse().unwrap(),
        processor: Millicores(100),
        relay: false,
    }
}

fn host(n: usize) -> HostId {
    format!("h{n}").parse().unwrap()
}

/// A list of relays, all of one failure domain.
fn relays(hosts: std::ops::Range<usize>, domain: &str) -> Changes {
    let item = |n: usize| Item {
        key: host(n).to_string(),
        value: entry(n, domain).to_bytes().into(),
        offset: Offset(n as u64),
    };
    Changes { items: hosts.map(item).collect(), end: Offset(100), whole: true }
}

/// Guards against all hosts of a large fleet appending their entries at the same moment.
#[test]
fn the_number_of_hosts_whose_turn_has_come_doubles() {
    let turns = |hosts: usize| {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut turns: Vec<_> =
            (0..hosts).map(|_| relay::turn(Millicores(100), rng.f64())).collect();
        turns.sort_unstable();
        turns
    };
    for hosts in [100, 1000, 3000] {
        let turns = turns(hosts);
        let early = turns.iter().filter(|turn| **turn < turns[0] + 2 * DOUBLING_TIME).count();
        assert!(early <= 24, "{early} of {hosts} within two doublings of the first");
        assert!(turns[hosts - 1] < Duration::from_millis(1600), "{:?}", turns[hosts - 1]);
    }
}

/// Guards against small hosts becoming relays before large ones.
#[test]
fn hosts_with_more_processor_come_first() {
    let latest = |processor| relay::turn(Millicores(processor), 1.0);
    let earliest = |processor| relay::turn(Millicores(processor), 0.0);
    assert!(latest(1000) < earliest(100));
    assert!(latest(4000) == latest(1000));
}

/// Guards against relays that grow with the fleet, and against a failure domain without enough of them.
#[test]
fn a_host_becomes_a_relay_only_if_its_domain_lacks_some() {
    let suffice = |relays: &Changes| relay::suffice(&host(50), &entry(50, "a"), relays);
    assert!(!suffice(&relays(0..MIN_RELAYS - 1, "a")));
    assert!(suffice(&relays(0..MIN_RELAYS, "a")));
    assert!(!suffice(&relays(0..20, "b")));
    assert!(suffice(&relays(50..51, "a")), "it is listed");
    assert!(!suffice(&relays(50..51, "b")), "its entry has changed");
}

/// Guards against an append for each host, and for each repetition of its entry.
#[test]
fn entries_are_written_once_and_together() {
    let mut enrolments = Enrolments::default();
    let now = Instant::now();
    for _ in 0..3 {
        (0..250).for_each(|n| enrolments.add(host(n), entry(n, "a"), now));
    }
    assert_eq!(enrolments.next_batch(200, now).len(), 200);
    assert_eq!(enrolments.next_batch(200, now).len(), 50);
    enrolments.add(host(1), entry(1, "a"), now + Duration::from_secs(1));
    assert!(enrolments.next_batch(200, now).is_empty());
    enrolments.add(host(1), entry(1, "b"), now + Duration::from_secs(1));
    assert_eq!(enrolments.next_batch(200, now).len(), 1, "a changed entry is written");
    enrolments.add(host(2), entry(2, "a"), now + Duration::from_secs(60));
    assert_eq!(enrolments.next_batch(200, now).len(), 1, "an entry that may be lost is repeated");
}
