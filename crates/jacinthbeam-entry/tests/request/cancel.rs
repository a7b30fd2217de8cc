//! A request that nobody waits for any more is ended at the backend server, and its place is free again.

use http::request::Builder;
use jacinthbeam_config::settings::Limits;
use jacinthbeam_standin::backend::{ANSWER_BYTES, Outcome};

use crate::support::{
    Cluster, PAIR,
    caller::{self, Caller, ask, post, start},
    until,
};

fn order(key: u32) -> Builder {
    post(&format!("/orders/{key}"))
}

/// All three places are taken by orders whose callers go away, one through the attendant itself and the others through another host. Each
/// connection to the backend server is closed, which cancels the order there; the attendant holds the places until
/// the backend server says that nothing runs, and then three more orders run at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_gone_cancels_and_frees_the_place() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    server.set_hold(true);
    let from = ["birch-0", "alder-0", "alder-0"].map(|host| cluster.callers(host));
    let orders = [0, 1, 2].map(|key| start(from[key as usize], order(key), "x"));
    cluster.until_running("orders-0", 3).await;
    orders.iter().for_each(|order| order.abort());
    until("the orders are cancelled", async || server.summary().cancelled == 3).await;
    cluster.until_admitted("birch-0", "orders-0", 0, 0).await;
    let next = [3, 4, 5].map(|key| start(from[0], order(key), "x"));
    cluster.until_running("orders-0", 3).await;
    server.set_hold(false);
    for next in next {
        assert_eq!(next.await.unwrap().told(), (200, "ran"));
    }
    let summary = server.summary();
    assert_eq!((summary.ran, summary.cancelled, summary.max_running), (3, 3, 3));
}

/// Two of three places are taken by orders that run on, the third by one whose caller goes away. The backend server goes on saying that requests
/// run, which frees nothing, since one of them could be the abandoned one. That it has closed the connection frees the place; without
/// that, it would be held until the deadline of the abandoned order, and the next one would wait as long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn place_of_an_abandoned_order_is_free_while_others_run_on() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    server.set_hold(true);
    let addr = cluster.callers("birch-0");
    let long = |key: u32| order(key).header("jacinthbeam-deadline-ms", 30_000);
    let kept = [0, 1].map(|key| start(addr, long(key), "x"));
    let gone = start(addr, long(2), "x");
    cluster.until_running("orders-0", 3).await;
    gone.abort();
    until("the order is cancelled", async || server.summary().cancelled == 1).await;
    let next = start(addr, order(3).header("jacinthbeam-deadline-ms", 20_000), "x");
    cluster.until_running("orders-0", 3).await;
    server.set_hold(false);
    assert_eq!(next.await.unwrap().told(), (200, "ran"));
    for kept in kept {
        assert_eq!(kept.await.unwrap().told(), (200, "ran"));
    }
    assert_eq!(server.summary().max_running, 3);
}

/// The deadline of an order passes while it runs. Its caller is told `may-have-run`, the backend server sees its connection closed, and the place
/// is given to another order only when it is surely free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadline_cancels_and_frees_the_place() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let addr = cluster.callers("alder-0");
    server.set_hold(true);
    let late = ask(addr, order(1).header("jacinthbeam-deadline-ms", 500), "x").await;
    assert_eq!(late.told(), (504, "may-have-run"));
    until("the order is cancelled", async || server.summary().cancelled == 1).await;
    server.set_hold(false);
    cluster.until_admitted("birch-0", "orders-0", 0, 0).await;
    assert_eq!(ask(addr, order(2), "x").await.told(), (200, "ran"));
    assert_eq!(server.runs().iter().filter(|run| run.outcome == Outcome::Ran).count(), 1);
}

/// A caller over HTTP/2 resets one of two streams. Just that order is cancelled; the other one on the same connection is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_stream_cancels_only_its_own_order() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    server.set_hold(true);
    let sender = caller::open_h2(cluster.callers("alder-0")).await;
    let send = |key: u32| {
        let mut sender = sender.clone();
        let req = caller::h2("POST", &format!("/orders/{key}")).body(caller::whole("x")).unwrap();
        tokio::spawn(async move { caller::read(sender.send_request(req).await?).await })
    };
    let (gone, kept) = (send(1), send(2));
    cluster.until_running("orders-0", 2).await;
    gone.abort();
    until("the order is cancelled", async || server.summary().cancelled == 1).await;
    server.set_hold(false);
    let kept = kept.await.unwrap().unwrap();
    assert_eq!((kept.told(), kept.echo().path.as_str()), ((200, "ran"), "/orders/2"));
    assert_eq!(server.summary().ran, 1);
}

/// A caller goes away in the middle of a long answer. What is left of it is not read any more: the room that the request takes on the host that was
/// asked, and its place at the attendant, become free. Until then both are taken, though the head of the answer went out long ago.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_gone_from_an_answer_frees_everything() {
    let mut cluster = Cluster::start(PAIR).await;
    let one = Limits { max_requests: 1, ..Limits::default() };
    cluster.spawn_entry_with("cedar-0", one);
    cluster.until_served().await;
    let addr = cluster.callers("cedar-0");
    // More than the buffers of all sockets on its way can take, which the system lets grow to about 10 MiB a hop.
    let large = order(1).header(ANSWER_BYTES, 96 << 20);
    let mut caller = Caller::open_narrow(addr).await.unwrap();
    let res = caller.send(large, caller::whole("x")).await.unwrap();
    assert_eq!(res.status(), 200);
    cluster.until_admitted("birch-0", "orders-0", 1, 0).await;
    assert_eq!(ask(addr, order(2), "x").await.told(), (429, "not-run"));
    drop((res, caller));
    cluster.until_admitted("birch-0", "orders-0", 0, 0).await;
    until("there is room", async || ask(addr, order(3), "x").await.told() == (200, "ran")).await;
}
