use jacinthbeam_state::{Why, WitnessSet};
use jacinthbeam_types::prelude::*;

use crate::support::*;

// Hosts 102 to 104 are cut off together with t1 and know nothing of a new set. Were it valid on
// one promise, they could go on vouching for t1 under the old epoch, after an eviction that the
// new set alone backed.
#[test]
fn set_changes_only_if_the_old_one_can_no_longer_vouch() {
    let mut session = Session::witnessed();
    let record = witnesses(&session.state, 101..=101, &[101]);
    let outcome = session.append("three hosts are silent", record);
    assert_eq!(why(outcome), Why::TooFewPromises { promised: 1, needed: 2 });

    let record = witnesses(&session.state, 101..=103, &[101, 102]);
    assert!(session.append("one host is silent", record).is_applied());
    assert_eq!(session.state.cells[&name::<CellId>("kamloops-a")].members.len(), 3);
}

#[test]
fn set_based_on_an_old_one_is_void() {
    let mut session = Session::witnessed();
    let late = witnesses(&session.state, 101..=102, &[101, 102, 103]);
    session.append("change", witnesses(&session.state, 101..=103, &[101, 102, 103]));
    assert!(matches!(why(session.append("late", late)), Why::Stale { .. }));
}

#[test]
fn empty_too_large_and_repeating_sets_are_void() {
    let mut session = Session::configured();
    for members in [vec![], vec![1, 2, 3, 4, 5, 6], vec![1, 1]] {
        let record = witnesses(&session.state, members.into_iter(), &[]);
        assert!(matches!(why(session.append("first", record)), Why::BadWitnesses(_)));
    }
}

#[test]
fn every_renewal_quorum_meets_every_eviction_quorum() {
    let session = Session::witnessed();
    let member = session.state.cells[&name::<CellId>("kamloops-a")].members[0].clone();
    for n in 1..=5 {
        let set = WitnessSet { epoch: Epoch(1), members: vec![member.clone(); n] };
        assert_eq!(set.renewal_quorum() + set.eviction_quorum(), n + 1);
    }
}
