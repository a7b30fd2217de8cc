use jacinthbeam_state::Why;
use jacinthbeam_types::prelude::*;

use crate::support::*;

#[test]
fn restart_gives_the_server_and_its_slots_new_epochs() {
    let mut session = Session::divided();
    session.append("t1 restarted", join(&session.state, "t1", "tilecast", 11));
    let at = session.log.len() as u64 - 1;
    assert_eq!(epoch_of(&session.state, "t1"), Epoch(at));
    let id = name("t1");
    let epochs: Vec<_> = session.state.slots_of(&id).map(|(_, _, owner)| owner.epoch).collect();
    assert_eq!(epochs, [Epoch(at); 4]);
}

#[test]
fn join_of_the_same_life_or_on_an_old_epoch_is_void() {
    let mut session = Session::divided();
    let same = join(&session.state, "t1", "tilecast", 1);
    assert_eq!(why(session.append("again", same)), Why::AlreadyJoined(name("t1")));
    let late = join(&session.state, "t1", "tilecast", 11);
    session.append("restart", join(&session.state, "t1", "tilecast", 12));
    assert!(matches!(why(session.append("late", late)), Why::Stale { .. }));
}

// t1 reappears as a server of another service while its slots are still leased in its cell. To let
// it go would leave the slots with an owner that serves something else.
#[test]
fn server_that_owns_slots_can_not_change_service() {
    let mut session = Session::divided();
    let record = join(&session.state, "t1", "callbell", 11);
    assert_eq!(why(session.append("moved", record)), Why::OwnsSlots(name("t1"), 4));
}

#[test]
fn server_leaves_only_without_slots_and_an_old_epoch_does_not_match_its_return() {
    let mut session = Session::divided();
    let record = leave(&session.state, "t1");
    assert_eq!(why(session.append("t1 leaves", record)), Why::OwnsSlots(name("t1"), 4));

    let late = leave(&session.state, "t3");
    assert!(session.append("t3 leaves", late.clone()).is_applied());
    assert!(session.state.servers.get(&name("t3")).is_none());
    session.append("t3 is back", join(&session.state, "t3", "tilecast", 3));
    assert!(matches!(why(session.append("t3 leaves", late)), Why::Stale { .. }));
}

#[test]
fn records_about_unknown_services_and_servers_are_void() {
    let mut session = Session::divided();
    let records = [
        join(&session.state, "x1", "nowhere", 1),
        found("nowhere", 8, &[("x1", 8)]),
        found("archiv", 8, &[("x1", 8)]),
        evict(&session.state, "x1", &[], &[]),
        keep(&session.state, "x1"),
        leave(&session.state, "x1"),
        shift(&session.state, &[0], "x1", "t2"),
        reassign(&session.state, &[0], "x1"),
        release(&session.state, &[0], "x1"),
        release(&session.state, &[77], "t1"),
    ];
    for record in records {
        assert!(!session.append("unknown", record).is_applied());
    }
    insta::assert_snapshot!(session.text);
}
