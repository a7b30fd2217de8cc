//! A small deployment over loopback: entry hosts, and stand-ins for what the platform gives.

#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod caller;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::usage;
use jacinthbeam_config::{
    change::{Base, Change, FileChange},
    settings::{Limits, Settings, TimingSettings},
};
use jacinthbeam_entry::{Handle, process::dump::Dump};
use jacinthbeam_native::format::hosts::{BackendServer, EntryHost, HostList};
use jacinthbeam_peer::server::{self, Handler};
use jacinthbeam_standin::{backend, hosts, log};
use jacinthbeam_state::{CONTROL, Envelope, Record, RecordId, USAGE};
use jacinthbeam_types::prelude::*;
use tokio::sync::{Semaphore, SemaphorePermit, watch};

/// Any free port of the loopback interface.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for a condition. It only tells a failed test from one that hangs.
const PATIENCE: Duration = Duration::from_secs(30);
/// Deployments that run at a time, so that a small machine is not overrun by threads.
static TURNS: Semaphore = Semaphore::const_new(4);

/// Services of most tests: orders of one team and tiles of another, divided by key, and an undivided one.
pub const SERVICES: &str = r#"{ "services": {
    "orders": { "team": "field", "division": { "keyed": { "slots": 8 } }, "concurrency": 3, "connections": 16,
        "queue": 2, "default_deadline_ms": 20000, "max_deadline_ms": 30000, "max_body": "64MiB" },
    "tiles": { "team": "forecasts", "division": { "keyed": { "slots": 8 } }, "concurrency": 3, "connections": 16,
        "default_deadline_ms": 20000, "max_deadline_ms": 30000, "max_body": "64KiB" },
    "lookup": { "team": "forecasts", "division": "undivided", "concurrency": 3, "connections": 16,
        "default_deadline_ms": 20000, "max_deadline_ms": 30000, "max_body": "64KiB" },
} }"#;

/// What a deployment consists of.
pub struct Plan {
    /// Text of the one configuration file.
    pub services: &'static str,
    /// Failure domain of each entry host, which is named after it and its number there.
    pub hosts: &'static [&'static str],
    /// Name, service and failure domain of each backend server.
    pub servers: &'static [(&'static str, &'static str, &'static str)],
}

/// Callers ask `alder-0`; the one backend server lies in `birch` and is attended by `birch-0`.
pub const PAIR: Plan = Plan {
    services: SERVICES,
    hosts: &["alder", "birch"],
    servers: &[("orders-0", "orders", "birch")],
};

/// A running deployment. Dropped, everything in it ends.
pub struct Cluster {
    pub log: log::Handle,
    pub hosts: hosts::Handle,
    pub servers: BTreeMap<ServerId, backend::Handle>,
    pub entries: BTreeMap<String, Handle>,
    placed: BTreeMap<ServerId, (ServiceName, CellId)>,
    _turn: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts everything and waits until every backend server is granted its slots and every host knows it.
    pub async fn start(plan: Plan) -> Self {
        let cluster = Self::start_unserved(plan).await;
        cluster.until_served().await;
        cluster
    }

    /// Starts everything.
    pub async fn start_unserved(plan: Plan) -> Self {
        let _turn = TURNS.acquire().await.expect("never closed");
        let mut cluster = Self {
            log: log::spawn(ANY, Default::default()).expect("listens"),
            hosts: hosts::spawn(ANY, Default::default()).expect("listens"),
            servers: BTreeMap::new(),
            entries: BTreeMap::new(),
            placed: BTreeMap::new(),
            _turn,
        };
        for (name, service, domain) in plan.servers {
            let (id, service): (ServerId, ServiceName) =
                (name.parse().unwrap(), service.parse().unwrap());
            let options = backend::Options {
                connections: 64,
                service_time: Duration::ZERO,
                ..backend::Options::new(id.clone(), service.clone())
            };
            let server = backend::spawn(ANY, options).expect("listens");
            cluster.servers.insert(id.clone(), server);
            cluster.placed.insert(id, (service, domain.parse().unwrap()));
        }
        for domain in plan.hosts {
            let number = (0..).find(|n| !cluster.entries.contains_key(&format!("{domain}-{n}")));
            cluster.spawn_entry(&format!("{domain}-{}", number.unwrap()));
        }
        if !plan.services.is_empty() {
            cluster.configure(plan.services);
        }
        cluster
    }

