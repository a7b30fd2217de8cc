//! A replica never takes for complete what another host happens to hold: it lists what the store listed at the replica's end.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use arbtest::{arbitrary, arbtest};
use jacinthbeam_host::{
    process::{
        peers::{
            HostEntry,
            update::{StateUpdate, UpdateRequest},
        },
        replica::StoreReplica,
    },
    version::Leaving,
};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

const HOSTS: usize = 4;

fn server(name: &ServerName, slots: u32) -> Server {
    Server {
        id: name.clone().into(),
        service: "tiles".parse().unwrap(),
        addr: "127.0.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots,
        draining: false,
        warmup_left: Duration::ZERO,
        cold_rate: None,
    }
}

/// The keyed log of a partition: at each offset a key, and its value unless the key was removed.
#[derive(Default)]
struct Log {
    era: u64,
    records: Vec<(u32, Option<u32>)>,
    /// What existed at each end, also in earlier eras.
    states: BTreeMap<Offset, BTreeMap<u32, u32>>,
}

impl Log {
    fn end(&self) -> Offset {
        self.offset(self.records.len())
    }

    fn offset(&self, number: usize) -> Offset {
        Offset::new(Era(self.era), number as u64)
    }

    fn append(&mut self, key: u32, value: Option<u32>) {
        self.records.push((key, value));
        self.note_state();
    }

    fn note_state(&mut self) {
        let exists = self.newest().into_iter().map(|(key, (_, value))| (key, value)).collect();
        self.states.insert(self.end(), exists);
    }

    /// Replaces the log by a copy of its first `records` records.
    fn restore(&mut self, records: usize) {
        self.era += 1;
        let rest = self.records.split_off(records);
        drop(rest);
        self.note_state();
    }

    fn newest(&self) -> BTreeMap<u32, (Offset, u32)> {
        let mut newest = BTreeMap::new();
        for (number, (key, value)) in self.records.iter().enumerate() {
            match value {
                Some(value) => drop(newest.insert(*key, (self.offset(number), *value))),
                None => drop(newest.remove(key)),
            }
        }
        newest
    }

    fn state(&self, end: Offset) -> BTreeMap<u32, u32> {
        self.states.get(&end).cloned().unwrap_or_default()
    }
}

#[derive(Default)]
struct Host {
    replica: StoreReplica,
    /// Offset of the next record that it reads of the store; `None` if it reads the newest record of each key.
    next: Option<Offset>,
}

fn name(key: u32) -> ServerName {
    format!("s{key}").parse().unwrap()
}

impl Host {
    fn apply_server(&mut self, key: u32, offset: Offset, value: Option<u32>, end: Offset) -> bool {
        let name = name(key);
        if self.replica.is_server_superseded(offset, end) {
            return false;
        }
        let server = value.map(|value| server(&name, value));
        self.replica.apply_server(name, offset, server, Leaving::Unbounded)
    }

    fn read_servers(&mut self, log: &Log, now: Instant) {
        let (mut changed, end) = (false, log.end());
        match self.next.filter(|next| next.era() == Era(log.era)) {
            Some(next) => {
                let from = next.number() as usize;
                for (number, (key, value)) in log.records.iter().enumerate().skip(from) {
                    changed |= self.apply_server(*key, log.offset(number), *value, end);
                }
            }
            None => {
                let newest = log.newest();
                for (key, (offset, value)) in &newest {
                    changed |= self.apply_server(*key, *offset, Some(*value), end);
                }
                let names: Vec<ServerName> = newest.keys().map(|key| name(*key)).collect();
                let listed: Vec<&str> = names.iter().map(ServerName::as_str).collect();
                changed |= self.replica.remove_unlisted(&listed, end, Leaving::Unbounded);
            }
        }
        self.next = Some(end);
        self.replica.mark_servers_current(end, Some(now), changed, now);
    }

    fn request(&self) -> UpdateRequest {
        let request = self.replica.update_request(Duration::ZERO);
        UpdateRequest::from_bytes(&request.to_bytes()).unwrap()
    }

    fn servers(&self) -> BTreeMap<u32, u32> {
        let key = |server: &Server| server.id.name().as_str()[1..].parse().unwrap();
        self.replica.servers().iter().map(|server| (key(server), server.slots)).collect()
    }
}

