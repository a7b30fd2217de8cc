//! A host takes over from another that has stopped, died or is cut off.

use std::time::Duration;

use jacinthbeam_range::{
    Event, KeyRange,
    grantor::{longest_hold, timing},
};

use jacinthbeam_types::prelude::*;

use crate::harness::*;

/// Guards against two owners while the previous leader is cut off and renews until its confirmation
/// expires. The successor, which gets no answer from the server, must wait for that too.
#[test]
fn a_successor_waits_for_its_predecessor() {
    let first = Harness::leading();
    let mut harness = Harness::with_servers(2, 2, first.map.clone(), &[1]);
    let begun = harness.now;
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Guards against an outage of seconds when the leader dies and a server a moment later. Most
/// servers accept the successor's grants, so that the predecessor, if it were alive, could have no
/// majority since and would renew for a bounded time only. The dead server's keys are served again
/// seconds sooner than by waiting for the predecessor's confirmation to expire.
#[test]
fn majority_bounds_the_wait_for_a_silent_predecessor() {
    let mut first = Harness::with_servers(3, 1, None, &[]);
    first.run(Duration::from_secs(2));
    let mut harness = Harness::with_servers(3, 2, first.map.clone(), &[1]);
    let begun = harness.now;
    harness.run_until(|harness| harness.keys_of(1) == 0);
    let bound = timing::MAJORITY_VALID_FOR + timing::MAX_CALL_TIME + timing::MARGIN;
    assert!(harness.now >= begun + bound + longest_hold());
    assert!(harness.now < begun + bound + longest_hold() + Duration::from_secs(1));
    assert!(bound < timing::CONFIRMATION_VALID_FOR);
}

/// Guards against a longer wait if the leader had replaced another host a second before it died.
/// Most servers refuse both of them from the first grants of the third host on, which waits no
/// longer for two than for one.
#[test]
fn majority_bounds_the_wait_for_earlier_leaders() {
    let mut first = Harness::with_servers(3, 1, None, &[]);
    first.run(Duration::from_secs(2));
    let mut second = Harness::with_servers(3, 2, first.map.clone(), &[1]);
    second.run(Duration::from_secs(1));
    let mut harness = Harness::with_servers(3, 3, second.map.clone(), &[1]);
    let begun = harness.now;
    harness.run_until(|harness| harness.keys_of(1) == 0);
    let bound = timing::MAJORITY_VALID_FOR + timing::MAX_CALL_TIME + timing::MARGIN;
    assert!(harness.now >= begun + bound + longest_hold());
    assert!(harness.now < begun + timing::CONFIRMATION_VALID_FOR);
}

/// Guards against counting the wrong owners. A host has replaced another and moved all keys to new
/// servers. The one before it, cut off with the old servers, has a majority of the owners that it
/// knows, and acceptance by the new owners proves nothing about it.
#[test]
fn majority_of_new_owners_does_not_bound_an_earlier_leader() {
    let mut first = Harness::with_servers(3, 1, None, &[]);
    first.run(Duration::from_secs(2));
    let mut map = first.map.clone().unwrap();
    map.begin_epoch(leader(2), Era(0));
    for (n, range) in KeyRange::ALL.split_evenly(3).into_iter().enumerate() {
        let server = server(n as u16 + 3, false);
        let owner = jacinthbeam_range::Owner { server: server.id, addr: server.addr };
        map.assign(range, Some(owner), map.first_token(), None);
    }
    let mut harness = Harness::with_servers(5, 3, Some(map), &[5]);
    let begun = harness.now;
    harness.run_until(|harness| harness.keys_of(5) == 0);
    assert!(harness.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Guards against a long wait for a predecessor that has stopped. The store is unreachable for a
/// leader, and another host takes over. The first one learns of it from a third, stops and reports
/// that. Its successor then has to wait only for the calls in flight and for the hold before a dead
/// server's keys are served again.
#[test]
fn predecessor_that_reports_its_stop_is_not_waited_for() {
    let mut first = Harness::leading();
    let mut harness = Harness::with_servers(2, 2, first.map.clone(), &[1]);
    let (begun, record) = (harness.now, harness.map.clone().unwrap());
    first.sent.clear();
    first.feed(Event::PeerMap(record));
    first.run(Duration::from_secs(2));
    assert!(!first.grantor.leads() && first.sent.is_empty());
    let others_left = first.reported_others_left[0];
    harness.feed(Event::PeerStopped { leader: leader(1), epoch: Epoch(1), others_left });
    harness.run_until(|harness| harness.keys_of(1) == 0);
    let took = harness.now - begun;
    assert!(took >= timing::MAX_CALL_TIME + longest_hold());
    assert!(took < timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Guards against relying on the report of a predecessor that had led only briefly: its own
/// predecessor may still renew.
#[test]
fn predecessors_of_the_predecessor_are_waited_for() {
    let first = Harness::leading();
    let mut harness = Harness::with_servers(2, 2, first.map.clone(), &[1]);
    let begun = harness.now;
    let others_left = Duration::from_secs(5);
    harness.feed(Event::PeerStopped { leader: leader(1), epoch: Epoch(1), others_left });
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= begun + others_left + longest_hold());
}

/// Guards against losing track of an earlier leader. A host takes over and is stopped a second
/// later. The leader that it replaced is cut off and may renew for seven seconds more. If the
/// record said that no host leads, the third host would not know of that one.
#[test]
fn short_leadership_does_not_hide_its_predecessor() {
    let first = Harness::leading();
    let mut second = Harness::with_servers(2, 2, first.map.clone(), &[1]);
    second.run(Duration::from_secs(1));
    second.feed(Event::ShutdownStarted);
    let mut harness = Harness::with_servers(2, 3, second.map.clone(), &[1]);
    let begun = harness.now;
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Guards against relying on the report of a host that is not the predecessor: it proves nothing
/// about the one that is.
#[test]
fn stop_report_of_another_host_does_not_count() {
    let first = Harness::leading();
    let mut harness = Harness::with_servers(2, 2, first.map.clone(), &[1]);
    let begun = harness.now;
    harness.feed(Event::PeerStopped {
        leader: leader(3),
        epoch: Epoch(1),
        others_left: Duration::ZERO,
    });
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Guards against a needless wait: a host that stops records that it sends no more grants, and its
/// successor has to wait for the hold only.
#[test]
fn successor_of_a_stopped_host_waits_for_the_hold_only() {
    let mut first = Harness::leading();
    first.feed(Event::ShutdownStarted);
    assert_eq!(first.map.as_ref().unwrap().leader, None);
    let mut harness = Harness::new(2, first.map.clone());
    harness.silent.push(server(1, false).id);
    let took = harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(took >= longest_hold() && took < longest_hold() + Duration::from_secs(3));
}

/// Guards against a host that sends grants after another one has recorded itself as the leader.
#[test]
fn replaced_leader_sends_no_more_grants() {
    let mut harness = Harness::leading();
    let mut map = harness.map.clone().unwrap();
    map.begin_epoch(leader(2), Era(0));
    harness.sent.clear();
    harness.map = Some(map.clone());
    harness.feed(Event::Duty(false));
    harness.feed(Event::Read { sent_at: harness.now, map: Some(map), era: Era(0) });
    harness.run(Duration::from_secs(5));
    assert!(harness.sent.is_empty() && !harness.grantor.leads());
}

/// Guards against refusing callers of every key for five seconds although all servers are up.
///
/// The granting host is told to shut down while the store is unreachable. Without the rule, it
/// stops renewing immediately, holds expire three seconds later, and no host can take over before the
/// store is back. The process runs for some seconds more to finish its last requests, and can renew
/// for as long.
#[test]
fn shutdown_without_the_store_keeps_renewing() {
    let mut harness = Harness::leading();
    harness.run_without_store(Duration::from_secs(2));
    harness.feed_without_store(Event::ShutdownStarted);
    let stopped = harness.now;
    harness.run_without_store(Duration::from_secs(4));
    assert!(
        harness.last_grant_to(1) >= stopped + Duration::from_secs(3),
        "renewals ended with the shutdown"
    );
    assert!(
        harness.map.as_ref().unwrap().leader.is_some(),
        "it recorded its stop while it still renews"
    );
    harness.run(Duration::from_secs(1));
    let last = harness.last_grant_to(1);
    assert!(harness.map.as_ref().unwrap().leader.is_none(), "its stop is not recorded");
    harness.run(Duration::from_secs(2));
    assert_eq!(harness.last_grant_to(1), last);
}

/// Guards against a needless wait when the granting process exits before the store is back, and a
/// server ends too. The other hosts received its report that it sends no more grants. Its successor
/// has to wait only for the hold before the dead server's keys are served again, and not for the
/// time during which a partitioned host might renew.
#[test]
fn host_that_exited_without_the_store_is_not_waited_for() {
    let mut first = Harness::leading();
    first.run_without_store(Duration::from_secs(2));
    first.feed_without_store(Event::ShutdownStarted);
    first.feed_without_store(Event::Exit);
    assert!(!first.grantor.leads());
    let others_left = first.reported_others_left[0];

    let mut harness = Harness::on_standby(2, first.map.clone(), &[1]);
    harness.feed(Event::PeerStopped { leader: leader(1), epoch: Epoch(1), others_left });
    harness.run(Duration::from_secs(2));
    let begun = harness.now;
    harness.feed(Event::Duty(true));
    harness.run_until(|harness| harness.keys_of(1) == 0);
    let took = harness.now - begun;
    assert!(took >= longest_hold() - timing::MAX_CALL_TIME, "{took:?}");
    assert!(took < longest_hold() + Duration::from_secs(2), "{took:?}");
}

/// Guards against two servers that hold the same keys.
///
/// A host gave the duty back and reported that, led again a second later, and was then cut off. If
/// its successor applied the first report to the later epoch, it would not wait for what the host
/// renews now.
#[test]
fn stop_report_of_an_earlier_epoch_does_not_count() {
    let first = Harness::leading();
    let mut map = first.map.clone().unwrap();
    map.begin_epoch(leader(1), Era(0));
    map.rivals.clear();
    let mut harness = Harness::on_standby(2, Some(map), &[1]);
    harness.feed(Event::PeerStopped {
        leader: leader(1),
        epoch: Epoch(1),
        others_left: Duration::ZERO,
    });
    harness.run(Duration::from_secs(2));
    let begun = harness.now;
    harness.feed(Event::Duty(true));
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= begun + timing::CONFIRMATION_VALID_FOR + longest_hold());
}

/// Guards against two servers that execute requests for the same key: one is granted keys under a
/// token below that of another server that still holds them.
///
/// A leader reaches too few servers and gives the duty back; the store doesn't keep its record of
/// that. It gets the duty again and claims. While the claim is being appended, a read returns its
/// own older record. Without the rule, the host takes that for the claim, leads on in its old epoch
/// and reissues that epoch's tokens.
#[test]
fn record_of_an_earlier_epoch_does_not_confirm_a_claim() {
    let mut harness = Harness::with_servers(3, 1, None, &[]);
    harness.run(Duration::from_secs(2));
    let before = harness.map.clone().unwrap();
    harness.silent = (1..=3).map(|n| server(n, false).id).collect();
    while harness.grantor.leads() {
        harness.run_without_store(TICK);
    }
    assert!(harness.resigned);
    harness.feed_without_store(Event::NotRecorded);
    harness.silent.clear();
    harness.now += timing::RESIGN_COOLDOWN + Duration::from_secs(1);
    harness.feed_without_store(Event::Duty(true));
    harness.feed_without_store(Event::Tick);

    harness.sent.clear();
    harness.feed_without_store(Event::Read {
        sent_at: harness.now,
        map: Some(before.clone()),
        era: Era(0),
    });
    harness.run_without_store(Duration::from_secs(1));
    assert!(!harness.grantor.leads(), "it leads by its own older record");
    assert_eq!(harness.sent.len(), 0);

    harness.feed(Event::Recorded { sent_at: harness.now });
    harness.run(Duration::from_secs(1));
    assert!(harness.grantor.leads());
    let epoch = harness.grantor.map().unwrap().epoch;
    assert_eq!(epoch, before.epoch.next());
    let first = harness.grantor.map().unwrap().first_token();
    assert!(!harness.sent.is_empty());
    assert!(harness.sent.iter().all(|(_, _, call)| call.token >= first));
}

/// Guards against two servers that execute requests for the same key, granted under tokens of two
/// epochs by two hosts that both lead.
///
/// The duty is reassigned twice within a second, and the store answers slowly. A host claims;
/// another reads the claim and claims after it; the first reads that, and then gets the answer that
/// its own claim was committed. Without the rule, it leads on from there and replaces its
/// successor's record with its next one. The successor reads it, stops, and claims the same epoch
/// again, with the same tokens.
#[test]
fn claim_followed_by_another_does_not_lead() {
    let first = Harness::leading();
    let mut harness = Harness::on_standby(2, first.map.clone(), &[]);
    assert!(harness.feed_without_store(Event::Duty(true)), "no claim is appended");
    let mut newer = first.map.clone().unwrap();
    newer.begin_epoch(leader(2), Era(0));
    newer.begin_epoch(leader(3), Era(0));

    harness.feed_without_store(Event::Duty(false));
    harness.feed_without_store(Event::Read {
        sent_at: harness.now,
        map: Some(newer.clone()),
        era: Era(0),
    });
    harness.map = Some(newer);
    harness.feed(Event::Recorded { sent_at: harness.now });
    harness.run(Duration::from_secs(1));
    assert!(!harness.grantor.leads(), "it leads although it was replaced");
    assert_eq!((harness.sent.len(), harness.records.len()), (0, 0));
    assert!(!harness.reported_others_left.is_empty(), "its successor is not notified of its stop");
}
