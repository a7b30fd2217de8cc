//! A planned stop of an entry host under load.

use jacinthbeam_admission::usage::Totals;
use jacinthbeam_config::settings::Limits;
use tokio::net::TcpStream;

use crate::support::{
    Cluster, Plan, SERVICES,
    caller::{Caller, ask, post, start},
    until,
};

/// The backend server may be attended by either of two hosts of its failure domain.
const SPARE: Plan = Plan {
    services: SERVICES,
    hosts: &["alder", "birch", "birch"],
    servers: &[("orders-0", "orders", "birch")],
};

/// The attendant is stopped while it runs an order of its own caller and one that another host forwarded. Both end with their answers. Meanwhile it takes no
/// connection and answers no new request but with `not-run`; an order that another host takes waits until the spare host has taken over, and runs there.
/// In the end every order ran once and is counted once, those that ended during the stop too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_cuts_nothing_off() {
    let mut cluster = Cluster::start(SPARE).await;
    let host = cluster.attendant_of("orders-0").await;
    let (own, other) = (cluster.callers(&host), cluster.callers("alder-0"));
    cluster.server("orders-0").set_hold(true);
    let mut idle = Caller::open(own).await.unwrap();
    assert_eq!(idle.ask(post("/tyles/1"), "").await.unwrap().told(), (404, "not-run"));
    let running = [start(own, post("/orders/1"), "x"), start(other, post("/orders/2"), "x")];
    cluster.until_running("orders-0", 2).await;
    let stopping = tokio::spawn(cluster.entries.remove(&host).unwrap().stop());
    until("it takes no connection", async || TcpStream::connect(own).await.is_err()).await;
    if let Ok(late) = idle.ask(post("/orders/3"), "x").await {
        assert_eq!(late.told(), (503, "not-run"));
    }
    let server = cluster.server("orders-0");
    assert_eq!(server.grant_state().running, 2, "none was cut off");
    server.set_hold(false);
    for running in running {
        assert_eq!(running.await.unwrap().told(), (200, "ran"));
    }
    until("the spare host serves", async || {
        ask(other, post("/orders/4"), "x").await.told() == (200, "ran")
    })
    .await;
    stopping.await.unwrap();
    let summary = server.summary();
    assert_eq!((summary.ran, summary.cancelled, summary.aborted), (3, 0, 0));
    let all = Totals { ran: 3, may_have_run: 0 };
    until("all is counted", async || cluster.usage("field", "orders") == all).await;
}

/// Two callers come while the host's one place for connections is taken; their connections wait in the system's queue. Then the host is stopped.
/// Closing its listener would reset them without a verdict, and nobody could tell whether their orders ran. They are taken up and answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_wait_at_a_stop_are_answered() {
    let mut cluster = Cluster::start(SPARE).await;
    let one = Limits { max_connections: 1, ..Limits::default() };
    cluster.spawn_entry_with("cedar-0", one);
    cluster.until_served().await;
    let addr = cluster.callers("cedar-0");
    cluster.server("orders-0").set_hold(true);
    let first = start(addr, post("/orders/1"), "x");
    cluster.until_running("orders-0", 1).await;
    let waiting = [start(addr, post("/orders/2"), "x"), start(addr, post("/orders/3"), "x")];
    until("they wait", async || Caller::open(addr).await.is_ok()).await;
    let stopping = tokio::spawn(cluster.entries.remove("cedar-0").unwrap().stop());
    until("it takes no connection", async || TcpStream::connect(addr).await.is_err()).await;
    cluster.server("orders-0").set_hold(false);
    assert_eq!(first.await.unwrap().told(), (200, "ran"));
    for waiting in waiting {
        let told = waiting.await.unwrap();
        assert!(matches!(told.told(), (200, "ran") | (503, "not-run")), "{:?}", told.told());
    }
    stopping.await.unwrap();
}