fn answer(of: &Host, request: &UpdateRequest, now: Instant) -> StateUpdate {
    let update = of.replica.update_for(request, Duration::ZERO, now);
    StateUpdate::from_bytes(&update.to_bytes()).unwrap()
}

/// Takes updates of a host until one leaves nothing to be found out.
fn follow(host: &mut Host, of: &Host, now: Instant) {
    for _ in 0..3 {
        let update = answer(of, &host.request(), now);
        if !host.replica.apply_update(update, now).incomplete {
            return;
        }
    }
    panic!("the host does not come to the list of the one that it follows");
}

fn pair(
    hosts: &mut [Host],
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<Option<(usize, usize)>> {
    let (host, of) = (u.choose_index(hosts.len())?, u.choose_index(hosts.len())?);
    Ok((host != of).then_some((host, of)))
}

/// Guards against requests to servers that have left, after an update of a host that started later, read a complete list, fell behind, or knows
/// another era of the store.
#[test]
fn a_replica_lists_the_servers_of_the_store_at_its_end() {
    arbtest(|u| {
        let mut now = Instant::now();
        let mut log = Log::default();
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
        let mut value = 0;
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=15_000)?);
            match u.int_in_range(0..=9)? {
                0..=3 => {
                    let key = u.int_in_range(0..=9)?;
                    value += 1;
                    let is_listed = log.newest().contains_key(&key);
                    let removes = is_listed && u.ratio(1, 2)?;
                    log.append(key, (!removes).then_some(value));
                }
                4 => {
                    let host = u.choose_index(HOSTS)?;
                    hosts[host] = Host::default();
                }
                5 => {
                    let host = u.choose_index(HOSTS)?;
                    hosts[host].next = None;
                }
                6 if u.ratio(1, 6)? => {
                    let records = u.int_in_range(0..=log.records.len())?;
                    log.restore(records);
                }
                6 | 7 => {
                    let host = u.choose_index(HOSTS)?;
                    hosts[host].read_servers(&log, now);
                }
                _ => {
                    if let Some((host, of)) = pair(&mut hosts, u)? {
                        let mut following = std::mem::take(&mut hosts[host]);
                        follow(&mut following, &hosts[of], now);
                        let end = hosts[of].request().servers_end;
                        assert!(following.request().servers_end >= end);
                        hosts[host] = following;
                    }
                }
            }
            for host in &hosts {
                assert_eq!(host.servers(), log.state(host.request().servers_end));
            }
        }
        Ok(())
    });
}

/// Guards against servers that come back to the list: an update that was built before the host read a later list of the store arrives after it.
#[test]
fn an_overtaken_update_lists_no_server_that_has_left() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut host, mut of) = (Host::default(), Host::default());
    host.read_servers(&log, now);
    log.append(2, Some(2));
    of.read_servers(&log, now);
    let update = answer(&of, &host.request(), now);
    log.append(2, None);
    host.next = None;
    host.read_servers(&log, now);
    host.replica.apply_update(update, now);
    assert_eq!(host.servers(), log.state(log.end()));
}

/// The same for a server that had left before, and whose return and second removal the host has not seen.
#[test]
fn an_overtaken_update_lists_no_server_that_has_left_again() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    log.append(1, None);
    let (mut host, mut of) = (Host::default(), Host { next: Some(Offset(0)), ..Host::default() });
    of.read_servers(&log, now);
    follow(&mut host, &of, now);
    log.append(1, Some(2));
    of.read_servers(&log, now);
    let update = answer(&of, &host.request(), now);
    log.append(1, None);
    host.read_servers(&log, now);
    host.replica.apply_update(update, now);
    assert_eq!(host.servers(), log.state(log.end()));
}

/// Guards against updates whose size grows with the number of servers after a restart of the host that others follow.
#[test]
fn a_restarted_source_lists_only_what_may_differ() {
    const SERVERS: u32 = 5000;
    let now = Instant::now();
    let records = (0..SERVERS).map(|key| (key, Some(1))).collect();
    let mut log = Log { records, ..Log::default() };
    let mut host = Host::default();
    host.read_servers(&log, now);
    for key in [7, 8] {
        log.records.push((key, None));
    }
    log.records.push((9, Some(2)));
    let mut restarted = Host::default();
    restarted.read_servers(&log, now);

    let update = answer(&restarted, &host.request(), now);
    assert_eq!(update.servers.len(), 1);
    assert!(host.replica.apply_update(update, now).incomplete);
    let update = answer(&restarted, &host.request(), now);
    let listed = update.servers.len();
    assert!(listed < 100, "{listed} of {SERVERS} servers");
    assert!(!host.replica.apply_update(update, now).incomplete);
    assert_eq!(host.servers().len(), SERVERS as usize - 2);
    assert!(answer(&restarted, &host.request(), now).is_empty());
}

