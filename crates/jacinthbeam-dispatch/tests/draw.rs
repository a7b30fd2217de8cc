//! The servers that are considered for one request of a service with thousands of them.

use std::collections::BTreeSet;

use jacinthbeam_dispatch::subset::{Position, SUBSET_SIZE, draw};

fn drawn(near: usize, far: usize, position: Position, seed: u64) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(seed);
    draw(near, far, position, |below| rng.usize(..below))
}

/// Guards against the effort of a request growing with its service: a host of a tenth of a core took tens of milliseconds to look at
/// thousands of servers.
#[test]
fn the_number_of_considered_servers_does_not_grow_with_the_service() {
    let position = Position { index: 7, hosts: 190 };
    for servers in [300, 3000, 30_000] {
        let drawn = drawn(servers / 5, servers * 4 / 5, position, 1);
        assert!((SUBSET_SIZE..=24).contains(&drawn.len()), "{}", drawn.len());
        assert!(drawn.iter().all(|at| *at < servers));
        assert_eq!(drawn.iter().collect::<BTreeSet<_>>().len(), drawn.len());
    }
}

/// Guards against all hosts preferring the same servers: the subsets of a failure domain's hosts cover its servers evenly.
#[test]
fn subsets_of_the_hosts_cover_all_near_servers() {
    let (servers, hosts) = (655, 200);
    let subset = |index| {
        let position = Position { index, hosts };
        drawn(servers, 2570, position, u64::from(index)).into_iter().take(SUBSET_SIZE)
    };
    let mut uses = vec![0; servers];
    (0..hosts).flat_map(subset).for_each(|at| uses[at] += 1);
    assert!(uses.iter().all(|uses| (1..=4).contains(uses)), "{uses:?}");
}

/// Guards against a service without servers near the host, or without any, being drawn from an empty list.
#[test]
fn services_without_near_servers_are_drawn_from_the_others() {
    let position = Position { index: 3, hosts: 10 };
    assert_eq!(drawn(0, 0, position, 1), Vec::<usize>::new());
    assert!(drawn(0, 400, position, 1).len() >= SUBSET_SIZE);
    assert!(drawn(400, 0, Position::default(), 1).len() >= SUBSET_SIZE);
}
