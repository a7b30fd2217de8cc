//! Which ranks of a service are deferrable.

use std::time::Duration;

use jacinthbeam_admission::Classes;

fn classes(routes: &[(u32, u64)]) -> Classes {
    Classes::of(routes.iter().map(|(rank, ms)| (*rank, Duration::from_millis(*ms))))
}

fn deferrable(routes: &[(u32, u64)]) -> Vec<u32> {
    classes(routes).iter().filter(|(_, class)| class.deferrable).map(|(rank, _)| rank).collect()
}

#[test]
fn a_rank_is_deferrable_if_its_objective_is_twice_as_long_as_that_of_a_more_urgent_one() {
    assert_eq!(deferrable(&[(1, 600), (2, 5000)]), [2]);
    assert_eq!(deferrable(&[(1, 1000), (2, 2000)]), [2]);
    assert_eq!(deferrable(&[(0, 500), (1, 600), (2, 1000)]), [2]);
}

/// Guards against holding back requests that have no time to wait.
#[test]
fn a_rank_with_a_similar_or_shorter_objective_is_not_deferrable() {
    assert!(deferrable(&[(1, 1200), (2, 800)]).is_empty());
    assert!(deferrable(&[(1, 1200), (2, 2000)]).is_empty());
    assert!(deferrable(&[(0, 500), (1, 600)]).is_empty());
    assert!(deferrable(&[(2, 5000)]).is_empty());
}

#[test]
fn a_rank_has_the_shortest_objective_of_its_routes() {
    assert!(!classes(&[(1, 600), (2, 5000), (2, 800)]).has_deferrable());
}