/// Guards against an answer that waits for changes, although the other host lists a server that has left.
#[test]
fn a_difference_without_newer_records_is_answered_immediately() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut host, mut restarted) = (Host::default(), Host::default());
    host.read_servers(&log, now);
    log.append(1, None);
    restarted.read_servers(&log, now);
    let update = answer(&restarted, &host.request(), now);
    assert!(update.servers.is_empty() && !update.is_empty());
    follow(&mut host, &restarted, now);
    assert!(host.servers().is_empty());
}

/// Guards against polls without a pause of a host whose data is older, and which therefore lists other servers.
#[test]
fn a_source_that_is_behind_waits_for_changes() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut host, mut behind) = (Host::default(), Host::default());
    behind.read_servers(&log, now);
    log.append(1, None);
    host.read_servers(&log, now);
    assert!(answer(&behind, &host.request(), now).is_empty());
}

fn domain(key: u32) -> FailureDomain {
    format!("d{key}").parse().unwrap()
}

/// Reads the operator's records, all later ones or the newest of each domain.
fn read_operator(host: &mut Host, log: &Log, now: Instant) {
    let end = log.end();
    let apply = |host: &mut Host, key: u32, offset: Offset, value: Option<u32>| {
        if !host.replica.is_evacuation_superseded(offset, end) {
            host.replica.apply_evacuation(domain(key), offset, value.is_some(), now);
        }
    };
    match host.next {
        Some(next) => {
            let from = next.number() as usize;
            for (number, (key, value)) in log.records.iter().enumerate().skip(from) {
                apply(host, *key, log.offset(number), *value);
            }
        }
        None => {
            let newest = log.newest();
            for (key, (offset, value)) in &newest {
                apply(host, *key, *offset, Some(*value));
            }
            let listed: Vec<FailureDomain> = newest.keys().map(|key| domain(*key)).collect();
            host.replica.retain_evacuations(&listed, end, now);
        }
    }
    host.next = Some(end);
    host.replica.mark_evacuations_current(end);
}

/// Guards against failure domains that stay evacuated at a host that was cut off when they returned to service, and against evacuations that a
/// host which was cut off tells others again.
#[test]
fn a_replica_has_the_evacuations_of_the_store_at_its_end() {
    arbtest(|u| {
        let now = Instant::now();
        let mut log = Log::default();
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
        while !u.is_empty() {
            match u.int_in_range(0..=7)? {
                0..=2 => {
                    let key = u.int_in_range(0..=4)?;
                    let is_evacuated = log.newest().contains_key(&key);
                    log.append(key, (!is_evacuated).then_some(1));
                }
                3 => {
                    let host = u.choose_index(HOSTS)?;
                    hosts[host] = Host::default();
                }
                4 | 5 => {
                    let host = u.choose_index(HOSTS)?;
                    if u.ratio(1, 2)? {
                        hosts[host].next = None;
                    }
                    read_operator(&mut hosts[host], &log, now);
                }
                _ => {
                    if let Some((host, of)) = pair(&mut hosts, u)? {
                        let update = answer(&hosts[of], &hosts[host].request(), now);
                        hosts[host].replica.apply_update(update, now);
                        let end = hosts[of].request().evacuations_end;
                        assert!(hosts[host].request().evacuations_end >= end);
                        let again = answer(&hosts[of], &hosts[host].request(), now);
                        assert!(again.evacuations.is_empty(), "told twice");
                    }
                }
            }
            for host in &hosts {
                let evacuated = host.replica.view().evacuated.keys().cloned().collect();
                let expected: BTreeSet<FailureDomain> =
                    log.state(host.request().evacuations_end).into_keys().map(domain).collect();
                assert_eq!(expected, evacuated);
            }
        }
        Ok(())
    });
}

