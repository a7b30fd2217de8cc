//! Servers that fall silent, end or leave.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Action, Event, Key, Map,
    demand::LoadReport,
    grantor::{NoAnswer, Outcome, RangeGrant, View, longest_hold},
};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use crate::harness::*;

/// Guards against two owners: a silent server may only be cut off from this host and would go on
/// serving its keys beside a new owner. The price is that callers of a dead server's keys are
/// refused for some seconds.
#[test]
fn silent_server_keeps_its_keys_until_its_last_grant_expires() {
    let mut harness = Harness::leading();
    harness.silent.push(server(1, false).id);
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= harness.last_grant_to(1) + longest_hold());
    assert_eq!(harness.keys_of(2), 65_536);
}

/// Guards against refusals after a failure domain was cut off for three seconds: all requests for
/// its keys were refused for three seconds more.
///
/// Without the rule, servers that fell silent and left the list get no more grants until their
/// holds have expired, although the record still names them and grants could be resumed.
#[test]
fn relisted_server_is_granted_its_keys_again() {
    let mut harness = Harness::leading();
    harness.silent.push(server(1, false).id);
    harness.run(Duration::from_millis(1500));
    harness.servers.remove(&server(1, false).id);
    harness.run(Duration::from_millis(1500));
    harness.silent.clear();
    harness.servers.insert(server(1, false));
    let back = harness.now;
    harness.run(Duration::from_millis(300));
    assert!(harness.last_grant_to(1) >= back, "no grant after its return");
    harness.run(Duration::from_secs(10));
    assert_eq!((harness.keys_of(1), harness.keys_of(2)), (32_768, 32_768));
}

/// Guards against granting again and again to a server that stays on the list and accepts no grant:
/// its hold would never expire.
#[test]
fn silent_server_that_stays_listed_gets_no_grants() {
    let mut harness = Harness::leading();
    harness.silent.push(server(1, false).id);
    harness.run(Duration::from_millis(1500));
    let last = harness.last_grant_to(1);
    harness.run(Duration::from_millis(1500));
    assert_eq!(harness.last_grant_to(1), last);
}

/// Guards against a needless wait: another incarnation answers at the server's address, so this one
/// has certainly ended.
#[test]
fn keys_of_an_ended_server_move_without_a_wait() {
    let mut harness = Harness::leading();
    harness.ended.push(server(1, false).id);
    assert!(harness.run_until(|harness| harness.keys_of(1) == 0) < Duration::from_secs(2));
}

/// Guards against taking a stale entry for a later server. A server has crashed and is back at its
/// address under another id while its former entry is still listed. Its keys would seem free while
/// it holds them, and would be granted to another server too.
#[test]
fn stale_entry_at_the_same_address_does_not_end_a_server() {
    let mut harness = Harness::leading();
    for id in ["a-former-life", "z-former-life"] {
        harness.servers.insert(Server {
            id: id.parse().unwrap(),
            draining: true,
            ..server(1, false)
        });
    }
    harness.run(Duration::from_secs(10));
    assert_eq!((harness.keys_of(1), harness.keys_of(2)), (32_768, 32_768));
}

/// Guards against naming the new owner in a planned move before the old one has answered its
/// release, for as long as the old one may hold the keys.
#[test]
fn keys_of_a_draining_server_wait_for_its_release() {
    let mut harness = Harness::leading();
    harness.servers.insert(server(1, true));
    harness.run_until(|harness| !harness.releases.is_empty());
    harness.run(longest_hold() - TICK);
    assert_eq!(harness.keys_of(1), 32_768);
    for (range, token) in std::mem::take(&mut harness.releases) {
        harness.feed(Event::Released { range, token, handover: Ok(Some("warm".into())) });
    }
    harness.run(TICK * 2);
    assert_eq!(harness.keys_of(1), 0);
    let warm = harness.sent.iter().filter(|(_, _, call)| call.handover.is_some()).count();
    assert!(warm > 0);
}

/// Guards against two owners after a release that may not have arrived: the old owner would serve
/// on beside the new one until its grant expires. Without the wait, two servers held a range for
/// 1.4 s.
#[test]
fn unanswered_release_waits_for_the_hold() {
    let mut harness = Harness::leading();
    harness.servers.insert(server(1, true));
    harness.run_until(|harness| !harness.releases.is_empty());
    let ordered_at = harness.now;
    for (range, token) in std::mem::take(&mut harness.releases) {
        harness.feed(Event::Released { range, token, handover: Err(NoAnswer) });
    }
    harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(harness.now >= ordered_at + longest_hold());
}

/// Guards against refusing callers of a draining server's keys for seven seconds.
///
/// The server ends while it still works on some of the keys, and its release gets no answer. The
/// keys would wait for the timeout of the release and then for a whole hold. Since nothing was
/// granted after the release was ordered, the hold counts from there, answered or not.
#[test]
fn hold_is_counted_from_the_order_of_the_release() {
    let mut harness = Harness::leading();
    harness.servers.insert(server(1, true));
    harness.run_until(|harness| !harness.releases.is_empty());
    let ordered_at = harness.now;
    let released = std::mem::take(&mut harness.releases);
    harness.run_until(|harness| harness.keys_of(1) == 0);
    let took = harness.now - ordered_at;
    assert!(took >= longest_hold() && took <= longest_hold() + TICK * 2, "{took:?}");
    // The release times out, and its answer arrives after all. Neither takes the keys back.
    for (range, token) in released {
        harness.feed(Event::Released { range, token, handover: Err(NoAnswer) });
        harness.feed(Event::Released { range, token, handover: Ok(Some("late".into())) });
    }
    harness.run(Duration::from_secs(2));
    assert_eq!((harness.keys_of(1), harness.keys_of(2)), (0, 65_536));
}

