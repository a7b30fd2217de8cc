use jacinthbeam_state::{Outcome, Why, outcome::SlotVoid};
use jacinthbeam_types::prelude::*;

use crate::support::*;

// Two attendants move slots of t1 at the same time, one of them unaware that it was replaced. Slot
// 1 was taken back by a new epoch in between, so the late move must not take it; slot 0 was not
// touched and moves.
#[test]
fn move_is_void_only_for_slots_whose_epoch_is_stale() {
    let mut session = Session::divided();
    let late = shift(&session.state, &[0, 1], "t1", "t2");
    session.append("slot 1 is missing from the grant", reassign(&session.state, &[1], "t1"));
    let Outcome::Applied { void, .. } = session.append("balance", late) else {
        panic!("slot 0 can move")
    };
    assert!(matches!(void[..], [SlotVoid { slot: SlotId(1), why: Why::Stale { .. } }]));
    assert_eq!(session.owners(), "t2 t1 t1 t1 t2 t2 t2 t2");
}

// t1 restarts after a predecessor took a slot out of its grant and before that predecessor's move
// arrives. The new life was granted all slots again, so the move must not give one of them to t2 as
// well.
#[test]
fn late_move_is_void_after_a_restart() {
    let mut session = Session::divided();
    let late = shift(&session.state, &[0], "t1", "t2");
    session.append("t1 restarted", join(&session.state, "t1", "tilecast", 11));
    assert!(matches!(why(session.append("balance", late)), Why::Stale { .. }));
    assert_eq!(session.owner(0).as_deref(), Some("t1"));
}

// A record that was appended twice, because the answer to the first append was lost, takes effect once.
#[test]
fn repeated_move_is_void() {
    let mut session = Session::divided();
    let record = shift(&session.state, &[0], "t1", "t2");
    assert!(session.append("balance", record.clone()).is_applied());
    assert!(matches!(why(session.append("balance", record)), Why::Stale { .. }));
}

#[test]
fn slot_named_twice_in_one_record_moves_once() {
    let mut session = Session::divided();
    let record = shift(&session.state, &[0, 0], "t1", "t2");
    let Outcome::Applied { void, .. } = session.append("balance", record) else { panic!() };
    assert_eq!(void.len(), 1);
}

#[test]
fn move_to_unknown_evicted_or_foreign_servers_is_void_and_slots_stay() {
    let mut session = Session::divided();
    session.append("first division", found("callbell", 8, &[("b1", 8)]));
    session.append("t3 is silent", evict(&session.state, "t3", &[], &[]));
    for (to, expected) in [
        ("t9", Why::UnknownServer(name("t9"))),
        ("t3", Why::NotActive(name("t3"))),
        ("b1", Why::OtherService(name("b1"), name("callbell"))),
        ("t1", Why::SameOwner(name("t1"))),
    ] {
        let record = shift(&session.state, &[0], "t1", to);
        assert_eq!(why(session.append("balance", record)), expected);
    }
    let record = shift(&session.state, &[4], "t1", "t2");
    assert!(!session.append("not its slot", record).is_applied());
    assert_eq!(session.owners(), "t1 t1 t1 t1 t2 t2 t2 t2");
}

#[test]
fn reassign_never_takes_a_slot_from_another_owner() {
    let mut session = Session::divided();
    let record = reassign(&session.state, &[4], "t1");
    assert_eq!(why(session.append("wrong", record)), Why::NotOwner(Some(name("t2"))));
}

#[test]
fn released_slot_has_no_owner_and_can_be_placed() {
    let mut session = Session::divided();
    session.append("t1 leaves", release(&session.state, &[0, 1, 2, 3], "t1"));
    assert_eq!(session.owners(), "- - - - t2 t2 t2 t2");
    let division = &session.state.services[&name::<ServiceName>("tilecast")];
    assert_eq!(division.vacant().map(|(slot, _)| slot.0).collect::<Vec<_>>(), [0, 1, 2, 3]);
    session.append("t3 has room", reassign(&session.state, &[0, 1, 2, 3], "t3"));
    assert_eq!(session.owners(), "t3 t3 t3 t3 t2 t2 t2 t2");
}
