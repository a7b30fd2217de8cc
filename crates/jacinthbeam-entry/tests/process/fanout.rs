use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_entry::process::{Handle, dump::Dump, spawn};
use jacinthbeam_native::format::hosts::{EntryHost, HostList};
use jacinthbeam_peer::{
    Client,
    message::{Answer, Question, Records},
};
use jacinthbeam_standin as standin;
use jacinthbeam_state::{CONTROL, Envelope, Record, RecordId};
use jacinthbeam_types::prelude::*;

use crate::support::{LOOPBACK, settings};

/// Bound of every wait for a condition. Reached only if the condition never comes.
const BOUND: Duration = Duration::from_secs(30);
const HOSTS: usize = 6;

/// Entry hosts of one cell, each with an address of the log for itself.
struct Cell {
    log: standin::log::Handle,
    hosts: standin::hosts::Handle,
    ways: BTreeMap<HostId, standin::Listener>,
    entries: BTreeMap<HostId, Handle>,
}

impl Cell {
    /// Starts the hosts and waits until each has found its way to the log.
    async fn spawn() -> Self {
        let log = standin::log::spawn(LOOPBACK, Default::default()).unwrap();
        let hosts = standin::hosts::spawn(LOOPBACK, Default::default()).unwrap();
        let mut cell = Self { log, hosts, ways: BTreeMap::new(), entries: BTreeMap::new() };
        for number in 0..HOSTS {
            let name = format!("entry-{number}");
            let id: HostId = name.parse().unwrap();
            let way = cell.log.listen(LOOPBACK).unwrap();
            let settings = settings(&name, way.addr(), cell.hosts.addr());
            let entry = spawn(&settings, Arc::new(SystemClock)).unwrap();
            cell.ways.insert(id.clone(), way);
            cell.entries.insert(id, entry);
        }
        let listed = |(id, entry): (&HostId, &Handle)| EntryHost {
            id: id.clone(),
            cell: entry.identity().cell.clone(),
            peer_address: entry.identity().peer_address,
            leaving: false,
        };
        let entry_hosts = cell.entries.iter().map(listed).collect();
        cell.hosts.set_list(HostList { entry_hosts, backend_servers: Vec::new() });
        cell.append(1);
        cell.until(|dumps| readers(dumps).len() == 2 && use_only(dumps, &readers(dumps))).await;
        cell
    }

    /// Appends records that every fold finds void.
    fn append(&self, count: u64) {
        for sequence in 0..count {
            let server = "brine-0".parse().unwrap();
            let envelope = Envelope {
                id: RecordId { incarnation: Incarnation(1), sequence },
                why: "test".into(),
                record: Record::Keep { server, server_epoch: Epoch(9) },
            };
            self.log.append(CONTROL, envelope.encode().unwrap().into());
        }
    }

    fn end(&self) -> Offset {
        Offset(self.log.records(CONTROL).len() as u64)
    }

    async fn dumps(&self) -> BTreeMap<HostId, Dump> {
        let mut dumps = BTreeMap::new();
        for (id, entry) in &self.entries {
            dumps.insert(id.clone(), entry.dump().await.unwrap());
        }
        dumps
    }