    /// Starts an entry host of the failure domain in its name.
    pub fn spawn_entry(&mut self, host: &str) {
        self.spawn_entry_with(host, Limits::default());
    }

    pub fn spawn_entry_with(&mut self, host: &str, limits: Limits) {
        let (cell, _) = host.rsplit_once('-').expect("a domain and a number");
        let settings = Settings {
            host: host.parse().unwrap(),
            cell: cell.parse().unwrap(),
            callers: ANY,
            peers: ANY,
            advertise: None,
            source: None,
            operators: ANY,
            log: self.log.addr(),
            hosts: self.hosts.addr(),
            timing: TimingSettings::default(),
            limits,
            traffic_threads: 1,
        };
        let spawn = || jacinthbeam_entry::spawn(&settings, Arc::new(SystemClock));
        // The port for peers is picked first and bound later, and another test may have taken it in between.
        let entry = (0..5).find_map(|_| spawn().ok()).expect("an entry host starts");
        self.entries.insert(host.to_owned(), entry);
        self.list(&[]);
    }

    fn configure(&self, text: &str) {
        let file = FileChange {
            name: "services.json".parse().unwrap(),
            base: Base::default(),
            text: Some(text.to_owned()),
        };
        let id = RecordId { incarnation: Incarnation(0), sequence: 0 };
        let record = Record::Config(Change { files: vec![file] });
        let envelope = Envelope { id, why: "first configuration".into(), record };
        self.log.append(CONTROL, envelope.encode().unwrap().into());
    }

    /// Gives the platform's list what runs, and `others` as further entry hosts: domain and peer address.
    pub fn list(&self, others: &[(&str, SocketAddr)]) {
        let entries = self.entries.values().map(|entry| entry.identity());
        let entries = entries.map(|me| (me.host.clone(), me.cell.clone(), me.peer_address));
        let others = others.iter().map(|(cell, addr)| {
            (format!("other-{}", addr.port()).parse().unwrap(), cell.parse().unwrap(), *addr)
        });
        let host = |(id, cell, peer_address)| EntryHost { id, cell, peer_address, leaving: false };
        let server = |(id, handle): (&ServerId, &backend::Handle)| {
            let (service, cell) = self.placed[id].clone();
            let address = handle.addr();
            BackendServer { id: id.clone(), service, cell, address, leaving: false }
        };
        self.hosts.set_list(HostList {
            entry_hosts: entries.chain(others).map(host).collect(),
            backend_servers: self.servers.iter().map(server).collect(),
        });
    }

    /// Where callers reach an entry host.
    pub fn callers(&self, host: &str) -> SocketAddr {
        self.entries[host].callers()
    }

    pub fn entry(&self, host: &str) -> &Handle {
        &self.entries[host]
    }

    pub async fn dump(&self, host: &str) -> Dump {
        self.entries[host].dump().await.expect("the host lives")
    }

    pub fn server(&self, name: &str) -> &backend::Handle {
        &self.servers[&name.parse::<ServerId>().unwrap()]
    }

    /// Ends an entry host as if it were lost.
    pub fn kill(&mut self, host: &str) {
        self.entries.remove(host).expect("it runs");
    }

    /// Waits until a number of requests run at a backend server.
    pub async fn until_running(&self, server: &str, running: u32) {
        let server = self.server(server);
        until("requests run", async || server.grant_state().running == running).await;
    }

