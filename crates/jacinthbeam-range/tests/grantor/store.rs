//! A host that is cut off from the store, or from most servers.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Event, Grantor, Key, KeyRange, Map,
    demand::LoadReport,
    grantor::{longest_hold, timing},
};
use jacinthbeam_types::prelude::*;

use crate::harness::*;

/// A host that grants to three servers, while five more have just joined the list.
fn harness_with_five_joining() -> Harness {
    let mut harness = Harness::with_servers(3, 1, None, &[]);
    harness.run(Duration::from_secs(2));
    for n in 4..=8 {
        harness.servers.insert(server(n, false));
    }
    harness
}

/// The same five servers have been assigned the keys of a lost server by a record that is being
/// appended, and have left the list since.
fn harness_with_five_departed() -> (Harness, Instant) {
    let mut harness = harness_with_five_joining();
    harness.silent.push(server(1, false).id);
    while !harness.feed_without_store(Event::Tick) {
        harness.now += TICK;
        assert!(harness.sent.len() < 10_000, "no record is appended");
    }
    for n in 4..=8 {
        harness.servers.remove(&server(n, false).id);
    }
    let cut = harness.now;
    (harness, cut)
}

/// Guards against two owners while a leader is cut off from the store and from all servers except
/// one that no other host reaches. It must stop renewing before a successor, which reaches the
/// other servers, reassigns that one's keys.
#[test]
fn leader_without_store_and_majority_stops_renewing_early() {
    let mut harness = Harness::with_servers(2, 1, None, &[]);
    harness.run(Duration::from_secs(2));
    let cut = harness.now;
    harness.silent = vec![server(2, false).id];
    harness.sent.clear();
    harness.run_without_store(Duration::from_secs(6));
    assert!(harness.last_grant_to(1) <= cut + timing::MAJORITY_VALID_FOR);
}

/// Guards against a wrong majority when the store is lost while a record that names new owners is
/// being appended. The record may have been committed, and a successor then takes its majority from
/// the new owners, which know nothing of this host. Acceptance by the old owners must not let this
/// host renew for longer than without them.
#[test]
fn owners_of_a_record_in_doubt_count_for_the_majority() {
    let mut harness = harness_with_five_joining();
    harness.servers.insert(server(1, true));
    harness.run(Duration::from_millis(200));
    let cut = harness.now;
    for (range, token) in std::mem::take(&mut harness.releases) {
        harness.feed_without_store(Event::Released { range, token, handover: Ok(None) });
        harness.feed_without_store(Event::NotRecorded);
    }
    harness.sent.clear();
    harness.run_without_store(Duration::from_secs(6));
    assert!(harness.last_grant_to(2) <= cut + timing::MAJORITY_VALID_FOR);
}

/// The same with a record whose new owners have left the list since. The next record would name
/// others, but a successor may still find the one in doubt.
#[test]
fn a_record_in_doubt_counts_until_a_later_one_is_kept() {
    let (mut harness, cut) = harness_with_five_departed();
    harness.feed_without_store(Event::NotRecorded);
    harness.run_without_store(Duration::from_secs(4));
    assert!(cut < harness.last_grant_to(1) + timing::CONFIRMATION_VALID_FOR);
    assert!(harness.last_grant_to(2) <= cut);
}

/// The same while answers to appends are lost and reads are answered, so that the host appends one
/// record after the other before it is cut off. Each of them may have been committed, including the
/// first one.
#[test]
fn each_record_in_doubt_counts() {
    let (mut harness, cut) = harness_with_five_departed();
    for _ in 0..3 {
        harness.feed_without_store(Event::NotRecorded);
        let map = harness.map.clone();
        harness.feed_without_store(Event::Read { sent_at: cut, map, era: Era(0) });
    }
    harness.run_without_store(Duration::from_secs(6));
    assert!(harness.last_grant_to(2) <= cut + timing::MAJORITY_VALID_FOR);
}

/// Guards against ending grants too early while the store is unreachable and most servers accept
/// them. No other host can have a majority, so this one goes on for longer than it could without
/// one.
#[test]
fn leader_with_a_majority_renews_without_the_store() {
    let mut harness = Harness::with_servers(3, 1, None, &[3]);
    harness.run(Duration::from_secs(1));
    let cut = harness.now;
    harness.run_without_store(Duration::from_secs(12));
    assert!(harness.last_grant_to(1) > cut + timing::MAJORITY_VALID_FOR * 2);
    assert!(harness.last_grant_to(1) <= cut + timing::CONFIRMATION_VALID_FOR);
}

/// Guards against a leader that goes on granting without the store for longer than a successor
/// waits for it.
#[test]
fn renewals_end_with_the_last_confirmation() {
    let mut harness = Harness::leading();
    let confirmed = harness.now;
    harness.sent.clear();
    let view_ends = confirmed + timing::CONFIRMATION_VALID_FOR + timing::CHECK_EVERY;
    harness.run_without_store(view_ends + Duration::from_secs(5) - harness.now);
    let last = harness.last_grant_to(1);
    assert!(
        last > confirmed + timing::CONFIRMATION_VALID_FOR
            - timing::CHECK_EVERY
            - timing::RENEW_EVERY * 2
    );
    assert!(last <= confirmed + timing::CONFIRMATION_VALID_FOR);
}

