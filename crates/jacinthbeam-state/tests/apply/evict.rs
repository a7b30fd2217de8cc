use jacinthbeam_state::{Status, Why};
use jacinthbeam_types::prelude::*;

use crate::support::*;

// t1 is silent. Its lease may be renewed without the log on the word of 3 of 4 witnesses. One
// promise leaves three other witnesses that could vouch, so t1 might serve on while its slots are
// served by t2. Two leave two.
#[test]
fn eviction_needs_promises_that_leave_too_few_witnesses_for_a_renewal() {
    let mut session = Session::witnessed();
    let record = evict(&session.state, "t1", &[101], &[(0, "t2")]);
    let outcome = session.append("t1 is silent", record);
    assert_eq!(why(outcome), Why::TooFewPromises { promised: 1, needed: 2 });
    assert_eq!(session.owners(), "t1 t1 t1 t1 t2 t2 t2 t2");

    let record = evict(&session.state, "t1", &[101, 104], &[(0, "t2"), (1, "t3")]);
    assert!(session.append("t1 is silent", record).is_applied());
    assert_eq!(session.owners(), "t2 t3 - - t2 t2 t2 t2");
}

// A host that restarted, or one of another cell, promises silence. It would not vouch anyway, so
// that proves nothing; nor does one promise named twice.
#[test]
fn promises_of_others_than_members_and_repeated_ones_do_not_count() {
    let mut session = Session::witnessed();
    let record = evict(&session.state, "t1", &[101, 101, 201, 202], &[]);
    let outcome = session.append("t1 is silent", record);
    assert_eq!(why(outcome), Why::TooFewPromises { promised: 1, needed: 2 });
}

// Three of four witnesses are gone for good and can't promise, so evictions are stuck until an
// operator says so.
#[test]
fn hosts_declared_lost_count_as_promised() {
    let mut session = Session::witnessed();
    let record = evict(&session.state, "t1", &[101], &[]);
    let outcome = session.append("t1 is silent", record.clone());
    assert_eq!(why(outcome), Why::TooFewPromises { promised: 1, needed: 2 });
    session.publish("20-lost.json", Some(r#"{ "lost": { "hosts": [102, 103, 104] } }"#));
    assert!(session.append("t1 is silent", record).is_applied());
}

// A whole failure domain is gone; the others take its slots over only once an operator declares it lost.
#[test]
fn witnesses_of_a_lost_failure_domain_count_as_promised() {
    let mut session = Session::witnessed();
    let record = evict(&session.state, "t1", &[], &[(0, "t2")]);
    assert!(!session.append("t1 is silent", record.clone()).is_applied());
    session.publish("20-lost.json", Some(r#"{ "lost": { "failure_domains": ["kamloops-a"] } }"#));
    assert!(session.append("t1 is silent", record).is_applied());
}

// A service that yields renews no lease on the word of witnesses: the log alone decides, and the
// record is in it.
#[test]
fn eviction_from_a_service_that_yields_needs_no_promise() {
    let mut session = Session::witnessed();
    session.append("first division", found("callbell", 8, &[("t7", 4), ("t8", 4)]));
    let record = evict(&session.state, "t7", &[], &[(0, "t8")]);
    assert!(session.append("t7 is silent", record).is_applied());
}

// The evictor collected promises; meanwhile t1 answered and was kept, or the witnesses changed. The
// promises have ended, so the late record must not take the slots.
#[test]
fn eviction_based_on_an_old_epoch_is_void() {
    let mut session = Session::witnessed();
    let late = evict(&session.state, "t1", &[101, 102, 103], &[(0, "t2")]);
    session.append("t1 answers", keep(&session.state, "t1"));
    assert!(matches!(why(session.append("t1 is silent", late)), Why::Stale { .. }));

    let late = evict(&session.state, "t1", &[101, 102, 103], &[(0, "t2")]);
    let change = witnesses(&session.state, 101..=103, &[101, 102, 103]);
    session.append("host-104 is gone", change);
    assert!(matches!(why(session.append("t1 is silent", late)), Why::Stale { .. }));
    assert_eq!(session.owners(), "t1 t1 t1 t1 t2 t2 t2 t2");
}

// The chosen next owner of slot 0 is evicted itself before the record arrives. The slot must not
// stay with t1, which no longer gets a lease, nor go to t3. It has no owner until a record places
// it.
#[test]
fn slot_whose_next_owner_is_unfit_has_no_owner_until_it_is_placed() {
    let mut session = Session::witnessed();
    let record = evict(&session.state, "t1", &[101, 102, 103], &[(0, "t3"), (1, "t2")]);
    session.append("t3 is silent", evict(&session.state, "t3", &[101, 102, 103], &[]));
    assert!(session.append("t1 is silent", record).is_applied());
    assert_eq!(session.owners(), "- t2 - - t2 t2 t2 t2");

    let record = reassign(&session.state, &[0, 2, 3], "t2");
    session.append("t2 has room", record);
    assert_eq!(session.owners(), "t2 t2 t2 t2 t2 t2 t2 t2");
}

// t1 is evicted; t2 gets its slot and moves it on to t3 before t1's lease has run out. t3 must wait
// for that lease as t2 would have had to, else t1 and t3 serve the key at once.
#[test]
fn wait_for_the_evicted_lease_is_passed_on_by_moves_and_restarts() {
    let mut session = Session::witnessed();
    session.append("t1 is silent", evict(&session.state, "t1", &[101, 102, 103], &[(0, "t2")]));
    let evicted = Offset(session.log.len() as u64 - 1);
    session.append("balance", shift(&session.state, &[0], "t2", "t3"));
    session.append("t3 restarted", join(&session.state, "t3", "tilecast", 33));
    let owner = session.state.owner(&name("tilecast"), SlotId(0)).expect("an owner");
    assert_eq!((owner.server, owner.lapse), (name("t3"), Some(evicted)));
}

// A key's own slot came to t1 by an eviction and is merged at once. The wait for the evicted lease
// is the key's, and must hold for the slot that takes it in.
#[test]
fn wait_for_the_evicted_lease_survives_a_merge() {
    let mut session = Session::witnessed();
    session.append("hot", split(&session.state, 16));
    session.append("balance", shift(&session.state, &[8], "t1", "t3"));
    session.append("t3 is silent", evict(&session.state, "t3", &[101, 102, 103], &[(8, "t1")]));
    let evicted = Offset(session.log.len() as u64 - 1);
    session.append("cool", merge(&session.state, 16));
    let owner = session.state.owner(&name("tilecast"), SlotId(0)).expect("an owner");
    assert_eq!(owner.lapse, Some(evicted));
}

#[test]
fn evicted_server_owns_nothing_until_it_joins_again() {
    let mut session = Session::witnessed();
    session.append("t1 is silent", evict(&session.state, "t1", &[101, 102, 103], &[]));
    let known = session.state.servers.get(&name("t1")).expect("it has not left");
    assert_eq!((known.status, known.slots()), (Status::Evicted, &[][..]));

    let again = evict(&session.state, "t1", &[101, 102, 103], &[]);
    assert_eq!(why(session.append("t1 is silent", again)), Why::NotActive(name("t1")));

    let back = shift(&session.state, &[4], "t2", "t1");
    assert_eq!(why(session.append("balance", back.clone())), Why::NotActive(name("t1")));
    session.append("t1 is back", join(&session.state, "t1", "tilecast", 1));
    assert!(session.append("balance", back).is_applied());
    assert_eq!(session.owner(4).as_deref(), Some("t1"));
}