    /// Waits until the attendant counts this many requests as sent and as waiting.
    pub async fn until_admitted(&self, host: &str, server: &str, in_use: u32, waiting: usize) {
        let server: ServerId = server.parse().unwrap();
        until("admission", async || {
            let dump = self.dump(host).await;
            let admission = dump.backend_servers.get(&server).and_then(|s| s.admission.as_ref());
            admission.is_some_and(|a| (a.in_use, a.waiting) == (in_use, waiting))
        })
        .await;
    }

    /// The entry host that attends a backend server.
    pub async fn attendant_of(&self, server: &str) -> String {
        let server: ServerId = server.parse().unwrap();
        for (host, entry) in &self.entries {
            let dump = entry.dump().await.expect("the host lives");
            let admission = dump.backend_servers.get(&server).and_then(|s| s.admission.as_ref());
            if admission.is_some_and(|a| a.permit_left_ms > Some(0)) {
                return host.clone();
            }
        }
        panic!("nobody attends {server}");
    }

    /// Records of the usage stream.
    pub fn usage_records(&self) -> Vec<(Offset, usage::Record)> {
        let records = self.log.records(USAGE).into_iter();
        records.map(|(offset, buf)| (offset, usage::decode(&buf).expect("a record"))).collect()
    }

    /// Batches in the order in which they were appended.
    pub fn batches(&self) -> Vec<usage::BatchId> {
        let id = |(_, record)| match record {
            usage::Record::Batch(batch) => Some(batch.id),
            usage::Record::Snapshot(_) => None,
        };
        self.usage_records().into_iter().filter_map(id).collect()
    }

    /// What the usage stream says of a service.
    pub fn usage(&self, team: &str, service: &str) -> usage::Totals {
        let mut fold = usage::Fold::open(Offset(0));
        for (offset, record) in self.usage_records() {
            fold.apply(offset, &record);
        }
        let (team, service): (TeamName, ServiceName) =
            (team.parse().unwrap(), service.parse().unwrap());
        let totals = fold.totals().and_then(|teams| teams.get(&team)?.get(&service).copied());
        totals.unwrap_or_default()
    }

    pub async fn until_served(&self) {
        until("everything is served", async || self.is_served().await).await;
    }

    async fn is_served(&self) -> bool {
        let mut served = 0;
        for entry in self.entries.values() {
            let Some(dump) = entry.dump().await else { return false };
            let of_service = |service: &ServiceName| {
                self.placed.values().filter(|(placed, _)| placed == service).count()
            };
            let knows = dump.services.iter().all(|(name, service)| {
                service.servers == of_service(name)
                    && (service.owned == service.slots || service.servers == 0)
            });
            if !knows || dump.services.is_empty() {
                return false;
            }
            let granted = dump.backend_servers.values().filter(|server| {
                let admission = server.admission.as_ref();
                admission.is_some_and(|a| a.permit_left_ms > Some(0) && a.slots == server.owns)
            });
            served += granted.count();
        }
        served == self.servers.len()
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "still not so: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// An entry host that stands still: it takes connections and requests, and never answers.
pub struct Paused(#[allow(dead_code, reason = "it lives as long as this")] server::Handle);

impl Paused {
    /// Puts it in the place of an entry host, and waits until the others send requests to it.
    pub async fn replace(cluster: &mut Cluster, host: &str) -> Self {
        let (domain, _) = host.rsplit_once('-').expect("a domain and a number");
        cluster.kill(host);
        let (tx, mut forwarded) = watch::channel(());
        let handler = Handler {
            ask: |_| std::future::pending(),
            forward: move |_, _, _| {
                tx.send_replace(());
                std::future::pending()
            },
        };
        let server = server::bind(ANY, Default::default(), handler).expect("listens");
        cluster.list(&[(domain, server.local_addr())]);
        let asked = cluster.callers(cluster.entries.keys().next().expect("another host"));
        until("the paused host is asked", async || {
            let req = caller::post("/orders/0").header("jacinthbeam-deadline-ms", 200);
            caller::ask(asked, req, "x").await;
            forwarded.has_changed().is_ok_and(|changed| changed)
        })
        .await;
        forwarded.mark_unchanged();
        Self(server)
    }
}
