//! A failure domain is cut off from the others, or lost for good.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use jacinthbeam::{
    config::{
        change::{Change, FileChange},
        folder::Snapshot,
    },
    state::{CONTROL, Envelope, Record, RecordId, Server, State},
    types::prelude::*,
};
use jacinthbeam_measure::{
    Deployment, Plan,
    judge::{ServerRecord, judge},
    owners::Follower,
};

const CONFIG: &str = r#"{
  "services": {
    "orders": {
      "team": "crews", "concurrency": 3, "connections": 40, "max_deadline_ms": 600000,
      "division": { "keyed": { "slots": 300 } }, "balance": { "policy": "static" },
    },
    "notes": {
      "team": "crews", "concurrency": 3, "connections": 40, "max_deadline_ms": 600000,
      "division": { "keyed": { "slots": 300 } }, "balance": { "policy": "static" },
      "cut_off": "yield",
    },
  },
}"#;
/// Deadline of each request. Whoever is answered long before does not depend on it.
const DEADLINE_MS: &str = "600000";
/// Far longer than anything here takes; a bound for a system that hangs.
const PATIENCE: Duration = Duration::from_secs(60);
/// Keys asked for of each service; some of them belong to each failure domain.
const KEYS: usize = 24;

struct World {
    deployment: Deployment,
    owners: Follower,
    lost: FailureDomain,
}

/// What became of a request.
#[derive(Debug, PartialEq)]
struct Told {
    status: u16,
    verdict: String,
    /// Verdict and reason of a refusal; empty for an answer.
    text: String,
}

impl World {
    async fn start() -> Self {
        let files = BTreeMap::from([("10-teams.json".parse().unwrap(), CONFIG.to_owned())]);
        let mut plan = Plan::new(["a", "b", "c"]);
        plan.entry_hosts.values_mut().for_each(|count| *count = 2);
        plan.network = true;
        let deployment = Deployment::spawn(plan, &Snapshot { files }).await.unwrap();
        let owners = Follower::spawn(deployment.log.clone());
        let lost = "a".parse().unwrap();
        let world = Self { deployment, owners, lost };
        // Without witnesses, leases rest on the log alone, also those of services that hold.
        world.until("no witnesses", |state| state.cells.len() == 3).await;
        world
    }

    /// A caller's address of a host of this failure domain.
    fn host(&self, domain: &str) -> SocketAddr {
        let mut entries = self.deployment.entries.values();
        let of_domain = |cell: &CellId| cell.failure_domain().as_str() == domain;
        entries.find(|entry| of_domain(&entry.identity().cell)).unwrap().callers()
    }

    /// Attempts after the first one that a host of this failure domain has made.
    async fn retries(&self, domain: &str, service: &str) -> u64 {
        let mut entries = self.deployment.entries.values();
        let of_domain = |cell: &CellId| cell.failure_domain().as_str() == domain;
        let entry = entries.find(|entry| of_domain(&entry.identity().cell)).unwrap();
        let req = http::Request::get("/metrics").header("host", "router");
        let (_, body) = exchange(entry.operators(), req).await;
        let is_it = |line: &&str| {
            line.starts_with("jacinthbeam_retries") && line.contains(&format!("\"{service}\""))
        };
        let line = body.lines().find(is_it);
        line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
    }

    fn owner(&self, service: &str, key: usize) -> ServerId {
        let state = self.owners.state();
        let division = &state.services[&service.parse::<ServiceName>().unwrap()];
        let slot = division.slot_of(KeyHash::of(format!("key-{key}").as_bytes()));
        division.owner(slot).unwrap().server
    }

    fn is_inside(&self, server: &ServerId) -> bool {
        self.deployment.servers[server].domain == self.lost
    }

    fn server_inside(&self, service: &str) -> ServerId {
        let mut servers = self.deployment.servers.iter();
        let is_it = |server: &jacinthbeam_measure::deployment::Server| {
            server.service.as_str() == service && server.domain == self.lost
        };
        servers.find(|(_, server)| is_it(server)).unwrap().0.clone()
    }

