//! The preferred subset of a host.

use jacinthbeam_dispatch::subset::{Position, SUBSET_SIZE, is_in_subset};

fn subset(count: usize, position: Position) -> Vec<usize> {
    (0..count).filter(|at| is_in_subset(*at, count, position)).collect()
}

/// Guards against servers that are in no host's subset, and against some that are in those of most hosts.
#[test]
fn the_hosts_share_the_servers_evenly() {
    for (hosts, count) in [(26, 38), (59, 53), (27, 9), (4, 40), (100, 1000)] {
        let mut host_counts = vec![0_usize; count];
        for of in 0..hosts {
            let subset = subset(count, Position { index: of, hosts });
            assert_eq!(subset.len(), SUBSET_SIZE);
            subset.into_iter().for_each(|at| host_counts[at] += 1);
        }
        let fair = hosts as usize * SUBSET_SIZE / count;
        let even = host_counts.iter().all(|hosts| hosts.abs_diff(fair) <= fair / 2 + 1);
        assert!(even, "{hosts} hosts, {count} servers: {host_counts:?}");
    }
}

/// Guards against servers that are left out where there are few of them, or where the number of hosts is unknown.
#[test]
fn every_server_is_in_the_subset_where_there_are_few() {
    assert_eq!(subset(SUBSET_SIZE, Position { index: 3, hosts: 4 }).len(), SUBSET_SIZE);
    assert_eq!(subset(30, Position::default()).len(), 30);
}

/// Guards against a host whose observations all become useless when one server leaves.
#[test]
fn a_leaving_server_changes_the_subset_little() {
    let position = Position { index: 9, hosts: 26 };
    let (before, after) = (subset(38, position), subset(37, position));
    let kept = before.iter().filter(|at| after.contains(at)).count();
    assert!(kept + 2 >= SUBSET_SIZE, "{before:?} {after:?}");
}
