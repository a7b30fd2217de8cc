//! A replica never goes back, whatever source its data comes from.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use jacinthbeam_host::{
    process::{peers::HostEntry, replica::StoreReplica},
    version::{Grace, Leaving},
};
use jacinthbeam_range::{Key, KeyRange, Map, Owner};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

fn id(n: u32) -> ServerId {
    format!("s{n}").parse().unwrap()
}

fn server(n: u32, draining: bool) -> Server {
    Server {
        id: id(n),
        service: "tiles".parse().unwrap(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 3,
        draining,
        warmup_left: Duration::ZERO,
        cold_rate: None,
    }
}

fn grace(drained: Duration) -> Grace {
    Grace { drained, evacuated: Duration::from_secs(5) }
}

/// Applies one record as read from the store.
fn apply(replica: &mut StoreReplica, now: Instant, offset: u64, n: u32, server: Option<Server>) {
    let changed =
        replica.apply_server(id(n).name().clone(), Offset(offset), server, Leaving::Since(now));
    replica.mark_servers_current(Offset(offset + 1), Some(now), changed, now);
}

/// Guards against requests to a backend server that left three seconds ago.
///
/// The host has the server from another host, loses that one, and reads the store itself. The server has left in between, and the record of
/// that was removed together with the server's key, so the only sign is that the complete list lacks it.
#[test]
fn a_complete_list_removes_servers_learned_from_another_host() {
    let now = Instant::now();
    let (mut near, mut host) = (StoreReplica::default(), StoreReplica::default());
    apply(&mut near, now, 0, 1, Some(server(1, false)));
    apply(&mut near, now, 1, 2, Some(server(2, false)));
    let update = near.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, now);
    host.apply_update(update, now);
    assert!(host.servers().takes_work(&id(2)));

    let changed = host.remove_unlisted(&["s1"], Offset(5), Leaving::Since(now));
    host.mark_servers_current(Offset(5), Some(now), changed, now);

    assert!(changed && host.servers().get(&id(2)).is_none());
    assert!(host.servers().takes_work(&id(1)));
    let view = host.view();
    assert!(view.may_send(&id(2), now + Duration::from_millis(900), grace(Duration::from_secs(1))));
    assert!(!view.may_send(
        &id(2),
        now + Duration::from_millis(1100),
        grace(Duration::from_secs(1))
    ));
}

/// Guards against requests to a server that has left, when the store has lost its recent history and returns a list from some seconds ago.
#[test]
fn an_older_list_restores_no_server() {
    let now = Instant::now();
    let mut host = StoreReplica::default();
    apply(&mut host, now, 3, 1, Some(server(1, false)));
    apply(&mut host, now, 7, 1, None);
    apply(&mut host, now, 3, 1, Some(server(1, false)));
    assert!(host.servers().get(&id(1)).is_none());
}

/// Guards against a running server without requests: its entry expired while the store was unreachable, and reappears afterwards.
#[test]
fn a_server_whose_entry_is_back_takes_work_again() {
    let now = Instant::now();
    let mut host = StoreReplica::default();
    apply(&mut host, now, 1, 1, Some(server(1, false)));
    apply(&mut host, now, 2, 1, None);
    apply(&mut host, now, 3, 1, Some(server(1, false)));
    assert!(host.servers().takes_work(&id(1)));
    assert!(host.view().may_send(&id(1), now + Duration::from_secs(60), grace(Duration::ZERO)));
}

/// Guards against updates that lose records: after any sequence of records and updates, a host that follows another has the same list.
#[test]
fn a_host_that_follows_another_has_the_same_list() {
    arbtest(|u| {
        let begun = Instant::now();
        let (mut near, mut host) = (StoreReplica::default(), StoreReplica::default());
        let (mut offset, mut now) = (0, begun);
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=20_000)?);
            let n = u.int_in_range(0..=6)?;
            let record = match u.int_in_range(0..=3)? {
                0 => None,
                1 => Some(server(n, true)),
                _ => Some(server(n, false)),
            };
            apply(&mut near, now, offset, n, record);
            offset += 1;
            if u.ratio(1, 3)? {
                let update =
                    near.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, now);
                host.apply_update(update, now);
                assert_eq!(host.servers(), near.servers());
            }
        }
        Ok(())
    });
}

