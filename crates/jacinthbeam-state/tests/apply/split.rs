use jacinthbeam_state::Why;
use jacinthbeam_types::prelude::*;

use crate::support::*;

// An attendant that does not know it was replaced appends a merge late. The present one has taken
// the slot out of the grant for a move, but the key's own slot is still in it. Were the move valid,
// the key would go to t2 along with the slot while t1 still serves it under its own.
#[test]
fn merge_voids_a_move_of_the_slot_that_was_prepared_before() {
    let mut session = Session::divided();
    session.append("hot", split(&session.state, 16));
    let late = shift(&session.state, &[0], "t1", "t2");
    session.append("cool", merge(&session.state, 16));
    assert!(matches!(why(session.append("balance", late)), Why::Stale { .. }));
}

#[test]
fn split_key_moves_apart_from_its_slot_and_returns_only_to_the_same_owner() {
    let mut session = Session::divided();
    assert!(session.append("hot", split(&session.state, 16)).is_applied());
    session.append("balance", shift(&session.state, &[8], "t1", "t3"));
    assert_eq!(session.owner(8).as_deref(), Some("t3"));
    assert_eq!(session.owner(0).as_deref(), Some("t1"));
    let apart = merge(&session.state, 16);
    let expected = Why::OwnersDiffer(Some(name("t3")), Some(name("t1")));
    assert_eq!(why(session.append("cool", apart)), expected);

    session.append("balance", shift(&session.state, &[8], "t3", "t1"));
    assert!(session.append("cool", merge(&session.state, 16)).is_applied());
    assert_eq!(session.owner(8), None);
    let division = &session.state.services[&name::<ServiceName>("tilecast")];
    assert_eq!((division.slot_of(KeyHash(16)), division.next_split()), (SlotId(0), SlotId(9)));
}

#[test]
fn split_of_a_split_key_or_on_an_old_epoch_is_void() {
    let mut session = Session::divided();
    let late = split(&session.state, 16);
    session.append("hot", split(&session.state, 24));
    assert!(!session.append("hot", late).is_applied());
    let again = split(&session.state, 24);
    assert_eq!(why(session.append("hot", again)), Why::AlreadySplit(KeyHash(24)));
    assert_eq!(session.owner(9), None);
}

#[test]
fn slots_of_split_keys_leave_an_evicted_server_too() {
    let mut session = Session::divided();
    session.append("hot", split(&session.state, 16));
    session.append("t1 is silent", evict(&session.state, "t1", &[], &[(8, "t2")]));
    assert_eq!(session.owner(8).as_deref(), Some("t2"));
    assert_eq!(session.owners(), "- - - - t2 t2 t2 t2");
}
