//! A service with more servers than its map can name.

use std::{collections::BTreeSet, time::Duration};

use jacinthbeam_range::{Event, KeyRange, Map, Owner, owners};
use jacinthbeam_types::prelude::*;

use crate::harness::*;

/// Largest record of the store in the test.
const RECORD: Bytes = Bytes(256 << 10);

fn owner(n: usize) -> Owner {
    let id = format!("i-{n:08x}~1790000000000");
    Owner { server: id.parse().unwrap(), addr: "10.201.33.44:51234".parse().unwrap() }
}

/// Guards against a map that the store doesn't take: 5,464 servers owned keys, no record of them fitted, and no key had an owner.
#[test]
fn a_map_of_the_most_owners_fits_into_a_record() {
    let owners = owners::max_owners(RECORD);
    assert!(owners >= 700, "{owners} owners");
    let mut map = Map::unowned();
    let ranges = KeyRange::ALL.split_evenly(4 * owners as u32);
    for (n, range) in ranges.into_iter().enumerate() {
        let handover = Some("5c0e7a21d94b36f8".into());
        map.assign(range, Some(owner(n % owners)), Token(1 << 40), handover);
    }
    let all: BTreeSet<ServerId> = map.owners();
    map.rivals = vec![all.clone(), all];
    let bytes = map.to_bytes().len() as u64;
    assert!(bytes <= RECORD.0, "{bytes} bytes for {owners} owners");
}

/// Guards against keys without an owner while the servers of a large fleet start: their list changes for half a minute.
#[test]
fn keys_are_assigned_as_soon_as_there_are_enough_servers() {
    let mut harness = Harness::with_servers(0, 1, None, &[]);
    harness.servers_stable = false;
    harness.max_owners = 5;
    for n in 1..5 {
        harness.servers.insert(server(n, false));
        harness.run(TICK);
        assert!(!harness.grantor.leads(), "with {n} servers");
    }
    harness.servers.insert(server(5, false));
    harness.run(TICK);
    assert!(harness.grantor.leads());
}

/// Guards against a map that grows beyond a record while servers leave and others take their keys.
#[test]
fn a_leaving_owner_is_replaced_by_a_server_without_keys() {
    let mut harness = Harness::with_servers(0, 1, None, &[]);
    harness.max_owners = 5;
    for n in 1..=20 {
        harness.servers.insert(server(n, false));
    }
    harness.feed(Event::Tick);
    harness.run(Duration::from_secs(2));
    let first = harness.map.as_ref().unwrap().owners();
    assert_eq!(first.len(), 5);
    for leaving in &first {
        let entry = harness.servers.get(leaving).unwrap().clone();
        harness.servers.insert(jacinthbeam_route::Server { draining: true, ..entry });
        harness.run(Duration::from_secs(12));
        let owners = harness.map.as_ref().unwrap().owners();
        assert!(!owners.contains(leaving) && owners.len() <= 5, "{owners:?}");
    }
    let last = harness.map.as_ref().unwrap().owners();
    assert!(last.is_disjoint(&first), "{last:?}");
    assert_eq!(harness.map.as_ref().unwrap().unowned_keys(), 0);
}

/// Guards against hosts with the same list selecting different owners, or only servers of one failure domain.
#[test]
fn owners_are_selected_alike_and_from_all_domains() {
    let servers: Vec<_> = (0..2000)
        .map(|n| jacinthbeam_route::Server {
            domain: format!("d{}", n / 400).parse().unwrap(),
            ..server(n, false)
        })
        .collect();
    let none = BTreeSet::new();
    let selected = owners::select(servers.iter(), &none, 500);
    assert_eq!(selected, owners::select(servers.iter().rev(), &none, 500));
    for n in 0..5 {
        let domain = format!("d{n}");
        let count = selected.iter().filter(|server| server.domain.as_str() == domain).count();
        assert!((60..=140).contains(&count), "{count} in {domain}");
    }
    let present: BTreeSet<&ServerId> = servers[..300].iter().map(|server| &server.id).collect();
    let selected = owners::select(servers.iter(), &present, 500);
    let kept = selected.iter().filter(|server| present.contains(&server.id)).count();
    assert_eq!((selected.len(), kept), (500, 300));
}