/// Guards against giving up a server that is alive because a part of the grants gets no answer.
#[test]
fn server_that_answers_some_grants_is_not_given_up() {
    let mut harness = Harness::leading();
    for _ in 0..50 {
        harness.now += TICK;
        let view = View {
            now: harness.now,
            servers: &harness.servers,
            servers_stable: true,
            max_owners: usize::MAX,
        };
        for action in harness.grantor.step(view, Event::Tick) {
            let Action::Grant { to, grants, .. } = action else {
                harness.execute(action);
                continue;
            };
            let confirmed = vec![(grants[0].range, grants[0].token)];
            let (outcome, last_call) = (Outcome::Silent, Some(harness.now));
            let (server, refused) = (to.server, Vec::new());
            harness.feed(Event::Granted { server, outcome, last_call, confirmed, refused });
        }
    }
    assert_eq!((harness.keys_of(1), harness.keys_of(2)), (32_768, 32_768));
}

/// Guards against callers being refused because a restarted server holds nothing.
///
/// The connection to it is gone, and the next one reaches a server under the same name that accepts
/// every token. The granting host can't know whether it is the same incarnation, so it grants the
/// keys again under a token that no incarnation has seen, and not before the store has confirmed
/// that no other host leads by then.
#[test]
fn new_connection_needs_a_new_token_and_a_confirmation() {
    let mut harness = Harness::leading();
    let id = server(1, false).id;
    let before = harness.sent.iter().map(|(_, _, call)| call.token).max().unwrap();
    let opened = harness.now;
    harness.connections.insert(id.clone(), opened);
    let sent = harness.sent.len();
    harness.run_without_store(Duration::from_secs(2));
    let to = |(_, to, _): &&(Instant, ServerId, RangeGrant)| *to == id;
    assert_eq!(
        harness.sent[sent..].iter().filter(to).count(),
        0,
        "granted without a confirmation by the store"
    );
    harness.run(Duration::from_millis(700));
    let (at, _, call) = harness.sent[sent..].iter().find(to).expect("its keys are granted again");
    assert!(*at > opened && call.token > before);
    assert_eq!(harness.keys_of(1), 32_768);
}

/// Guards against callers waiting needlessly for a hold to expire when the entry of a server shows
/// another incarnation. Its keys go to that incarnation and to no other server: only a process that
/// answers under the name can have accepted a grant of them.
#[test]
fn keys_of_a_restarted_server_go_to_its_present_incarnation() {
    let mut harness = Harness::leading();
    let old = harness.map.clone().unwrap();
    let again = restarted(1);
    harness.servers.remove(&server(1, false).id);
    harness.servers.insert(again.clone());
    let took = harness.run_until(|harness| harness.keys_of(1) == 0);
    assert!(took <= TICK * 2, "{took:?}");
    let map = harness.map.as_ref().unwrap();
    assert_eq!(map.owned_by(&again.id).map(|held| held.range.width()).sum::<u32>(), 32_768);
    assert_eq!(harness.keys_of(2), 32_768);
    let token = |map: &Map, id| map.owned_by(id).map(|held| held.token).max();
    assert!(token(map, &again.id) > token(&old, &server(1, false).id));
    harness.run(Duration::from_secs(5));
    assert!(harness.releases.is_empty(), "a release is sent to an incarnation that has ended");
}

/// Guards against giving the keys of a warm server to one that has come back cold, since any of
/// them may become hot.
#[test]
fn a_cold_server_gets_no_keys_before_it_is_warm() {
    let mut harness = Harness::leading();
    harness.servers.insert(server(1, true));
    harness.run_until(|harness| !harness.releases.is_empty());
    for (range, token) in std::mem::take(&mut harness.releases) {
        harness.feed(Event::Released { range, token, handover: Ok(None) });
    }
    harness.run_until(|harness| harness.keys_of(1) == 0);
    let cold = Server {
        warmup_left: Duration::from_secs(3),
        cold_rate: Some(Rate(1000)),
        ..server(1, false)
    };
    harness.servers.insert(cold);
    let keys = (0..65_000).step_by(650).map(|key| (Key(key), 1)).collect();
    let report = LoadReport { keys, ..LoadReport::default() };
    harness.feed(Event::Load { from: "h2".parse().unwrap(), report });
    for _ in 0..30 {
        harness.run(TICK);
        for (range, token) in std::mem::take(&mut harness.releases) {
            harness.feed(Event::Released { range, token, handover: Ok(None) });
        }
    }
    assert_eq!(harness.keys_of(1), 0);
    harness.servers.insert(server(1, false));
    for _ in 0..30 {
        harness.run(TICK);
        for (range, token) in std::mem::take(&mut harness.releases) {
            harness.feed(Event::Released { range, token, handover: Ok(None) });
        }
    }
    assert!(harness.keys_of(1) > 0, "the server is warm and gets no keys");
}

/// Guards against keys without an owner while every server is cold.
#[test]
fn cold_servers_get_keys_where_no_server_is_warm() {
    let mut harness = Harness::leading();
    for n in [1, 2] {
        let cold_rate = Some(Rate(4400));
        let cold = Server { warmup_left: Duration::from_secs(9), cold_rate, ..server(n, n == 1) };
        harness.servers.insert(cold);
    }
    harness.run_until(|harness| !harness.releases.is_empty());
    for (range, token) in std::mem::take(&mut harness.releases) {
        harness.feed(Event::Released { range, token, handover: Ok(None) });
    }
    harness.run_until(|harness| harness.keys_of(2) == 65_536);
}
