//! Which hosts are standbys for the duty to grant, by their share of a processor.

use std::time::{Duration, Instant};

use jacinthbeam_host::process::{membership::Standby, peers::HostEntry};
use jacinthbeam_types::prelude::*;

const LARGE: Millicores = Millicores(500);
const SMALL: Millicores = Millicores(100);

fn domain(n: usize) -> FailureDomain {
    format!("d{n}").parse().unwrap()
}

/// A fleet with the given number of hosts of each processor share in each failure domain.
fn fleet(domains: usize, kinds: &[(usize, Millicores)]) -> Vec<(FailureDomain, Millicores)> {
    let hosts = |n| kinds.iter().flat_map(move |(count, p)| vec![(domain(n), *p); *count]);
    (0..domains).flat_map(hosts).collect()
}

fn stands_by(
    standby: &Standby,
    at: Instant,
    own: Millicores,
    fleet: &[(FailureDomain, Millicores)],
) -> bool {
    standby.stands_by(at, own, fleet.iter().map(|(domain, processor)| (domain, *processor)))
}

/// A host that starts and has read a list of hosts.
fn started(at: Instant) -> Standby {
    let mut standby = Standby::new(at);
    standby.on_hosts_known();
    standby
}

const LATER: Duration = Duration::from_secs(2);

/// Guards against refusing half of the lookups of a large service, for a second again and again, because its keys have no owner.
///
/// Of 83 hosts 75 have a tenth of a core. If one of them has the duty to grant, it can't make the calls that renew 1,400 ranges: its right to
/// grant expires in the middle of a round, and holds expire. Eight hosts have five times as much processor and need a fifth of their time for
/// it.
#[test]
fn the_duty_is_left_to_hosts_with_more_processor() {
    let begun = Instant::now();
    let fleet = fleet(4, &[(2, LARGE), (19, SMALL)]);
    let standby = started(begun);
    assert!(stands_by(&standby, begun + LATER, SMALL, &fleet));
    assert!(!stands_by(&standby, begun + LATER, LARGE, &fleet));
}

/// Guards against standbys in a fleet of equal hosts, or of too few hosts to choose from.
#[test]
fn equal_hosts_all_take_duties() {
    let begun = Instant::now();
    let standby = started(begun);
    assert!(!stands_by(&standby, begun + LATER, SMALL, &fleet(3, &[(4, SMALL)])));
    assert!(!stands_by(&standby, begun + LATER, SMALL, &fleet(1, &[(1, LARGE), (3, SMALL)])));
    assert!(!stands_by(&standby, begun + LATER, SMALL, &[]));
}

/// Guards against losing all hosts with duties at once: all hosts with more processor are in one failure domain, so others must take duties too.
#[test]
fn hosts_with_duties_are_in_two_failure_domains() {
    let begun = Instant::now();
    let mut hosts = vec![(domain(0), LARGE); 8];
    hosts.extend(fleet(3, &[(5, SMALL)]));
    assert!(!stands_by(&started(begun), begun + LATER, SMALL, &hosts));
}

/// Guards against keys without a granting host after the loss of every host with more processor: a standby takes duties after some seconds
/// without a heartbeat, and becomes a standby again with the next heartbeat.
#[test]
fn a_standby_takes_duties_without_heartbeats() {
    let begun = Instant::now();
    let fleet = fleet(4, &[(2, LARGE), (19, SMALL)]);
    let mut standby = started(begun);
    let heartbeat = begun + Duration::from_secs(20);
    standby.on_grantor_heartbeat(heartbeat);
    assert!(stands_by(&standby, heartbeat + Duration::from_secs(7), SMALL, &fleet));
    let late = heartbeat + Duration::from_secs(9);
    assert!(!stands_by(&standby, late, SMALL, &fleet));
    standby.on_grantor_heartbeat(late);
    assert!(stands_by(&standby, late, SMALL, &fleet));
}

/// Guards against a wrong choice right after the start: a process that knows one other host of 83 would count itself among the largest.
#[test]
fn a_host_that_knows_few_others_is_a_standby_at_first() {
    let begun = Instant::now();
    let standby = started(begun);
    let few = fleet(1, &[(2, SMALL)]);
    assert!(stands_by(&standby, begun + Duration::from_millis(100), SMALL, &few));
    assert!(!stands_by(&standby, begun + LATER, SMALL, &few));
}

/// Guards against unreadable host entries after an upgrade: entries written by an earlier version lack the processor share.
#[test]
fn an_entry_without_the_processor_is_read() {
    let addr = "10.0.0.7:7540".parse().unwrap();
    let entry = HostEntry { addr, domain: domain(1), processor: LARGE, relay: false };
    let bytes = entry.to_bytes();
    assert_eq!(HostEntry::from_bytes(&bytes).unwrap(), entry);
    let older = bincode::serde::encode_to_vec((addr, domain(1)), bincode::config::standard());
    let read = HostEntry::from_bytes(&older.unwrap()).unwrap();
    assert_eq!((read.addr, read.domain, read.processor), (addr, domain(1), Millicores(0)));
}

/// Guards against all hosts of a fleet joining the group that assigns duties at their start, before they have read a list of hosts: 197 of 204
/// small hosts joined it, and each join cost a call.
#[test]
fn a_host_that_knows_no_list_of_hosts_is_a_standby() {
    let begun = Instant::now();
    let mut standby = Standby::new(begun);
    assert!(stands_by(&standby, begun + LATER, SMALL, &[]));
    standby.on_hosts_known();
    assert!(!stands_by(&standby, begun + LATER, SMALL, &[]));
}