/// Guards against updates without hosts or with outdated entries of them.
#[test]
fn updates_carry_the_newest_entries_of_hosts() {
    let now = Instant::now();
    let entry = |port| HostEntry {
        processor: Millicores::CORE,
        addr: format!("127.0.0.1:{port}").parse().unwrap(),
        domain: "a".parse().unwrap(),
        relay: false,
    };
    let (mut near, mut host) = (StoreReplica::default(), StoreReplica::default());
    let h1: HostId = "h1".parse().unwrap();
    assert!(near.apply_host(h1.clone(), Offset(4), entry(1)));
    assert!(!near.apply_host(h1.clone(), Offset(2), entry(2)));
    near.mark_hosts_current(Offset(5));
    let update = near.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, now);
    host.apply_update(update, now);
    assert_eq!(host.hosts().collect::<Vec<_>>(), [(&h1, &entry(1))]);
    let again = near.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, now);
    assert!(again.is_empty());
}

/// Guards against requests to a server 2.9 s after the store accepted that it is leaving, where 2 s are allowed.
///
/// The record passed two other hosts, one of them slow, which took 1.4 s, and the host counted the server's grace period from its arrival. Each
/// host must pass on an upper bound on how long ago the store accepted the record.
#[test]
fn the_time_of_leaving_counts_from_the_store() {
    let begun = Instant::now();
    let after = |ms| begun + Duration::from_millis(ms);
    let (mut reader, mut relay, mut host) =
        (StoreReplica::default(), StoreReplica::default(), StoreReplica::default());
    apply(&mut reader, after(0), 0, 1, Some(server(1, false)));
    let update = reader.update_for(&relay.update_request(Duration::ZERO), Duration::ZERO, after(0));
    relay.apply_update(update, after(0));
    let update = relay.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, after(0));
    host.apply_update(update, after(0));
    // The read at 500 ms didn't include the record.
    reader.mark_servers_current(Offset(1), Some(after(500)), false, after(510));
    let bound = Leaving::after(reader.servers_as_of());
    let changed =
        reader.apply_server(id(1).name().clone(), Offset(1), Some(server(1, true)), bound);
    reader.mark_servers_current(Offset(2), Some(after(1000)), changed, after(1010));
    let update =
        reader.update_for(&relay.update_request(Duration::ZERO), Duration::ZERO, after(1010));
    relay.apply_update(update, after(1010));
    let update =
        relay.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, after(1900));
    host.apply_update(update, after(1900));

    let grace = grace(Duration::from_millis(1700));
    assert!(host.view().may_send(&id(1), after(2150), grace), "the server may still be used");
    assert!(!host.view().may_send(&id(1), after(2250), grace), "the server is used for too long");
}

/// Guards against requests to a server that has been leaving for an unknown time: the first record that a starting host has of it says that it
/// is leaving.
#[test]
fn a_server_that_leaves_for_an_unknown_time_is_sent_nothing() {
    let now = Instant::now();
    let mut known = StoreReplica::default();
    let bound = Leaving::after(known.servers_as_of());
    let changed = known.apply_server(id(1).name().clone(), Offset(0), Some(server(1, true)), bound);
    known.mark_servers_current(Offset(1), Some(now), changed, now);
    assert!(!known.view().may_send(&id(1), now, grace(Duration::from_secs(2))));
    let mut host = StoreReplica::default();
    let update = known.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, now);
    host.apply_update(update, now);
    assert!(!host.view().may_send(&id(1), now, grace(Duration::from_secs(2))));
}

/// Guards against treating a restarted server as leaving: it gets requests like any new one, and a late heartbeat of its previous incarnation
/// changes nothing.
#[test]
fn a_new_incarnation_is_not_leaving() {
    let now = Instant::now();
    let incarnation = |born| Server {
        id: ServerId::new(id(1).name().clone(), Some(Born(born))),
        ..server(1, false)
    };
    let mut known = StoreReplica::default();
    apply(&mut known, now, 0, 1, Some(incarnation(5)));
    apply(&mut known, now, 1, 1, Some(Server { draining: true, ..incarnation(5) }));
    apply(&mut known, now, 2, 1, Some(incarnation(9)));
    apply(&mut known, now, 3, 1, Some(Server { draining: true, ..incarnation(5) }));
    let view = known.view();
    assert!(view.may_send(&incarnation(9).id, now, grace(Duration::ZERO)));
    assert!(!view.may_send(&incarnation(5).id, now, grace(Duration::ZERO)));
    assert_eq!(view.servers.iter().count(), 1);
    assert_eq!(
        view.servers.successor_of(&incarnation(5).id).map(|server| &server.id),
        Some(&incarnation(9).id)
    );
}

