//! Which servers a host asks first.

use jacinthbeam_dispatch::subset::{Position, SUBSET_SIZE, is_in_subset};

fn asked(count: usize, place: Position) -> Vec<usize> {
    (0..count).filter(|at| is_in_subset(*at, count, place)).collect()
}

/// Guards against servers that no host asks first, and against some that most hosts ask.
#[test]
fn the_hosts_share_the_servers_evenly() {
    for (hosts, count) in [(26, 38), (59, 53), (27, 9), (4, 40), (100, 1000)] {
        let mut askers = vec![0_usize; count];
        for of in 0..hosts {
            let asked = asked(count, Position { index: of, hosts });
            assert_eq!(asked.len(), SUBSET_SIZE);
            asked.into_iter().for_each(|at| askers[at] += 1);
        }
        let fair = hosts as usize * SUBSET_SIZE / count;
        let even = askers.iter().all(|askers| askers.abs_diff(fair) <= fair / 2 + 1);
        assert!(even, "{hosts} hosts, {count} servers: {askers:?}");
    }
}

/// Guards against hosts of a small domain, or that know of no others, which would leave servers out.
#[test]
fn every_server_is_asked_where_there_are_few() {
    assert_eq!(asked(SUBSET_SIZE, Position { index: 3, hosts: 4 }).len(), SUBSET_SIZE);
    assert_eq!(asked(30, Position::default()).len(), 30);
}

/// Guards against a host that loses what it has seen of all its servers when one leaves.
#[test]
fn a_server_that_leaves_changes_little() {
    let place = Position { index: 9, hosts: 26 };
    let (before, after) = (asked(38, place), asked(37, place));
    let kept = before.iter().filter(|at| after.contains(at)).count();
    assert!(kept + 2 >= SUBSET_SIZE, "{before:?} {after:?}");
}