    async fn until(&self, done: impl Fn(&BTreeMap<HostId, Dump>) -> bool) {
        let deadline = tokio::time::Instant::now() + BOUND;
        loop {
            let dumps = self.dumps().await;
            if done(&dumps) {
                return;
            }
            let ways = dumps.iter().map(|(id, dump)| (id, &dump.log_via, dump.log_next));
            let seen: Vec<_> = ways.collect();
            assert!(tokio::time::Instant::now() < deadline, "it never came to that: {seen:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all hosts but one have read everything that stands in the log now.
    async fn until_read(&self, but: Option<&HostId>) {
        let end = self.end();
        self.until(|dumps| {
            let mut others = dumps.iter().filter(|(id, _)| Some(*id) != but);
            others.all(|(_, dump)| dump.log_next >= end)
        })
        .await;
    }

    /// One of the two hosts that read the log, which others read through.
    async fn relay(&self) -> HostId {
        let found = std::cell::RefCell::new(None);
        self.until(|dumps| {
            *found.borrow_mut() = dumps.values().find_map(|dump| dump.log_via.clone());
            found.borrow().is_some()
        })
        .await;
        found.into_inner().expect("waited for")
    }

    fn peer_address(&self, host: &HostId) -> SocketAddr {
        self.entries[host].identity().peer_address
    }
}

/// Hosts that read the log itself.
fn readers(dumps: &BTreeMap<HostId, Dump>) -> Vec<HostId> {
    let direct = dumps.iter().filter(|(_, dump)| dump.log_via.is_none());
    direct.map(|(id, _)| id.clone()).collect()
}

/// Whether nobody reads through another host than these.
fn use_only(dumps: &BTreeMap<HostId, Dump>, relays: &[HostId]) -> bool {
    dumps.values().filter_map(|dump| dump.log_via.as_ref()).all(|via| relays.contains(via))
}

async fn read(client: &Client, addr: SocketAddr, from: Offset) -> Result<Records, String> {
    let wait = Duration::from_millis(250);
    let question = Question::ReadLog { from, max_bytes: 300, wait };
    match client.ask(addr, &question, BOUND).await.unwrap() {
        Answer::Records(records) => Ok(records),
        Answer::Failed { why } => Err(why),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_hosts_of_a_cell_read_the_log_and_the_others_read_through_them() {
    let cell = Cell::spawn().await;
    cell.append(300);
    cell.until_read(None).await;
    cell.until(|dumps| {
        let relayed = dumps.values().filter(|dump| dump.log_via.is_some());
        relayed.filter(|dump| dump.log_reads.relayed >= 5).count() == HOSTS - 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn records_come_through_a_relay_in_order_and_without_a_gap() {
    // Read in small pieces from the start while more are written. A gap or another order would make hosts fold different histories.
    let cell = Cell::spawn().await;
    cell.append(100);
    let addr = cell.peer_address(&cell.relay().await);
    let client = Client::open(Default::default());
    let mut got = Vec::new();
    while (got.len() as u64) < cell.end().0 {
        if got.len() == 50 {
            cell.append(100);
        }
        // A refusal is no loss: the reader turns to the log, and asks again later.
        if let Ok(answer) = read(&client, addr, Offset(got.len() as u64)).await {
            got.extend(answer.records);
        }
    }
    let stands = cell.log.records(CONTROL);
    let stands: Vec<_> = stands.into_iter().map(|(at, bytes)| (at, bytes.to_vec())).collect();
    assert_eq!(got, stands[..got.len()]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_that_is_cut_from_the_log_stops_nobody_else() {
    // The relay can't reach the log, but its peers; packets just vanish. Its readers get no record and no proof from it, so they
    // read the log themselves at once. When the cut has healed, it catches up.
    let cell = Cell::spawn().await;
    let relay = cell.relay().await;
    cell.ways[&relay].drop_packets();
    cell.append(50);
    cell.until_read(Some(&relay)).await;
    let dumps = cell.dumps().await;
    let read = dumps[&relay].log_reads.direct;
    // The records may reach a reader by the state of a peer before its read at the relay has failed, but no proof does: it must
    // turn to the log all the same.
    cell.until(|dumps| dumps.values().any(|dump| dump.log_reads.fallbacks > 0)).await;
    cell.append(50);
    cell.until_read(Some(&relay)).await;
    // It may know the records by the state of a peer, but has read none of them itself.
    assert_eq!(cell.dumps().await[&relay].log_reads.direct, read);

    cell.ways[&relay].heal().unwrap();
    cell.until_read(None).await;
    cell.until(|dumps| readers(dumps).len() == 2 && use_only(dumps, &readers(dumps))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readers_of_a_relay_that_dies_find_another_one() {
    // Its place is taken by the next host, so that again two read the log.
    let mut cell = Cell::spawn().await;
    let relay = cell.relay().await;
    drop(cell.entries.remove(&relay));
    cell.append(50);
    cell.until_read(None).await;
    cell.until(|dumps| {
        let readers = readers(dumps);
        readers.len() == 2 && use_only(dumps, &readers)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_that_reads_through_another_one_does_not_relay() {
    // Two hosts whose lists of live hosts differ could each take the other for a relay, and neither would hear of the log.
    let cell = Cell::spawn().await;
    let client = Client::open(Default::default());
    let deadline = tokio::time::Instant::now() + BOUND;
    while tokio::time::Instant::now() < deadline {
        let dumps = cell.dumps().await;
        let mut relayed = dumps.iter().filter(|(_, dump)| dump.log_via.is_some());
        let Some((host, _)) = relayed.next() else { continue };
        // It may have turned to the log in the meantime, and then it answers.
        if let Err(why) = read(&client, cell.peer_address(host), Offset(0)).await {
            assert_eq!(why, "this host does not read the log itself at present");
            return;
        }
    }
    panic!("a host that reads through another one relays");
}
