//! One cell with stand-ins of the platform, in this process.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use jacinthbeam_config::{
    fold,
    folder::Snapshot,
    publish::{Options, Plan, Synced, plan},
    settings::{Limits, Settings, TimingSettings},
};
use jacinthbeam_entry::process::{Handle, dump::Dump, spawn};
use jacinthbeam_native::format::hosts::{BackendServer, EntryHost, HostList};
use jacinthbeam_standin as standin;
use jacinthbeam_state::{CONTROL, Envelope, Record, RecordId, State};
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Bound of every wait for a condition. Reached only if the condition never comes.
const BOUND: Duration = Duration::from_secs(30);
const SLOTS: usize = 8;
static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Entry hosts and backend servers of one or two cells.
pub(crate) struct Cell {
    log: standin::log::Handle,
    hosts: standin::hosts::Handle,
    pub(crate) servers: BTreeMap<ServerId, standin::backend::Handle>,
    pub(crate) entries: BTreeMap<HostId, Handle>,
    /// Servers that the list says are leaving.
    pub(crate) leaving: BTreeSet<ServerId>,
    layout: &'static Layout,
    /// Part of the names of the cells. Ports of lost hosts are given to hosts of other tests, which must not be taken for theirs.
    number: String,
}

/// What runs where.
#[derive(Debug)]
pub(crate) struct Layout {
    /// Name, service and cell.
    servers: &'static [(&'static str, &'static str, &'static str)],
    /// Name and cell.
    entries: &'static [(&'static str, &'static str)],
}

/// Three entry hosts and two backend servers that own keys, all in one cell.
pub(crate) const ONE_CELL: Layout = Layout {
    servers: &[
        ("brine-0", "brinedesk", "kelowna"),
        ("brine-1", "brinedesk", "kelowna"),
        ("maps-0", "maps", "kelowna"),
    ],
    entries: &[("entry-0", "kelowna"), ("entry-1", "kelowna"), ("entry-2", "kelowna")],
};

/// Two cells with two entry hosts and one backend server each.
pub(crate) const TWO_CELLS: Layout = Layout {
    servers: &[("brine-0", "brinedesk", "kelowna"), ("brine-1", "brinedesk", "vernon")],
    entries: &[
        ("entry-0", "kelowna"),
        ("entry-1", "kelowna"),
        ("entry-2", "vernon"),
        ("entry-3", "vernon"),
    ],
};

/// An answer as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) verdict: String,
    pub(crate) body: String,
}

/// What is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Order<'a> {
    pub(crate) path: &'a str,
    pub(crate) idempotency_key: &'a str,
    pub(crate) body: &'a str,
    pub(crate) service_ms: u64,
}

pub(crate) const ORDER: Order<'static> = Order {
    path: "/brinedesk/road-7/orders",
    idempotency_key: "order-1",
    body: "200 l",
    service_ms: 5,
};

impl Cell {
    /// Starts everything and waits until every slot is served and its memory is gathered.
    pub(crate) async fn spawn() -> Self {
        Self::spawn_layout(&ONE_CELL).await
    }

