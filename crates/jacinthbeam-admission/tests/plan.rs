//! The plan for loads of one or more failure domains.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_admission::{
    Classes, Plan,
    plan::{DomainLoad, RankLoad, compute},
};

fn classes() -> Classes {
    let millis = Duration::from_millis;
    Classes::of([(1, millis(600)), (2, millis(5000)), (3, millis(9000))].into_iter())
}

fn rank(arrival_rate: f32, waiting: u32, in_flight: u32) -> RankLoad {
    let service_time = Duration::from_secs(1);
    RankLoad { arrival_rate, waiting, in_flight, answer_rate: arrival_rate, service_time }
}

fn plan(slots: u32, ranks: &[(u32, RankLoad)]) -> Plan {
    let load = DomainLoad { ranks: ranks.iter().copied().collect(), slots, busy_slots: slots / 2 };
    compute(&BTreeMap::from([("a".parse().unwrap(), load)]), &classes())
}

/// Guards against a plan that leaves no slots to urgent requests, or that gives the same slots to two deferrable ranks.
#[test]
fn deferrable_ranks_get_the_slots_that_more_urgent_ones_leave() {
    let plan =
        plan(100, &[(1, rank(50.0, 0, 45)), (2, rank(30.0, 0, 30)), (3, rank(100.0, 0, 10))]);
    assert!(!plan.ranks.contains_key(&1), "an urgent rank is limited");
    // Three times the root of 45 slots stay free: 34.9 are left for rank 2, of which it uses 30, and 4.9 for rank 3.
    assert!((plan.ranks[&2].share - (34.9 + 4.9 / 0.8) / 30.0).abs() < 0.01, "{plan:?}");
    assert!((plan.ranks[&3].share - 0.25).abs() < 0.01, "{plan:?}");
}

/// Guards against a deferrable rank that is never served while more urgent requests use all slots.
#[test]
fn no_rank_is_starved() {
    let ranks = [(2, rank(100.0, 400, 0)), (3, rank(9.0, 0, 0))];
    let plan = plan(100, &[(1, rank(200.0, 0, 300)), ranks[0], ranks[1]]);
    for (number, load) in ranks {
        let demand = load.arrival_rate + load.waiting as f32;
        let start_rate = plan.ranks[&number].share * demand;
        assert!((start_rate - load.arrival_rate / 4.0).abs() < 0.01, "{plan:?}");
    }
    assert_eq!(plan.ranks[&2].waiting, 400);
}

/// Guards against a rank with few requests that gets less than a quarter of its demand, or whose first requests are refused because the plan
/// knows of none.
#[test]
fn a_rank_with_few_requests_is_not_starved() {
    for arrival_rate in [0.0, 0.1, 0.9] {
        let plan = plan(100, &[(1, rank(200.0, 0, 300)), (2, rank(arrival_rate, 0, 1))]);
        assert!((plan.ranks[&2].share - 0.25).abs() < 0.01, "{plan:?}");
    }
}

/// Guards against work that is held back although there is room for all of it.
#[test]
fn nothing_is_held_back_at_low_load() {
    let plan = plan(100, &[(1, rank(20.0, 0, 20)), (2, rank(20.0, 0, 20))]);
    assert!(plan.ranks.values().all(|rank| rank.share >= 1.0), "{plan:?}");
    assert_eq!(plan.free.values().copied().collect::<Vec<_>>(), [0.5]);
}

/// Guards against hosts that stop all deferrable work because no slot is known, for instance while all servers are cold. Without a plan they
/// limit it by their own counts.
#[test]
fn a_fleet_without_slots_has_no_plan() {
    assert!(plan(0, &[(2, rank(20.0, 5, 0))]).ranks.is_empty());
}

/// Guards against a share that isn't a number, after a datagram with an invalid rate.
#[test]
fn invalid_rates_are_ignored() {
    for rate in [f32::NAN, f32::INFINITY, -1.0] {
        let plan = plan(10, &[(2, rank(rate, 0, 0))]);
        assert!(plan.ranks[&2].share.is_finite(), "{plan:?}");
    }
}

/// Guards against a plan that counts only the load of one failure domain.
#[test]
fn the_loads_of_all_domains_are_added_up() {
    let load = |arrivals| DomainLoad {
        ranks: BTreeMap::from([(2, rank(arrivals, 0, 17))]),
        slots: 20,
        busy_slots: 17,
    };
    let both = [("a", load(10.0)), ("b", load(30.0))];
    let both = both.map(|(domain, load)| (domain.parse().unwrap(), load));
    let plan = compute(&BTreeMap::from(both), &classes());
    // A twentieth of the 40 slots stays free, and 34 are in use.
    assert!((plan.ranks[&2].share - (38.0 + 4.0 / 0.8) / 40.0).abs() < 0.01, "{plan:?}");
}
