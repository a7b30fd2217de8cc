//! A backend server leaves, and another one joins.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use jacinthbeam::{admission::usage, config::folder::Snapshot, state::USAGE, types::prelude::*};
use jacinthbeam_measure::{Deployment, Plan};

const CONFIG: &str = r#"{
  "services": { "orders": {
    "team": "crews",
    "concurrency": 3,
    "connections": 40,
    "division": { "keyed": { "slots": 300 } },
    "balance": { "policy": "static" },
  } },
}"#;
/// Far longer than anything here takes; a bound for a system that hangs.
const PATIENCE: Duration = Duration::from_secs(60);

async fn deployment() -> Deployment {
    let files = BTreeMap::from([("10-orders.json".parse().unwrap(), CONFIG.to_owned())]);
    let mut plan = Plan::new(["a", "b", "c"]);
    plan.entry_hosts.values_mut().for_each(|count| *count = 2);
    Deployment::spawn(plan, &Snapshot { files }).await.unwrap()
}

/// Status and verdict of an order for a key.
async fn order(addr: std::net::SocketAddr, key: usize) -> (u16, String) {
    let stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let req = http::Request::post(format!("/orders/key-{key}/confirm"))
        .header("host", "router")
        .header("jacinthbeam-deadline-ms", "10000")
        .body(Full::<bytes::Bytes>::from("order"))
        .unwrap();
    let res = sender.send_request(req).await.unwrap();
    let status = res.status().as_u16();
    let verdict = res.headers()["jacinthbeam-verdict"].to_str().unwrap().to_owned();
    res.into_body().collect().await.unwrap();
    (status, verdict)
}

/// Callers go on ordering while a backend server is taken away by the platform.
///
/// The list says that it leaves; its attendant moves its slots one by one, each after its running requests ended, and it leaves
/// the log. Every order runs: those for a slot on the move wait or are sent to its next owner. Afterwards the server has no
/// slot, and runs nothing more.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_hands_over_all_slots_and_no_order_is_lost() {
    let mut deployment = deployment().await;
    let leaving: ServerId = "orders-0".parse().unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let addrs: Vec<_> = deployment.entries.values().map(|entry| entry.callers()).collect();
    let callers: Vec<_> = addrs
        .into_iter()
        .enumerate()
        .map(|(number, addr)| {
            let (stop, sent) = (stop.clone(), sent.clone());
            tokio::spawn(async move {
                let mut failed = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let key = sent.fetch_add(1, Ordering::Relaxed);
                    let answer = order(addr, key).await;
                    if answer.0 != 200 {
                        failed.push((number, key, answer));
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                failed
            })
        })
        .collect();

    deployment.servers.get_mut(&leaving).unwrap().leaving = true;
    deployment.publish_list();
    let deadline = tokio::time::Instant::now() + PATIENCE;
    while knows(&deployment, &leaving).await {
        assert!(tokio::time::Instant::now() < deadline, "the server has not left");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ran = deployment.servers[&leaving].handle.summary();
    stop.store(true, Ordering::Relaxed);
    let mut failed = Vec::new();
    for caller in callers {
        failed.extend(caller.await.unwrap());
    }
    assert_eq!(failed, [], "every order is run");
    assert_eq!(deployment.servers[&leaving].handle.summary().ran, ran.ran, "nothing new runs");
    let ran: u64 = deployment.servers.values().map(|server| server.handle.summary().ran).sum();
    assert_eq!(ran, sent.load(Ordering::Relaxed) as u64, "each order ran once");

    for (_, entry) in std::mem::take(&mut deployment.entries) {
        entry.stop().await;
    }
    assert_eq!(counted(&deployment), ran, "each order is counted against its team once");
}

/// Requests that ran, as the usage stream counts them for the team.
fn counted(deployment: &Deployment) -> u64 {
    let mut fold = usage::Fold::open(Offset(0));
    for (offset, record) in deployment.log.records(USAGE) {
        fold.apply(offset, &usage::decode(&record).unwrap());
    }
    let totals = fold.totals().unwrap();
    let services = &totals[&"crews".parse().unwrap()];
    services.values().map(|totals| totals.ran).sum()
}

/// Whether some entry host still counts slots of the server, or attends it.
async fn knows(deployment: &Deployment, server: &ServerId) -> bool {
    for entry in deployment.entries.values() {
        let dump = entry.dump().await.unwrap();
        let known = dump.backend_servers.get(server);
        if known.is_some_and(|known| known.owns > 0 || known.admission.is_some()) {
            return true;
        }
    }
    false
}
