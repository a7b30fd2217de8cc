//! Which hosts take the duty to grant, where hosts differ.

use std::time::{Duration, Instant};

use jacinthbeam_host::process::{membership::Standby, peers::HostEntry};
use jacinthbeam_types::prelude::*;

const LARGE: Millicores = Millicores(500);
const SMALL: Millicores = Millicores(100);

fn domain(n: usize) -> FailureDomain {
    format!("d{n}").parse().unwrap()
}

/// So many hosts of each kind in each of some failure domains.
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

const LATER: Duration = Duration::from_secs(2);

/// Half of the lookups of a large service are refused, since its keys have no owner, again and again for a second.
///
/// Of 83 hosts 75 have a tenth of a core. The duty to grant falls to one of them; it can't make the calls that renew 1,400 ranges, its right
/// lapses in the middle of its rounds, and holds run out. Eight hosts have five times as much and would do it in a fifth of their time.
#[test]
fn the_duty_is_left_to_hosts_with_more_processor() {
    let begun = Instant::now();
    let fleet = fleet(4, &[(2, LARGE), (19, SMALL)]);
    let standby = Standby::new(begun);
    assert!(stands_by(&standby, begun + LATER, SMALL, &fleet));
    assert!(!stands_by(&standby, begun + LATER, LARGE, &fleet));
}

/// Hosts that are all alike, or too few to choose from, take part as ever.
#[test]
fn hosts_that_are_alike_all_take_part() {
    let begun = Instant::now();
    let standby = Standby::new(begun);
    assert!(!stands_by(&standby, begun + LATER, SMALL, &fleet(3, &[(4, SMALL)])));
    assert!(!stands_by(&standby, begun + LATER, SMALL, &fleet(1, &[(1, LARGE), (3, SMALL)])));
    assert!(!stands_by(&standby, begun + LATER, SMALL, &[]));
}

/// All hosts with more processor stand in one failure domain, and the loss of that one must leave somebody with the duty.
#[test]
fn the_hosts_that_take_part_are_in_two_failure_domains() {
    let begun = Instant::now();
    let mut hosts = vec![(domain(0), LARGE); 8];
    hosts.extend(fleet(3, &[(5, SMALL)]));
    assert!(!stands_by(&Standby::new(begun), begun + LATER, SMALL, &hosts));
}

/// Every host with more processor is gone. Another takes the duty once nobody has been heard for some seconds, and gives it back when one
/// of them is heard again.
#[test]
fn a_host_with_less_stands_in_when_all_others_are_silent() {
    let begun = Instant::now();
    let fleet = fleet(4, &[(2, LARGE), (19, SMALL)]);
    let mut standby = Standby::new(begun);
    let word = begun + Duration::from_secs(20);
    standby.on_grantor_heartbeat(word);
    assert!(stands_by(&standby, word + Duration::from_secs(7), SMALL, &fleet));
    let late = word + Duration::from_secs(9);
    assert!(!stands_by(&standby, late, SMALL, &fleet));
    standby.on_grantor_heartbeat(late);
    assert!(stands_by(&standby, late, SMALL, &fleet));
}

/// A process that has just started knows one other host of 83, and would take itself for one of the best.
#[test]
fn a_host_that_knows_few_others_waits_to_meet_them() {
    let begun = Instant::now();
    let standby = Standby::new(begun);
    let few = fleet(1, &[(2, SMALL)]);
    assert!(stands_by(&standby, begun + Duration::from_millis(100), SMALL, &few));
    assert!(!stands_by(&standby, begun + LATER, SMALL, &few));
}

/// Entries that a version before this one left in the store say nothing of the processor, and must still be read.
#[test]
fn an_entry_without_the_processor_is_read() {
    let addr = "10.0.0.7:7540".parse().unwrap();
    let entry = HostEntry { addr, domain: domain(1), processor: LARGE };
    let bytes = entry.to_bytes();
    assert_eq!(HostEntry::from_bytes(&bytes).unwrap(), entry);
    let older = bincode::serde::encode_to_vec((addr, domain(1)), bincode::config::standard());
    let read = HostEntry::from_bytes(&older.unwrap()).unwrap();
    assert_eq!((read.addr, read.domain, read.processor), (addr, domain(1), Millicores(0)));
}
