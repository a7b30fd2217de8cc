//! Golden files of whole sessions: records in, outcomes out.

use jacinthbeam_types::prelude::*;

use crate::support::*;

// A night at kamloops-a: t1 freezes, its eviction is first refused, then backed by enough
// witnesses; it returns as if nothing had happened, and a hot key is moved to it. A late move of an
// attendant that was replaced changes nothing.
#[test]
fn frozen_server_is_evicted_and_returns() {
    let mut session = Session::witnessed();
    session.show_owners();
    let late = shift(&session.state, &[3], "t1", "t3");
    let targets = [(0, "t2"), (1, "t2"), (2, "t3"), (3, "t9")];
    session.append("t1 is silent", evict(&session.state, "t1", &[101], &targets));
    session.append("t1 is silent", evict(&session.state, "t1", &[101, 104], &targets));
    session.show_owners();
    session.append("balance", late);
    session.append("place slots without owner", reassign(&session.state, &[3], "t3"));
    session.append("t1 answers again", join(&session.state, "t1", "tilecast", 1));
    session.append("hot key", split(&session.state, 24));
    session.append("hot key", shift(&session.state, &[8], "t2", "t1"));
    session.append("cool key", merge(&session.state, 24));
    session.append("cool key", shift(&session.state, &[8], "t1", "t2"));
    session.append("cool key", merge(&session.state, 24));
    session.show_owners();
    session.append("t1 leaves", leave(&session.state, "t1"));
    insta::assert_snapshot!(session.text);
}

// Hosts come and go until the witnesses can't be replaced; an operator declares the lost ones, and
// the set changes.
#[test]
fn witnesses_are_replaced_after_a_loss() {
    let mut session = Session::witnessed();
    session.append("host-104 is gone", witnesses(&session.state, 101..=103, &[101, 102, 103]));
    session.append("hosts are gone", witnesses(&session.state, 105..=106, &[101]));
    session.publish("90-lost.json", Some(r#"{ "lost": { "hosts": [102, 103] } }"#));
    session.append("hosts are gone", witnesses(&session.state, 105..=106, &[101]));
    session.append("t1 is silent", evict(&session.state, "t1", &[], &[]));
    session.append("t1 answers", keep(&session.state, "t1"));
    insta::assert_snapshot!(session.text);
}

#[test]
fn explanation_tells_how_a_slot_got_its_owner() {
    let mut session = Session::witnessed();
    session.append("balance", shift(&session.state, &[2, 3], "t1", "t3"));
    session.append("t3 restarted", join(&session.state, "t3", "tilecast", 4));
    session.append("t3 is silent", evict(&session.state, "t3", &[101, 102, 103], &[(2, "t2")]));
    session.append("t2 is draining", shift(&session.state, &[2, 4], "t2", "t1"));
    let tilecast = name("tilecast");
    let state = &session.state;
    let told = [2, 3, 5].map(|slot| state.explain(&tilecast, SlotId(slot)).to_string());
    insta::assert_snapshot!(told.join("\n\n"));
}
