//! A host takes over from another that has stopped, died or is cut off.

use std::time::Duration;

use jacinthbeam_range::{
    Event, KeyRange,
    grantor::{longest_hold, timing},
};

use jacinthbeam_types::prelude::*;

use crate::play::*;

/// The host that led before may be cut off, and renew what it granted until its confirmation is too old. Its successor, which has
/// no word of the server, waits for that too.
#[test]
fn a_successor_waits_for_its_predecessor() {
    let first = Play::leading();
    let mut play = Play::among(2, 2, first.map.clone(), &[1]);
    let begun = play.now;
    play.until(|play| play.keys_of(1) == 0);
    assert!(play.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// The host that led has died, and a server a moment later. Most servers take the successor's grants, so that the predecessor,
/// were it alive, could not have had most of them since, and would renew for a bounded time only. The dead server's keys are served
/// again seconds sooner than by waiting for the predecessor's confirmation to grow old.
#[test]
fn a_majority_of_servers_bounds_a_silent_predecessor() {
    let mut first = Play::among(3, 1, None, &[]);
    first.run(Duration::from_secs(2));
    let mut play = Play::among(3, 2, first.map.clone(), &[1]);
    let begun = play.now;
    play.until(|play| play.keys_of(1) == 0);
    let bound = timing::MAJORITY_VALID_FOR + timing::MAX_CALL_TIME + timing::MARGIN;
    assert!(play.now >= begun + bound + longest_hold());
    assert!(play.now < begun + bound + longest_hold() + Duration::from_secs(1));
    assert!(bound < timing::CONFIRMATION_VALID_FOR);
}

/// The host that led has replaced another a second before it died. Most servers refuse both from the first grants of the third host
/// on, which waits no longer for two than for one.
#[test]
fn a_majority_bounds_hosts_further_back() {
    let mut first = Play::among(3, 1, None, &[]);
    first.run(Duration::from_secs(2));
    let mut second = Play::among(3, 2, first.map.clone(), &[1]);
    second.run(Duration::from_secs(1));
    let mut play = Play::among(3, 3, second.map.clone(), &[1]);
    let begun = play.now;
    play.until(|play| play.keys_of(1) == 0);
    let bound = timing::MAJORITY_VALID_FOR + timing::MAX_CALL_TIME + timing::MARGIN;
    assert!(play.now >= begun + bound + longest_hold());
    assert!(play.now < begun + timing::CONFIRMATION_VALID_FOR);
}

/// A host has replaced another and gone on to give all keys to new servers. The one before it, cut off with the old ones, has most
/// of the owners that it knows; the new owners' word says nothing of it.
#[test]
fn a_majority_of_new_owners_says_nothing_of_an_old_rival() {
    let mut first = Play::among(3, 1, None, &[]);
    first.run(Duration::from_secs(2));
    let mut map = first.map.clone().unwrap();
    map.begin_epoch(leader(2));
    for (n, range) in KeyRange::ALL.split_evenly(3).into_iter().enumerate() {
        let server = server(n as u16 + 3, false);
        let owner = jacinthbeam_range::Owner { server: server.id, addr: server.addr };
        map.assign(range, Some(owner), map.first_token(), None);
    }
    let mut play = Play::among(5, 3, Some(map), &[5]);
    let begun = play.now;
    play.until(|play| play.keys_of(5) == 0);
    assert!(play.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// The store turns a host away that leads, and another takes over. The first hears of it from a third, stops, and says so. Its
/// successor then has only the calls under way and the hold to wait for before a dead server's keys are served again.
#[test]
fn a_predecessor_that_says_it_has_stopped_is_not_waited_for() {
    let mut first = Play::leading();
    let mut play = Play::among(2, 2, first.map.clone(), &[1]);
    let (begun, record) = (play.now, play.map.clone().unwrap());
    first.sent.clear();
    first.feed(Event::PeerMap(record));
    first.run(Duration::from_secs(2));
    assert!(!first.grantor.leads() && first.sent.is_empty());
    let others_left = first.told[0];
    play.feed(Event::PeerStopped { leader: leader(1), epoch: Epoch(1), others_left });
    play.until(|play| play.keys_of(1) == 0);
    let took = play.now - begun;
    assert!(took >= timing::MAX_CALL_TIME + longest_hold());
    assert!(took < timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// The one that has stopped had not led for long, and the one before it may still renew.
#[test]
fn predecessors_of_the_predecessor_are_waited_for() {
    let first = Play::leading();
    let mut play = Play::among(2, 2, first.map.clone(), &[1]);
    let begun = play.now;
    let others_left = Duration::from_secs(5);
    play.feed(Event::PeerStopped { leader: leader(1), epoch: Epoch(1), others_left });
    play.until(|play| play.keys_of(1) == 0);
    assert!(play.now >= begun + others_left + longest_hold());
}

/// A host takes over and is stopped a second later. The one that it replaced is cut off and may renew for seven seconds more; if the
/// record said that nobody leads, the third host would not know of it.
#[test]
fn a_host_that_stops_soon_does_not_hide_its_predecessor() {
    let first = Play::leading();
    let mut second = Play::among(2, 2, first.map.clone(), &[1]);
    second.run(Duration::from_secs(1));
    second.feed(Event::ShutdownStarted);
    let mut play = Play::among(2, 3, second.map.clone(), &[1]);
    let begun = play.now;
    play.until(|play| play.keys_of(1) == 0);
    assert!(play.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// The word of a host that was not the one replaced says nothing of the one that was.
#[test]
fn the_word_of_another_host_does_not_count() {
    let first = Play::leading();
    let mut play = Play::among(2, 2, first.map.clone(), &[1]);
    let begun = play.now;
    play.feed(Event::PeerStopped {
        leader: leader(3),
        epoch: Epoch(1),
        others_left: Duration::ZERO,
    });
    play.until(|play| play.keys_of(1) == 0);
    assert!(play.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// A host that stops says that it sends nothing any more, and its successor has only the hold to wait for.
#[test]
fn a_successor_of_a_host_that_has_stopped_waits_for_the_hold_only() {
    let mut first = Play::leading();
    first.feed(Event::ShutdownStarted);
    assert_eq!(first.map.as_ref().unwrap().leader, None);
    let mut play = Play::new(2, first.map.clone());
    play.silent.push(server(1, false).id);
    let took = play.until(|play| play.keys_of(1) == 0);
    assert!(took >= longest_hold() && took < longest_hold() + Duration::from_secs(3));
}

/// Another host has recorded itself. This one must not send another grant.
#[test]
fn a_replaced_host_stops_at_once() {
    let mut play = Play::leading();
    let mut map = play.map.clone().unwrap();
    map.begin_epoch(leader(2));
    play.sent.clear();
    play.map = Some(map.clone());
    play.feed(Event::Duty(false));
    play.feed(Event::Read { sent_at: play.now, map: Some(map) });
    play.run(Duration::from_secs(5));
    assert!(play.sent.is_empty() && !play.grantor.leads());
}

/// Callers of every key are refused for five seconds, although all servers are there.
///
/// The host that grants is told to stop while the store is away. It stopped renewing at once, holds ran out three seconds later, and nobody
/// could take over before the store was back. It is there for some seconds more, for its last requests, and can renew as long.
#[test]
fn a_host_that_stops_without_the_store_renews_on() {
    let mut play = Play::leading();
    play.run_without_store(Duration::from_secs(2));
    play.feed_without_store(Event::ShutdownStarted);
    let stopped = play.now;
    play.run_without_store(Duration::from_secs(4));
    assert!(play.last_grant_to(1) >= stopped + Duration::from_secs(3), "it renews no more");
    assert!(play.map.as_ref().unwrap().leader.is_some(), "it says goodbye and renews on");
    play.run(Duration::from_secs(1));
    let last = play.last_grant_to(1);
    assert!(play.map.as_ref().unwrap().leader.is_none(), "its successor is told nothing");
    play.run(Duration::from_secs(2));
    assert_eq!(play.last_grant_to(1), last);
}

/// The process that granted has ended before the store was back, and a server with it. The others heard that it sends no grant any more.
/// Its successor has only the hold to wait for before the dead server's keys are served again, and not the time for which a host
/// that is cut off might renew.
#[test]
fn a_host_that_ended_without_the_store_is_not_waited_for() {
    let mut first = Play::leading();
    first.run_without_store(Duration::from_secs(2));
    first.feed_without_store(Event::ShutdownStarted);
    first.feed_without_store(Event::Exit);
    assert!(!first.grantor.leads());
    let others_left = first.told[0];

    let mut play = Play::waiting(2, first.map.clone(), &[1]);
    play.feed(Event::PeerStopped { leader: leader(1), epoch: Epoch(1), others_left });
    play.run(Duration::from_secs(2));
    let begun = play.now;
    play.feed(Event::Duty(true));
    play.until(|play| play.keys_of(1) == 0);
    let took = play.now - begun;
    assert!(took >= longest_hold() - timing::MAX_CALL_TIME, "{took:?}");
    assert!(took < longest_hold() + Duration::from_secs(2), "{took:?}");
}

/// Two servers hold the same keys.
///
/// A host gave its duty back and said so, led again a second later, and was then cut off. Its successor remembers the first word, and takes
/// it for the present: it doesn't wait for what the host renews now.
#[test]
fn the_word_of_an_earlier_epoch_does_not_count() {
    let first = Play::leading();
    let mut map = first.map.clone().unwrap();
    map.begin_epoch(leader(1));
    map.rivals.clear();
    let mut play = Play::waiting(2, Some(map), &[1]);
    play.feed(Event::PeerStopped {
        leader: leader(1),
        epoch: Epoch(1),
        others_left: Duration::ZERO,
    });
    play.run(Duration::from_secs(2));
    let begun = play.now;
    play.feed(Event::Duty(true));
    play.until(|play| play.keys_of(1) == 0);
    assert!(play.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Two servers run orders for the same key. A server is granted keys under a token below that of another which still has them.
///
/// A host that leads reaches too few servers and gives the duty back; the store doesn't keep its word of it. It is dealt the duty again and
/// claims. While the claim is on its way a read shows its own record of before, and it took that for the claim: it led on in its old epoch,
/// whose tokens it began to give out anew.
#[test]
fn a_record_of_an_earlier_epoch_is_no_answer_to_a_claim() {
    let mut play = Play::among(3, 1, None, &[]);
    play.run(Duration::from_secs(2));
    let before = play.map.clone().unwrap();
    play.silent = (1..=3).map(|n| server(n, false).id).collect();
    while play.grantor.leads() {
        play.run_without_store(TICK);
    }
    assert!(play.resigned);
    play.feed_without_store(Event::NotRecorded);
    play.silent.clear();
    play.now += timing::RESIGN_COOLDOWN + Duration::from_secs(1);
    play.feed_without_store(Event::Duty(true));
    play.feed_without_store(Event::Tick);

    play.sent.clear();
    play.feed_without_store(Event::Read { sent_at: play.now, map: Some(before.clone()) });
    play.run_without_store(Duration::from_secs(1));
    assert!(!play.grantor.leads(), "it leads by a record of before");
    assert_eq!(play.sent.len(), 0);

    play.feed(Event::Recorded { sent_at: play.now });
    play.run(Duration::from_secs(1));
    assert!(play.grantor.leads());
    let epoch = play.grantor.map().unwrap().epoch;
    assert_eq!(epoch, before.epoch.next());
    let first = play.grantor.map().unwrap().first_token();
    assert!(!play.sent.is_empty());
    assert!(play.sent.iter().all(|(_, _, call)| call.token >= first));
}

/// Two servers run orders for the same key, granted under tokens of two epochs by two hosts that both lead.
///
/// The duty is dealt anew twice within a second, and the store answers slowly. A host claims; another reads the claim and claims after it; the
/// first reads that, and then gets the answer to its own claim: kept. It led on from there, put its next record over that of its successor, and
/// the successor, which read it, stopped and claimed the same epoch again, with the same tokens.
#[test]
fn a_claim_that_was_followed_by_another_leads_to_nothing() {
    let first = Play::leading();
    let mut play = Play::waiting(2, first.map.clone(), &[]);
    assert!(play.feed_without_store(Event::Duty(true)), "it claims");
    let mut newer = first.map.clone().unwrap();
    newer.begin_epoch(leader(2));
    newer.begin_epoch(leader(3));

    play.feed_without_store(Event::Duty(false));
    play.feed_without_store(Event::Read { sent_at: play.now, map: Some(newer.clone()) });
    play.map = Some(newer);
    play.feed(Event::Recorded { sent_at: play.now });
    play.run(Duration::from_secs(1));
    assert!(!play.grantor.leads(), "it leads though it was replaced");
    assert_eq!((play.sent.len(), play.records.len()), (0, 0));
    assert!(!play.told.is_empty(), "its successor waits for it");
}
