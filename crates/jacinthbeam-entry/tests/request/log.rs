//! The platform's log is away, or loses its answers.

use std::collections::BTreeSet;

use jacinthbeam_admission::usage::{Record, Totals};

use crate::support::{
    Cluster, PAIR,
    caller::{ask, post, start},
    until,
};

/// The log is down when a host starts. The host learns the state from another one of its cell, and then its callers are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_host_learns_the_state_from_its_cell() {
    let mut cluster = Cluster::start(PAIR).await;
    cluster.log.set_down(true);
    cluster.spawn_entry("alder-1");
    let addr = cluster.callers("alder-1");
    assert_eq!(ask(addr, post("/orders/1"), "x").await.told(), (503, "not-run"));
    until("it serves", async || ask(addr, post("/orders/2"), "x").await.told() == (200, "ran"))
        .await;
    assert!(cluster.dump("alder-1").await.log_read_age_ms.is_none(), "it has never read the log");
}

/// The log is down for many times as long as a lease. Every order is answered all the while: leases are renewed on the word of the cell. Nothing that
/// was counted is lost, and the counts are in the log once it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_goes_on_without_the_log() {
    let cluster = Cluster::start(PAIR).await;
    // Without witnesses in the log nobody's word stands for it.
    until("the cell has witnesses", async || !cluster.dump("birch-0").await.witnesses.is_empty())
        .await;
    cluster.log.set_down(true);
    let mut orders = 0;
    until("the log is away for long", async || {
        orders += 1;
        let got = ask(cluster.callers("alder-0"), post("/orders/1"), "x").await;
        assert_eq!(got.told(), (200, "ran"), "{}", got.text());
        cluster.dump("birch-0").await.log_read_age_ms > Some(5000)
    })
    .await;
    cluster.log.set_down(false);
    let all = Totals { ran: orders, may_have_run: 0 };
    until("all is counted", async || cluster.usage("field", "orders") == all).await;
    assert_eq!(cluster.server("orders-0").summary().ran, orders);
}

/// The log takes appends and loses its answers, so the same batches are appended again. Each is counted once: what ran, and what may have run in
/// its own column. A refused order and a malformed one are in neither.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_reach_the_log_once() {
    let cluster = Cluster::start(PAIR).await;
    let (server, addr) = (cluster.server("orders-0"), cluster.callers("alder-0"));
    let mut ran = 0;
    cluster.log.lose_next_answers(u32::MAX);
    until("a batch is appended twice", async || {
        ran += 1;
        assert_eq!(ask(addr, post("/orders/1"), "x").await.told(), (200, "ran"));
        let batches = cluster.batches();
        batches.len() > batches.iter().collect::<BTreeSet<_>>().len()
    })
    .await;
    server.set_hold(true);
    let broken = start(addr, post("/orders/2"), "x");
    cluster.until_running("orders-0", 1).await;
    server.listener().close_connections();
    assert_eq!(broken.await.unwrap().told(), (502, "may-have-run"));
    let gone = start(addr, post("/orders/3"), "x");
    cluster.until_running("orders-0", 1).await;
    gone.abort();
    until("it is cancelled", async || server.summary().cancelled == 2).await;
    server.set_hold(false);
    server.set_shed(true);
    assert_eq!(ask(addr, post("/orders/4"), "x").await.told(), (429, "not-run"));
    assert_eq!(ask(addr, post("/orders"), "x").await.told(), (400, "not-run"));
    cluster.log.lose_next_answers(0);
    let all = Totals { ran, may_have_run: 2 };
    until("all is counted", async || cluster.usage("field", "orders") == all).await;
    until("nothing is left to count", async || cluster.dump("birch-0").await.usage_at_risk == 0)
        .await;
    assert_eq!((cluster.usage("field", "orders"), server.summary().ran), (all, ran));
    assert!(
        cluster
            .usage_records()
            .iter()
            .all(|(_, record)| matches!(record, Record::Batch(_) | Record::Snapshot(_)))
    );
}
