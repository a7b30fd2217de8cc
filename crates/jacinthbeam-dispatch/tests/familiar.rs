//! Which servers a host asks first.

use jacinthbeam_dispatch::familiar::{FEW, Place, is_familiar};

fn asked(count: usize, place: Place) -> Vec<usize> {
    (0..count).filter(|at| is_familiar(*at, count, place)).collect()
}

/// Guards against servers that no host asks first, and against some that most hosts ask.
#[test]
fn the_hosts_share_the_servers_evenly() {
    for (hosts, count) in [(26, 38), (59, 53), (27, 9), (4, 40), (100, 1000)] {
        let mut askers = vec![0_usize; count];
        for of in 0..hosts {
            let asked = asked(count, Place { of, among: hosts });
            assert_eq!(asked.len(), FEW);
            asked.into_iter().for_each(|at| askers[at] += 1);
        }
        let fair = hosts as usize * FEW / count;
        let even = askers.iter().all(|askers| askers.abs_diff(fair) <= fair / 2 + 1);
        assert!(even, "{hosts} hosts, {count} servers: {askers:?}");
    }
}

/// Guards against hosts of a small domain, or that know of no others, which would leave servers out.
#[test]
fn every_server_is_asked_where_there_are_few() {
    assert_eq!(asked(FEW, Place { of: 3, among: 4 }).len(), FEW);
    assert_eq!(asked(30, Place::default()).len(), 30);
}

/// Guards against a host that loses what it has seen of all its servers when one leaves.
#[test]
fn a_server_that_leaves_changes_little() {
    let place = Place { of: 9, among: 26 };
    let (before, after) = (asked(38, place), asked(37, place));
    let kept = before.iter().filter(|at| after.contains(at)).count();
    assert!(kept + 2 >= FEW, "{before:?} {after:?}");
}
