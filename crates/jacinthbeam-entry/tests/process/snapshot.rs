use std::time::{Duration, Instant};

use jacinthbeam_entry::process::control::snapshot::{Pace, rank};
use jacinthbeam_native::format::hosts::{EntryHost, HostList};
use jacinthbeam_types::prelude::*;

const HOSTS: usize = 2000;
/// Records that the stream holds.
const NEXT: Offset = Offset(100);

fn list() -> HostList {
    let host = |n: usize| EntryHost {
        id: format!("entry-{n}").parse().expect("a name"),
        cell: "a".parse().expect("a name"),
        peer_address: ([10, 0, (n >> 8) as u8, n as u8], 8081).into(),
        leaving: false,
    };
    HostList { entry_hosts: (0..HOSTS).map(host).collect(), backend_servers: Vec::new() }
}

/// Paces of all hosts, by rank.
fn paces(now: Instant) -> Vec<Pace> {
    let list = list();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut ranked: Vec<(usize, Pace)> = Vec::new();
    for host in &list.entry_hosts {
        let mut pace = Pace::new(now, rng.f64());
        let rank = rank(&list, &host.id);
        pace.ranked(rank);
        ranked.push((rank, pace));
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, pace)| pace).collect()
}

/// Seconds until each of some hosts is due, if no snapshot is seen.
fn due(paces: &[Pace], start: Instant) -> Vec<u64> {
    let of = |pace: &Pace| (0..).find(|s| pace.is_due(start + Duration::from_secs(*s), NEXT));
    paces.iter().map(|pace| of(pace).expect("it is due at some time")).collect()
}

// The log fills with copies of the state. Many hosts wait for about as long; the first one appends, and until its parts have
// been written and read, every host whose wait ends meanwhile appends its own. Ranked hosts leave it to two of them.
#[test]
fn two_hosts_of_a_fleet_append_while_the_first_snapshot_is_on_its_way() {
    let start = Instant::now();
    let mut due = due(&paces(start), start);
    due.sort();
    let read_after = due[0] + 10;
    let appended = due.iter().filter(|at| **at <= read_after).count();
    assert!(appended <= 2, "{appended} hosts appended: {:?}", &due[..10]);
}

// Nobody appends and records expire. The hosts that should append are gone or cut off from the log, but still listed; the next
// ones take over, and the last ones well before the retention of hours ends.
#[test]
fn the_next_hosts_append_when_the_first_ones_do_not() {
    let start = Instant::now();
    let due = due(&paces(start), start);
    assert!(due[..2].iter().all(|at| *at <= 300));
    assert!(due[2] > 300 && due[2] <= 450, "{}", due[2]);
    assert!(due[3] > 450 && due[3] <= 600, "{}", due[3]);
    assert!(due.iter().all(|at| *at <= 3600));
}

#[test]
fn a_host_without_a_list_counts_as_the_first() {
    let host = "entry-5".parse().expect("a name");
    assert_eq!(rank(&HostList::default(), &host), 0);
}

#[test]
fn each_host_of_a_list_has_a_rank_of_its_own() {
    let list = list();
    let mut ranks: Vec<usize> = list.entry_hosts.iter().map(|host| rank(&list, &host.id)).collect();
    ranks.sort();
    assert!(ranks.into_iter().eq(0..HOSTS));
}
