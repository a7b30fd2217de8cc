//! Changes of the set of witnesses.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_lease::{
    Members, Timing,
    membership::Heard,
    witnesses::{Planner, SETTLE},
};
use jacinthbeam_state::Record;
use jacinthbeam_types::prelude::*;

use crate::support::{World, heard, name};

/// Host d was replaced by e. After a while the first host by rendezvous proposes e in its place, and needs
/// two of the old four to retire, so that no two of them can renew a lease by the old set.
#[test]
fn a_lost_witness_is_replaced_once_enough_old_ones_retire() {
    let state = World::new(4, 3, "", 1).state;
    let cell: CellId = name("kamloops-a");
    let hosts = [("a", 100), ("b", 101), ("c", 102), ("e", 200)];
    let start = Instant::now();
    let plans = hosts.map(|(host, life)| {
        let mut members = Members::new(start, heard(host, life), &Timing::default());
        let mut planner = Planner::new(cell.clone());
        let mut plan = |at, members: &mut Members, is_fresh| {
            hosts.iter().for_each(|(host, life)| members.hear(at, heard(host, *life)));
            planner.plan(at, &state, members, is_fresh)
        };
        assert_eq!(plan(start, &mut members, true), None, "not before it is sure");
        let later = start + SETTLE;
        let settled = plan(later, &mut members, true);
        assert_eq!(plan(later + Duration::from_secs(1), &mut members, false), None, "log is away");
        settled
    });
    let plans: Vec<_> = plans.into_iter().flatten().collect();
    assert_eq!(plans.len(), 1, "one host makes the change");
    let plan = &plans[0];
    assert_eq!((plan.needed, plan.ask.len()), (2, 3));
    assert!(plan.members.iter().any(|member| member.incarnation == Incarnation(200)));
    assert_eq!(plan.record(&BTreeSet::from([Incarnation(100)])), None);
    assert!(plan.record(&(100..=101).map(Incarnation).collect()).is_some());
}

/// Three of four hosts are replaced faster than the set can follow. Each promised, before it
/// stopped, to vouch no more. Only one member of the old set still lives, too few to change it;
/// with the promises of those that have gone the set changes all the same.
#[test]
fn hosts_that_stopped_as_planned_do_not_block_a_change() {
    let state = World::new(4, 3, "", 1).state;
    let cell: CellId = name("kamloops-a");
    let epoch = state.cells[&cell].epoch;
    let hosts = [("a", 100), ("e", 200), ("f", 201), ("g", 202)];
    let start = Instant::now();
    let plan_after = |stopped: &[(&str, u64)]| {
        let plans = hosts.map(|(host, life)| {
            let mut members = Members::new(start, heard(host, life), &Timing::default());
            for (host, life) in stopped {
                members.hear(start, Heard { retired: Some(epoch), ..heard(host, *life) });
            }
            let mut planner = Planner::new(cell.clone());
            let mut plan = |at| {
                hosts.iter().for_each(|(host, life)| members.hear(at, heard(host, *life)));
                planner.plan(at, &state, &members, true)
            };
            plan(start + SETTLE);
            plan(start + SETTLE * 2)
        });
        plans.into_iter().flatten().next()
    };
    assert_eq!(plan_after(&[]), None, "one live member is too few");
    let plan = plan_after(&[("b", 101), ("c", 102)]).expect("a plan");
    assert_eq!((plan.needed, plan.ask.len(), plan.already.len()), (0, 1, 2));
    let Some(Record::Witnesses { retired, .. }) = plan.record(&BTreeSet::new()) else {
        panic!("the record needs no further promise");
    };
    assert_eq!(retired, [Incarnation(101), Incarnation(102)]);
}
