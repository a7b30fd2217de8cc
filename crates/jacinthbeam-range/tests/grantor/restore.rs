//! A store that was restored from an older copy while this host led, or before it started.

use std::time::Duration;

use jacinthbeam_range::{Event, KeyRange, Map, grantor::timing};
use jacinthbeam_types::prelude::*;

use crate::harness::{Harness, leader, server};

const SECOND: Duration = Duration::from_secs(1);

/// A host that leads in the first era over two servers; its first record, from before later ones.
fn leading() -> (Harness, Map) {
    let mut harness = Harness::without_duty(2, 1, None, &[]);
    harness.era = Era(1);
    harness.feed(Event::Read { sent_at: harness.now, map: None, era: Era(1) });
    harness.feed(Event::Duty(true));
    harness.run(SECOND);
    let older = harness.map.clone().unwrap();
    // The second server leaves, so that all its keys move.
    harness.servers.insert(server(2, true));
    // The release of its keys has no answer.
    harness.run(SECOND * 6);
    assert!(harness.grantor.leads());
    assert_ne!(harness.map.as_ref().unwrap().owners(), older.owners());
    (harness, older)
}

/// The store comes back with this record.
fn restore(harness: &mut Harness, map: Option<Map>) {
    harness.era = Era(harness.era.0 + 1);
    harness.map = map;
    harness.records.clear();
    let (map, era) = (harness.map.clone(), harness.era);
    harness.feed(Event::Read { sent_at: harness.now, map, era });
}

/// Guards against a record that names former owners staying the newest one while its leader goes on.
#[test]
fn a_leader_that_goes_on_writes_its_map_again() {
    let (mut harness, older) = leading();
    let map = harness.map.clone().unwrap();
    restore(&mut harness, Some(older));
    harness.run(SECOND);
    let [again] = &harness.records[..] else { panic!("one record, not {:?}", harness.records) };
    assert_eq!(again.assignments(), map.assignments(), "owners and tokens are the same");
    assert!(again.epoch > map.epoch);
    assert!((again.era, again.unsettled) == (Era(2), true));
    let before = harness.sent.len();
    harness.run(SECOND);
    assert!(harness.sent.len() > before, "it goes on renewing");
}

/// Guards against a leader of a lost record that still renews: until it can't, no key gets another owner and no token rises.
#[test]
fn no_key_is_assigned_anew_until_leaders_of_lost_records_can_hold_nothing() {
    let (mut harness, older) = leading();
    let map = harness.map.clone().unwrap();
    let begun = harness.now;
    restore(&mut harness, Some(older));
    // A server comes back, one is silent: both would move keys.
    harness.servers.insert(server(2, false));
    harness.servers.insert(server(3, false));
    harness.silent.push(server(1, false).id);
    while harness.now < begun + timing::restore_wait() - SECOND {
        harness.run(SECOND / 2);
        assert!(harness.records.iter().all(|record| record.assignments() == map.assignments()));
    }
    harness.run(SECOND * 6);
    assert!(harness.records.iter().any(|record| record.assignments() != map.assignments()));
    assert!(!harness.map.as_ref().unwrap().unsettled);
}

/// Guards against tokens of an epoch whose record was lost being given out again.
#[test]
fn tokens_after_a_restore_are_above_those_of_lost_epochs() {
    let (mut harness, older) = leading();
    let lost: Token = Token(older.first_token().0 * 1000);
    restore(&mut harness, Some(older));
    harness.run(timing::restore_wait() + SECOND * 5);
    harness.servers.insert(server(2, false));
    harness.servers.insert(server(1, true));
    harness.run(SECOND * 5);
    let moved: Vec<Token> =
        harness.map.as_ref().unwrap().assignments().iter().map(|a| a.token).collect();
    assert!(moved.iter().all(|token| *token > lost), "{moved:?}");
}

/// Guards against a leader that was not confirmed for so long that a lost record may have given its keys away.
#[test]
fn a_leader_without_a_recent_confirmation_stops() {
    let (mut harness, older) = leading();
    harness.run_without_store(timing::CONTINUITY + SECOND);
    assert!(harness.grantor.leads());
    harness.store_unreachable = false;
    restore(&mut harness, Some(older));
    assert!(!harness.grantor.leads());
}

/// Guards against a host that trusts the newest record although later ones are lost: it claims nothing before their grants have ended.
#[test]
fn a_successor_waits_until_grants_of_lost_records_have_ended() {
    let (_, older) = leading();
    let mut harness = Harness::on_standby(2, Some(older.clone()), &[]);
    harness.era = Era(1);
    restore(&mut harness, Some(older));
    harness.feed(Event::Duty(true));
    let begun = harness.now;
    harness.run(timing::restore_wait() - SECOND);
    assert!(harness.records.is_empty() && harness.sent.is_empty());
    harness.run(SECOND * 4);
    assert!(harness.grantor.leads());
    let (first, _, _) = &harness.sent[0];
    assert!(*first >= begun + timing::restore_wait());
}

/// Guards against the same when the store has lost every record, and against a wait when the whole system starts for the first time.
#[test]
fn only_a_first_start_needs_no_record() {
    let mut harness = Harness::on_standby(2, None, &[]);
    restore(&mut harness, None);
    restore(&mut harness, None);
    harness.feed(Event::Duty(true));
    harness.run(SECOND * 3);
    assert!(harness.records.is_empty());
    let mut harness = Harness::without_duty(2, 2, None, &[]);
    harness.grantor = harness.grantor.at_first_start(true);
    harness.era = Era(7);
    harness.feed(Event::Read { sent_at: harness.now, map: None, era: Era(7) });
    harness.feed(Event::Duty(true));
    harness.run(SECOND * 2);
    assert!(harness.grantor.leads());
}

/// The era of a record is kept, also by a build that does not know it.
#[test]
fn the_era_of_a_record_is_encoded_after_it() {
    let mut map = Map::unowned();
    let without = map.to_bytes();
    map.begin_epoch(leader(1), Era(3));
    let read = Map::from_bytes(&map.to_bytes()).unwrap();
    assert_eq!((read.era, read.unsettled), (Era(3), false));
    let again = map.rewritten(Era(4));
    let read = Map::from_bytes(&again.to_bytes()).unwrap();
    assert_eq!(
        (read.era, read.unsettled, read.assignments()[0].range),
        (Era(4), true, KeyRange::ALL)
    );
    assert_eq!(Map::from_bytes(&without).unwrap().era, Era(0));
}