    async fn until(&self, what: &str, holds: impl Fn(&State) -> bool) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while !holds(&self.owners.state()) {
            assert!(tokio::time::Instant::now() < deadline, "{what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every key of a service is served when asked for at this host.
    async fn until_served(&self, service: &str, addr: SocketAddr) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        for key in 0..KEYS {
            loop {
                let told = ask(addr, service, key).await;
                if told.status == 200 {
                    break;
                }
                assert_eq!(told.verdict, "not-run", "{told:?}");
                assert!(tokio::time::Instant::now() < deadline, "{service} {key}: {told:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// The keys of a service as served at this host: those of the lost failure domain, and the others.
    async fn ask_all(&self, service: &str, addr: SocketAddr) -> (Vec<Told>, Vec<Told>) {
        let (mut inside, mut outside) = (Vec::new(), Vec::new());
        for key in 0..KEYS {
            let told = ask(addr, service, key).await;
            match self.is_inside(&self.owner(service, key)) {
                true => inside.push(told),
                false => outside.push(told),
            }
        }
        (inside, outside)
    }

    fn keeps_every_promise(&self) {
        let servers = self.deployment.servers.values();
        let records: Vec<ServerRecord> =
            servers.map(|server| ServerRecord::of(&server.handle, &server.service, 3)).collect();
        let broken = judge(&records, &[], &[]);
        assert!(broken.is_empty(), "{broken:?}");
    }

    fn publish(&self, change: FileChange) {
        let envelope = Envelope {
            id: RecordId { incarnation: Incarnation(0), sequence: 1 },
            why: "an operator's word".into(),
            record: Record::Config(Change { files: vec![change] }),
        };
        self.deployment.log.append(CONTROL, envelope.encode().unwrap().into());
    }
}

fn owned(state: &State, service: &str) -> usize {
    let division = state.services.get(&service.parse::<ServiceName>().unwrap());
    division.map_or(0, |division| division.owned())
}

fn known<'a>(state: &'a State, server: &ServerId) -> &'a Server {
    state.servers.get(server).unwrap()
}

fn epoch(state: &State, server: &ServerId) -> Epoch {
    known(state, server).epoch
}

fn slots(state: &State, server: &ServerId) -> usize {
    state.servers.get(server).map_or(0, |server| server.slots().len())
}

fn served() -> Told {
    Told { status: 200, verdict: "ran".into(), text: String::new() }
}

fn unreachable() -> Told {
    let text = format!("not-run: {}\n", Reason::Unreachable);
    Told { status: 503, verdict: "not-run".into(), text }
}

async fn ask(addr: SocketAddr, service: &str, key: usize) -> Told {
    let req = http::Request::post(format!("/{service}/key-{key}/confirm"))
        .header("host", "router")
        .header("jacinthbeam-deadline-ms", DEADLINE_MS);
    let (head, text) = exchange(addr, req).await;
    let status = head.status.as_u16();
    let verdict = head.headers["jacinthbeam-verdict"].to_str().unwrap().to_owned();
    Told { status, verdict, text: if status == 200 { String::new() } else { text } }
}

async fn exchange(
    addr: SocketAddr,
    req: http::request::Builder,
) -> (http::response::Parts, String) {
    let stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let req = req.body(Full::<bytes::Bytes>::from("order")).unwrap();
    let answered = tokio::time::timeout(PATIENCE, sender.send_request(req)).await;
    let (head, body) = answered.expect("no answer for long").unwrap().into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    (head, String::from_utf8_lossy(&body).into_owned())
}

/// A failure domain is cut off from the others and from the platform, for longer than a lease.
///
/// Callers outside are refused its keys at once, not at their deadline, until other servers serve them. Those of the service
/// that holds stay where they are: callers inside are served all the time. Healed, the servers inside learn that their slots
/// of the service that yields are gone, and join anew.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_failure_domain_keeps_what_holds_and_loses_what_yields() {
    let world = World::start().await;
    let (inside, outside) = (world.host("a"), world.host("b"));
    let network = world.deployment.network.as_ref().unwrap();
    let (orders, notes) = (world.server_inside("orders"), world.server_inside("notes"));
    let before = world.owners.state();
    network.cut_platform(&world.lost);
    network.cut_domain(&world.lost, true, true);

    let key = (0..KEYS).find(|key| world.is_inside(&world.owner("orders", *key))).unwrap();
    let retries = world.retries("b", "orders").await;
    assert_eq!(ask(outside, "orders", key).await, unreachable());
    assert_eq!(world.retries("b", "orders").await, retries, "refused at once");
    let (refused, served_on) = world.ask_all("orders", outside).await;
    assert!(refused.iter().all(|told| *told == unreachable()), "{refused:?}");
    assert!(served_on.iter().all(|told| *told == served()), "{served_on:?}");
    world.until_served("notes", outside).await;
    let state = world.owners.state();
    assert_eq!(slots(&state, &notes), 0);
    assert_eq!(slots(&state, &orders), slots(&before, &orders));
    assert_eq!(owned(&state, "notes"), 300);
    let (served_inside, refused) = world.ask_all("orders", inside).await;
    assert!(served_inside.iter().all(|told| *told == served()), "{served_inside:?}");
    assert!(refused.iter().all(|told| *told == unreachable()), "{refused:?}");

    network.heal_platform(&world.lost).unwrap();
    network.cut_domain(&world.lost, false, false);
    let joined = |state: &State| {
        known(state, &notes).is_active() && epoch(state, &notes) > epoch(&before, &notes)
    };
    world.until("the server has not joined again", joined).await;
    for addr in [inside, outside] {
        world.until_served("orders", addr).await;
        world.until_served("notes", addr).await;
    }
    world.keeps_every_promise();
}

/// A failure domain is cut off from the others, but not from the platform.
///
/// Its hosts read the log, and hear nothing of the others; the others hear nothing of it. Were one failure domain's word
/// enough, each side would evict the other's servers. The two others agree, so only the servers inside lose their slots.
#[tokio::test(flavor = "multi_thread")]
async fn majority_of_the_failure_domains_decides_who_is_cut_off() {
    let world = World::start().await;
    let notes = world.server_inside("notes");
    let before = world.owners.state();
    let network = world.deployment.network.as_ref().unwrap();
    network.cut_domain(&world.lost, true, true);
    world.until("slots not moved", |state| slots(state, &notes) == 0).await;
    world.until_served("notes", world.host("b")).await;
    let state = world.owners.state();
    for (id, server) in &world.deployment.servers {
        if *id != notes {
            let same = epoch(&state, id) == epoch(&before, id);
            assert!(same, "{id} of {} was evicted", server.domain);
        }
    }
    network.cut_domain(&world.lost, false, false);
    world.until_served("notes", world.host("a")).await;
    world.keeps_every_promise();
}

/// A failure domain is lost with everything in it. Its witnesses can't promise silence any more, so nobody may evict its
/// servers, until an operator says that it is lost. It comes back all the same, while it is still declared lost: its servers
/// learn that their slots are gone, and get none.
#[tokio::test(flavor = "multi_thread")]
async fn failure_domain_declared_lost_loses_its_slots() {
    let mut world = World::start().await;
    let orders = world.server_inside("orders");
    let before = world.owners.state();
    let inside = |id: &HostId| id.as_str().starts_with("entry-a-");
    let hosts: Vec<HostId> =
        world.deployment.entries.keys().filter(|id| inside(id)).cloned().collect();
    for host in &hosts {
        world.deployment.network.as_ref().unwrap().set_host(host, None);
        drop(world.deployment.entries.remove(host));
    }
    for server in world.deployment.servers.values().filter(|server| server.domain == world.lost) {
        server.handle.kill();
    }
    let outside = world.host("b");
    world.until_served("notes", outside).await;
    let (refused, _) = world.ask_all("orders", outside).await;
    assert!(refused.iter().all(|told| *told == unreachable()), "{refused:?}");
    assert_eq!(slots(&world.owners.state(), &orders), slots(&before, &orders));

    world.publish(FileChange {
        name: "90-lost.json".parse().unwrap(),
        base: Default::default(),
        text: Some(r#"{ "lost": { "failure_domains": ["a"] } }"#.into()),
    });
    world.until("slots not moved", |state| slots(state, &orders) == 0).await;
    world.until_served("orders", outside).await;

    for server in world.deployment.servers.values().filter(|server| server.domain == world.lost) {
        server.handle.restart().unwrap();
    }
    for host in hosts {
        let domain = world.lost.clone();
        world.deployment.spawn_entry(host, &domain).unwrap();
    }
    world.deployment.publish_list();
    world.until("not joined again", |state| known(state, &orders).is_active()).await;
    world.until_served("orders", world.host("a")).await;
    assert_eq!(slots(&world.owners.state(), &orders), 0);
    world.keeps_every_promise();
}