/// Guards against denying a route that has been in force for three seconds.
///
/// The host gets the operator's records from another host and must not treat them as current if that one's data is two seconds old. Ages add up
/// from host to host, and older data from another source changes nothing.
#[test]
fn the_age_of_a_configuration_passes_from_host_to_host() {
    let read_at = Instant::now();
    let (mut near, mut host) = (StoreReplica::default(), StoreReplica::default());
    assert_eq!(
        host.update_for(&near.update_request(Duration::ZERO), Duration::ZERO, read_at).config_age,
        None
    );
    near.mark_config_current(read_at);

    let sent_at = read_at + Duration::from_secs(2);
    let update = near.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, sent_at);
    assert_eq!(update.config_age, Some(Duration::from_secs(2)));
    host.apply_update(update, sent_at);
    assert_eq!(host.config_as_of(), Some(read_at));

    host.mark_config_current(read_at - Duration::from_secs(1));
    assert_eq!(host.config_as_of(), Some(read_at));
}

/// Guards against deltas that yield another map: the hosts of a domain poll its reader at different times, and each must have the newest map
/// afterwards, whether it got a delta or, after missing too many versions, the whole map.
#[test]
fn hosts_that_apply_deltas_have_the_same_map() {
    arbtest(|u| {
        let now = Instant::now();
        let service: ServiceName = "tiles".parse().unwrap();
        let (mut reader, mut host) = (StoreReplica::default(), StoreReplica::default());
        let mut map = Map::unowned();
        for _ in 0..u.int_in_range(1..=120)? {
            map.version += 1;
            if u.ratio(1, 20)? {
                map.epoch = map.epoch.next();
                map.version = 0;
            }
            let first = u.arbitrary::<u16>()?;
            let last = first.saturating_add(u.int_in_range(0..=2000)?);
            let n = u.int_in_range(0..=9)?;
            let addr = format!("127.0.0.1:{}", 1000 + n).parse().unwrap();
            let owner = Owner { server: id(n), addr };
            let range = KeyRange { first: Key(first), last: Key(last) };
            map.assign(range, Some(owner), Token(u.int_in_range(1..=3)?), None);
            assert!(reader.apply_map(service.clone(), map.clone()));
            if u.ratio(1, 5)? {
                let update =
                    reader.update_for(&host.update_request(Duration::ZERO), Duration::ZERO, now);
                host.apply_update(update, now);
                assert_eq!(host.map(&service), reader.map(&service));
            }
        }
        Ok(())
    });
}

/// Guards against a draining server that takes work again since the store was restored from a copy with its entry of before.
#[test]
fn an_older_entry_of_a_restored_store_ends_no_drain() {
    let now = Instant::now();
    let mut replica = StoreReplica::default();
    let at = |era, number| Offset::new(Era(era), number).0;
    apply(&mut replica, now, at(1, 5), 1, Some(server(1, false)));
    apply(&mut replica, now, at(1, 9), 1, Some(server(1, true)));
    apply(&mut replica, now, at(2, 5), 1, Some(server(1, false)));
    assert!(!replica.servers().takes_work(&id(1)));
    // Its next heartbeat.
    apply(&mut replica, now, at(2, 6), 1, Some(server(1, true)));
    assert!(!replica.servers().takes_work(&id(1)));
}

/// Guards against hosts that no list names any more after the store has lost their entries.
#[test]
fn a_host_whose_entry_was_lost_is_not_listed() {
    let mut replica = StoreReplica::default();
    let host: HostId = "h1".parse().unwrap();
    let entry = HostEntry {
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        processor: Millicores::CORE,
        relay: false,
    };
    assert!(replica.apply_host(host.clone(), Offset::new(Era(1), 7), entry.clone()));
    replica.mark_hosts_current(Offset::new(Era(1), 8));
    assert!(replica.lists_host(&host, &entry));
    replica.mark_hosts_current(Offset::new(Era(2), 6));
    assert!(!replica.lists_host(&host, &entry));
    assert!(replica.apply_host(host.clone(), Offset::new(Era(2), 6), entry.clone()));
    assert!(replica.lists_host(&host, &entry));
}