/// Guards against a failure domain without requests: a host was cut off when it returned to service, and follows one that has started since.
#[test]
fn a_missed_return_to_service_is_learned_from_a_host_that_has_started() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut host, mut restarted) = (Host::default(), Host::default());
    read_operator(&mut host, &log, now);
    log.append(1, None);
    log.append(2, Some(1));
    read_operator(&mut restarted, &log, now);
    let update = answer(&restarted, &host.request(), now);
    host.replica.apply_update(update, now);
    let view = host.replica.view();
    assert_eq!(view.evacuated.keys().collect::<Vec<_>>(), [&domain(2)]);
}

/// Guards against a restored store's lost evacuation that a host which has started since never learns of.
#[test]
fn an_evacuation_that_a_restore_lost_reaches_a_host_that_starts_later() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut knows, mut host) = (Host::default(), Host::default());
    read_operator(&mut knows, &log, now);
    log.restore(0);
    log.append(2, Some(1));
    host.next = None;
    read_operator(&mut host, &log, now);
    let update = answer(&knows, &host.request(), now);
    host.replica.apply_update(update, now);
    assert!(host.replica.view().evacuated.contains_key(&domain(1)));
}

/// Guards against hosts that are missing from the list of one that follows a host which has started, whichever reads the store.
#[test]
fn a_replica_has_the_hosts_of_the_store_at_its_end() {
    arbtest(|u| {
        let now = Instant::now();
        let mut log = Log::default();
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
        let entry = |value: u32| HostEntry {
            addr: format!("127.0.0.1:{}", value % 60_000 + 1).parse().unwrap(),
            domain: "a".parse().unwrap(),
            processor: Millicores::CORE,
            relay: false,
        };
        let host_id = |key: u32| format!("h{key}").parse::<HostId>().unwrap();
        let mut value = 0;
        while !u.is_empty() {
            let host = u.choose_index(HOSTS)?;
            match u.int_in_range(0..=7)? {
                0..=2 => {
                    value += 1;
                    log.append(u.int_in_range(0..=9)?, Some(value));
                }
                3 => hosts[host] = Host::default(),
                4 => {
                    let key = u.int_in_range(0..=9)?;
                    hosts[host].replica.apply_relay(host_id(key), entry(0));
                }
                5 => {
                    for (key, (offset, value)) in log.newest() {
                        hosts[host].replica.apply_host(host_id(key), offset, entry(value));
                    }
                    hosts[host].replica.mark_hosts_current(log.end());
                }
                _ => {
                    if let Some((host, of)) = pair(&mut hosts, u)? {
                        let update = answer(&hosts[of], &hosts[host].request(), now);
                        hosts[host].replica.apply_update(update, now);
                    }
                }
            }
            for host in &hosts {
                for (key, value) in log.state(host.request().hosts_end) {
                    assert_eq!(host.replica.host(&host_id(key)), Some(&entry(value)));
                }
            }
        }
        Ok(())
    });
}

/// Guards against an older build that can't decode what a newer one appends to requests and updates, and the reverse.
#[test]
fn messages_of_an_older_build_are_understood() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut host, mut of) = (Host::default(), Host::default());
    of.read_servers(&log, now);
    let older = UpdateRequest { listed: None, ..host.request() };
    assert_eq!(UpdateRequest::from_bytes(&older.to_bytes()).unwrap(), older);
    let update = answer(&of, &older, now);
    let older = StateUpdate { coverage: None, ..update };
    assert_eq!(StateUpdate::from_bytes(&older.to_bytes()).unwrap(), older);
    assert!(!host.replica.apply_update(older, now).incomplete);
    assert_eq!(host.servers(), log.state(log.end()));
}

/// Guards against polls without a pause of a host with an older build: it tells the same evacuations again unless it is told of a later end.
#[test]
fn evacuations_of_an_older_build_are_told_once() {
    let now = Instant::now();
    let mut log = Log::default();
    log.append(1, Some(1));
    let (mut host, mut of) = (Host::default(), Host::default());
    read_operator(&mut of, &log, now);
    let ask = |host: &Host| UpdateRequest { listed: None, ..host.request() };
    let update = StateUpdate { coverage: None, ..answer(&of, &ask(&host), now) };
    host.replica.apply_update(update, now);
    assert!(host.replica.view().evacuated.contains_key(&domain(1)));
    assert!(answer(&of, &ask(&host), now).is_empty());
}
