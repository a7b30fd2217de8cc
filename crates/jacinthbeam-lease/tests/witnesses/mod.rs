//! Changes of the set of witnesses.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_lease::{
    Members, Timing,
    witnesses::{Planner, SETTLE},
};
use jacinthbeam_types::prelude::*;

use crate::support::{World, heard, name};

/// Host d was replaced by e. After a while the first host by rendezvous proposes e in its place, and needs
/// three of the old four to retire, so that no two of them can renew a lease by the old set.
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
    assert_eq!((plan.needed, plan.ask.len()), (3, 3));
    assert!(plan.members.iter().any(|member| member.incarnation == Incarnation(200)));
    let two = BTreeSet::from([Incarnation(100), Incarnation(101)]);
    assert_eq!(plan.record(&two), None);
    assert!(plan.record(&(100..=102).map(Incarnation).collect()).is_some());
}
