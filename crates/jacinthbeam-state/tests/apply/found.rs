use jacinthbeam_state::{Record, Why, record::OwnerRun};
use jacinthbeam_types::prelude::*;

use crate::support::*;

// Two hosts divide the service at the same time. Both records are in the log; the first one counts.
#[test]
fn second_division_is_void() {
    let mut session = Session::divided();
    let record = found("tilecast", 8, &[("t2", 8)]);
    assert!(matches!(why(session.append("first division", record)), Why::Stale { .. }));
    assert_eq!(session.owners(), "t1 t1 t1 t1 t2 t2 t2 t2");
}

// Somebody divides the service anew while owners of the old division serve. A key would have an
// owner in each.
#[test]
fn division_is_replaced_only_after_its_last_slot_is_released() {
    let mut session = Session::divided();
    let anew = |session: &Session| {
        let Record::Found { service, slots, servers, owners, .. } =
            found("tilecast", 8, &[("t4", 8)])
        else {
            panic!("a Found")
        };
        let base = session.state.services.get(&service).map(|division| division.epoch());
        Record::Found { service, base, slots, servers, owners }
    };
    let record = anew(&session);
    let expected = Why::StillOwned { service: name("tilecast"), owned: 8 };
    assert_eq!(why(session.append("divide anew", record)), expected);

    session.append("release", release(&session.state, &[0, 1, 2, 3], "t1"));
    session.append("release", release(&session.state, &[4, 5, 6, 7], "t2"));
    let record = anew(&session);
    assert!(session.append("divide anew", record).is_applied());
    assert_eq!(session.owners(), "t4 t4 t4 t4 t4 t4 t4 t4");
    let owner = session.state.owner(&name("tilecast"), SlotId(0)).expect("an owner");
    assert_eq!(owner.lapse, Some(owner.since));
}

#[test]
fn lists_that_do_not_fit_are_void() {
    let mut session = Session::configured();
    let mut records = vec![
        found("tilecast", 7, &[("t1", 7)]),
        found("tilecast", 8, &[("t1", 9)]),
        found("tilecast", 8, &[("t1", 4), ("t1", 4)]),
        found("tilecast", 8, &[("t1", u32::MAX), ("t2", u32::MAX)]),
    ];
    let mut unknown = found("tilecast", 8, &[("t1", 4)]);
    if let Record::Found { owners, .. } = &mut unknown {
        owners.push(OwnerRun { server: 1, slots: 4 });
    }
    records.push(unknown);
    for record in records {
        assert!(!session.append("first division", record).is_applied());
    }
    assert!(session.state.servers.is_empty());
}

// The author of the record saw t1 before it restarted; its old life gets no grant any more.
#[test]
fn division_for_a_server_in_another_life_or_evicted_is_void() {
    let mut session = Session::configured();
    session.append("new host", join(&session.state, "t1", "tilecast", 2));
    let record = found("tilecast", 8, &[("t1", 8)]);
    let outcome = session.append("first division", record.clone());
    assert_eq!(why(outcome), Why::OtherServer(name("t1")));
    session.append("t1 restarted", join(&session.state, "t1", "tilecast", 1));
    session.append("t1 is silent", evict(&session.state, "t1", &[], &[]));
    assert_eq!(why(session.append("first division", record)), Why::NotActive(name("t1")));
}

#[test]
fn slots_beyond_the_list_have_no_owner() {
    let mut session = Session::configured();
    session.append("first division", found("tilecast", 8, &[("t1", 3)]));
    assert_eq!(session.owners(), "t1 t1 t1 - - - - -");
}