/// Guards against two servers that hold the same keys and execute requests for them.
///
/// A lost server's keys were assigned to another one by a record that got no answer and may have
/// been committed. Then the other one leaves the list, so that no server can be assigned the keys,
/// and the lost one comes back. If it were granted its keys again, it would hold them beside the other
/// one, which gets them as soon as the record is read back.
#[test]
fn keys_reassigned_by_a_record_in_doubt_are_granted_to_no_server() {
    for returns in [false, true] {
        let mut harness = Harness::leading();
        harness.silent.push(server(1, false).id);
        // The store answers until shortly before the hold expires.
        harness.run(timing::GIVE_UP_AFTER);
        harness.run(
            (harness.last_grant_to(1) + longest_hold()).duration_since(harness.now) - TICK * 2,
        );
        let sent = (0..20).any(|_| {
            harness.now += TICK;
            harness.feed_without_store(Event::Tick)
        });
        assert!(sent, "no record reassigns the keys");
        let last = harness.last_grant_to(1);
        harness.servers.remove(&server(2, false).id);
        harness.feed_without_store(Event::NotRecorded);
        if returns {
            harness.servers.remove(&server(1, false).id);
            harness.run_without_store(Duration::from_millis(200));
            harness.servers.insert(server(1, false));
        }
        harness.silent.clear();
        harness.run_without_store(Duration::from_secs(2));
        assert_eq!(harness.last_grant_to(1), last, "server leaves the list and returns: {returns}");
        // With the store back, one more record resolves the doubt, and grants to the lost server,
        // which is the only one, are resumed.
        harness.feed(Event::NotRecorded);
        harness.run(Duration::from_secs(5));
        assert!(
            harness.last_grant_to(1) > harness.now - Duration::from_secs(1),
            "server leaves the list and returns: {returns}"
        );
    }
}

/// Guards against refusing all requests for busy keys for as long as the store accepts no records
/// of this host.
///
/// The host takes busy keys off their owner, and the record that names the next owner is not
/// committed, so that they have no owner until one is. Then other keys are busy, and each balance check would
/// add some of them.
#[test]
fn busy_keys_stay_with_their_owners_while_records_are_not_kept() {
    let mut harness = Harness::with_servers(4, 1, None, &[]);
    harness.run(Duration::from_secs(2));
    let busy = |harness: &mut Harness, first: u16| {
        let keys = (first..first + 40).map(|key| (Key(key), 2)).collect();
        let report = LoadReport { keys, ..LoadReport::default() };
        harness.feed_without_store(Event::Load { from: "h9".parse().unwrap(), report });
        harness.run_without_store(Duration::from_millis(250));
    };
    while harness.releases.is_empty() {
        busy(&mut harness, 0);
    }
    for (range, token) in std::mem::take(&mut harness.releases) {
        harness.feed_without_store(Event::Released { range, token, handover: Ok(None) });
    }
    harness.feed_without_store(Event::NotRecorded);
    (0..12).for_each(|_| busy(&mut harness, 40_000));
    assert_eq!(harness.releases, []);

    // Balancing resumes once a record is committed.
    harness.feed(Event::NotRecorded);
    (0..12).for_each(|_| busy(&mut harness, 40_000));
    assert!(!harness.releases.is_empty());
}

/// Guards against a host that takes keys away although it is the one that is cut off: most owners
/// are silent while they are listed. It gives the duty back and lets another host try.
#[test]
fn leader_that_reaches_too_few_owners_resigns() {
    let mut harness = Harness::new(1, None);
    for n in 3..=6 {
        harness.servers.insert(server(n, false));
    }
    harness.run(Duration::from_secs(2));
    let mut first = Map::unowned();
    for (n, range) in KeyRange::ALL.split_evenly(6).into_iter().enumerate() {
        let server = server(n as u16 + 1, false);
        let owner = jacinthbeam_range::Owner { server: server.id, addr: server.addr };
        first.assign(range, Some(owner), Token(0), None);
    }
    let mut harness =
        Harness { grantor: Grantor::new("tiles".parse().unwrap(), leader(1)), ..harness };
    harness.map = Some(first.clone());
    harness.feed(Event::Duty(true));
    harness.feed(Event::Read { sent_at: harness.now, map: Some(first), era: Era(0) });
    harness.run(Duration::from_secs(2));
    harness.silent = (1..=4).map(|n| server(n, false).id).collect();
    harness.run_until(|harness| harness.resigned);
    assert!(!harness.grantor.leads());
    assert_eq!(harness.map.as_ref().unwrap().leader, None);
    assert!((1..=6).all(|n| harness.keys_of(n) > 0));
}