    /// The same for another layout.
    pub(crate) async fn spawn_layout(layout: &'static Layout) -> Self {
        let log = standin::log::spawn(LOOPBACK, Default::default()).unwrap();
        let hosts = standin::hosts::spawn(LOOPBACK, Default::default()).unwrap();
        let mut cell = Self {
            log,
            hosts,
            servers: BTreeMap::new(),
            entries: BTreeMap::new(),
            leaving: BTreeSet::new(),
            layout,
            number: format!("{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed)),
        };
        for (id, service, _) in layout.servers {
            let options =
                standin::backend::Options::new(id.parse().unwrap(), service.parse().unwrap());
            let server = standin::backend::spawn(LOOPBACK, options).unwrap();
            cell.servers.insert(id.parse().unwrap(), server);
        }
        cell.publish_list();
        for (host, of) in layout.entries {
            cell.spawn_entry(host, of);
        }
        cell.publish_list();
        cell.publish_config();
        cell.until_served(SLOTS).await;
        cell
    }

    fn spawn_entry(&mut self, host: &str, cell: &str) {
        let settings = Settings {
            host: host.parse().unwrap(),
            cell: self.cell_id(cell),
            callers: LOOPBACK,
            peers: LOOPBACK,
            advertise: None,
            source: None,
            operators: LOOPBACK,
            log: self.log.addr(),
            hosts: self.hosts.addr(),
            timing: TimingSettings::default(),
            limits: Limits::default(),
            traffic_threads: 1,
        };
        let entry = spawn(&settings, Arc::new(SystemClock)).unwrap();
        self.entries.insert(host.parse().unwrap(), entry);
    }

    fn cell_id(&self, name: &str) -> CellId {
        format!("{name}-{}", self.number).parse().unwrap()
    }

    pub(crate) fn publish_list(&self) {
        let entry = |(id, entry): (&HostId, &Handle)| EntryHost {
            id: id.clone(),
            cell: entry.identity().cell.clone(),
            peer_address: entry.identity().peer_address,
            leaving: false,
        };
        let server = |(id, service, cell): &(&str, &str, &str)| {
            let id: ServerId = id.parse().unwrap();
            BackendServer {
                service: service.parse().unwrap(),
                cell: self.cell_id(cell),
                address: self.servers[&id].addr(),
                leaving: self.leaving.contains(&id),
                id,
            }
        };
        self.hosts.set_list(HostList {
            entry_hosts: self.entries.iter().map(entry).collect(),
            backend_servers: self.layout.servers.iter().map(server).collect(),
        });
    }

    fn publish_config(&self) {
        let text = r#"{ "services": {
            "brinedesk": { "team": "field-crews", "division": { "keyed": { "slots": 8 } },
                "concurrency": 3, "connections": 100 },
            "maps": { "team": "field-crews", "division": "undivided",
                "concurrency": 3, "connections": 100 }
        } }"#;
        let files = BTreeMap::from([("10-cell.json".parse().unwrap(), text.to_owned())]);
        let planned = plan(
            &Snapshot { files },
            &Synced::default(),
            &fold::State::default(),
            &Options::default(),
        );
        let Plan::Publish { change, .. } = planned else { panic!("{planned}") };
        let envelope = Envelope {
            id: RecordId { incarnation: Incarnation(0), sequence: 0 },
            why: "first configuration".into(),
            record: Record::Config(change),
        };
        self.log.append(CONTROL, envelope.encode().unwrap().into());
    }

    /// Waits until the attendants of all servers together may serve this many slots, with their memory.
    pub(crate) async fn until_served(&self, slots: usize) {
        until(async || {
            let mut ready = 0;
            for entry in self.entries.values() {
                let Some(dump) = entry.dump().await else { continue };
                let attended = dump.backend_servers.values();
                let admitted = attended.filter(|server| {
                    server.admission.as_ref().is_some_and(|a| a.permit_left_ms > Some(0))
                });
                ready += admitted.map(|server| server.slots_remembered).sum::<usize>();
            }
            ready == slots
        })
        .await;
    }

    /// The server that ran something, and its attendant.
    pub(crate) async fn where_it_ran(&self) -> (ServerId, HostId) {
        let ran = self.servers.iter().find(|(_, server)| server.summary().ran > 0);
        let server = ran.map(|(id, _)| id.clone()).expect("it ran");
        for (host, entry) in &self.entries {
            let Some(dump) = entry.dump().await else { continue };
            if attends(&dump, &server) {
                return (server, host.clone());
            }
        }
        panic!("nobody attends {server}")
    }

    /// Gives the key a slot of its own, as a hot key gets one.
    pub(crate) fn split(&self, key: &str) {
        let mut state = State::new();
        for (offset, buf) in self.log.records(CONTROL) {
            state.apply_bytes(offset, &buf).unwrap();
        }
        let service: ServiceName = "brinedesk".parse().unwrap();
        let division = state.services.get(&service).unwrap();
        let key = KeyHash::of(key.as_bytes());
        let slot = division.next_split();
        let base = division.slot(division.slot_of(key)).unwrap().epoch;
        let envelope = Envelope {
            id: RecordId { incarnation: Incarnation(0), sequence: 1 },
            why: "hot".into(),
            record: Record::Split { service, key, slot, base },
        };
        self.log.append(CONTROL, envelope.encode().unwrap().into());
    }

    /// The host that holds the copies of an attendant: first among the others in rendezvous order.
    pub(crate) fn successor(&self, server: &ServerId, attendant: &HostId) -> HostId {
        let others = self.entries.keys().filter(|host| *host != attendant);
        let weight = |host: &&HostId| rendezvous_weight(server.as_str(), host.as_str());
        others.max_by_key(weight).cloned().expect("there are several")
    }

    /// Waits until the successor of an attendant has a copy of all answers. Nobody waits for them but a test.
    pub(crate) async fn until_copied(&self, server: &ServerId, attendant: &HostId) {
        let successor = self.successor(server, attendant);
        until(async || {
            let here = self.entries[attendant].dump().await;
            let there = self.entries[&successor].dump().await;
            let size = |dump: Option<Dump>| dump.map(|dump| dump.remembered_bytes);
            size(here) == size(there)
        })
        .await;
    }

    /// Effects on all servers.
    pub(crate) fn ran(&self) -> u64 {
        self.servers.values().map(|server| server.summary().ran).sum()
    }

    /// Any entry host, but for these.
    pub(crate) fn other_than(&self, hosts: &[&HostId]) -> SocketAddr {
        let mut others = self.entries.iter().filter(|(host, _)| !hosts.contains(host));
        others.next().expect("one is left").1.callers()
    }

    /// Sends the order as often as a caller does who repeats whatever broke or found nobody, with the same key.
    pub(crate) async fn repeat(&self, addr: SocketAddr, order: Order<'_>) -> Answer {
        let passing = [
            StatusCode::BAD_GATEWAY,
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::GATEWAY_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        let mut last = None;
        until(async || {
            last = send(addr, order).await;
            last.as_ref().is_some_and(|answer| !passing.contains(&answer.status))
        })
        .await;
        last.expect("the wait ended with an answer")
    }
}

fn attends(dump: &Dump, server: &ServerId) -> bool {
    let known = dump.backend_servers.get(server);
    known.and_then(|known| known.admission.as_ref()).is_some_and(|a| a.permit_left_ms > Some(0))
}

/// Waits until a condition holds.
pub(crate) async fn until(mut holds: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(BOUND, waiting).await.expect("the condition comes to hold");
}

/// Sends an order once; `None` if there is no answer.
pub(crate) async fn send(addr: SocketAddr, order: Order<'_>) -> Option<Answer> {
    let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::post(order.path)
        .header("host", "entry")
        .header("idempotency-key", order.idempotency_key)
        .header("jacinthbeam-deadline-ms", "5000")
        .header(standin::backend::SERVICE_MS, order.service_ms.to_string())
        .body(Full::new(Bytes::from(order.body.to_owned())))
        .unwrap();
    let (parts, body) = sender.send_request(req).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let verdict = parts.headers.get("jacinthbeam-verdict").and_then(|value| value.to_str().ok());
    Some(Answer {
        status: parts.status,
        verdict: verdict.unwrap_or_else(|| panic!("no verdict in {parts:?}")).to_owned(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    })
}
