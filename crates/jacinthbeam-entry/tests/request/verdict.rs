//! The rows of the table in `docs/REQUESTS.md`: where a request may be lost, and what its caller is told.
//!
//! `alder-0` is asked, `birch-0` attends the backend server. What the caller is told is checked against the backend
//! server's own count.

use std::time::Duration;

use bytes::Bytes;
use http::request::Builder;
use jacinthbeam_standin::backend::{ANSWER_BYTES, Outcome};
use tokio::sync::mpsc;

use crate::support::{
    Cluster, PAIR, Paused, Plan, SERVICES,
    caller::{Caller, Got, ask, chunks, get, post, read, start, whole},
    until,
};

fn order(key: u32) -> Builder {
    post(&format!("/orders/{key}"))
}

fn with_deadline(req: Builder, ms: u32) -> Builder {
    req.header("jacinthbeam-deadline-ms", ms)
}

/// Starts orders that run at the backend server until its hold ends.
async fn fill(cluster: &Cluster, count: u32) -> Vec<tokio::task::JoinHandle<Got>> {
    cluster.server("orders-0").set_hold(true);
    let addr = cluster.callers("alder-0");
    let started = (0..count).map(|key| start(addr, order(key), "x")).collect();
    cluster.until_running("orders-0", count).await;
    started
}

/// Three orders run and two wait, which is all that `orders-0` may take. The next one is told `not-run` at once, and the
/// backend server never hears of it: it was neither sent nor put in the queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_queue_refuses_what_was_never_sent() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let addr = cluster.callers("alder-0");
    let mut accepted = fill(&cluster, 3).await;
    accepted.extend((3..5).map(|key| start(addr, order(key), "x")));
    cluster.until_admitted("birch-0", "orders-0", 3, 2).await;
    let refused = ask(addr, order(5), "x").await;
    assert_eq!(refused.told(), (429, "not-run"));
    assert_eq!(refused.header("retry-after"), "1");
    server.set_hold(false);
    for accepted in accepted {
        assert_eq!(accepted.await.unwrap().told(), (200, "ran"));
    }
    assert_eq!((server.summary().ran, server.summary().max_running), (5, 3));
}

/// All places are taken for longer than the deadline of an order that waits. It is told `not-run` by then, since it left the
/// queue without having been sent, and it does not run later either. Through another host the attendant's word comes a little
/// before the deadline, or the host that was asked could only say that it may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadline_in_the_queue_is_not_run() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let running = fill(&cluster, 3).await;
    let refused = ask(cluster.callers("birch-0"), with_deadline(order(8), 200), "x").await;
    assert_eq!(refused.told(), (504, "not-run"));
    let refused = ask(cluster.callers("alder-0"), with_deadline(order(9), 2000), "x").await;
    assert_eq!(refused.told(), (504, "not-run"));
    server.set_hold(false);
    for running in running {
        assert_eq!(running.await.unwrap().status, 200);
    }
    cluster.until_admitted("birch-0", "orders-0", 0, 0).await;
    assert_eq!(server.summary().ran, 3);
}

/// A caller goes away while its order waits. The order leaves the queue, through the host that was asked and the attendant, and is never
/// sent, though places become free afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_gone_from_the_queue_is_not_run() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let running = fill(&cluster, 3).await;
    let gone = start(cluster.callers("alder-0"), order(9), "x");
    cluster.until_admitted("birch-0", "orders-0", 3, 1).await;
    gone.abort();
    cluster.until_admitted("birch-0", "orders-0", 3, 0).await;
    server.set_hold(false);
    for running in running {
        assert_eq!(running.await.unwrap().status, 200);
    }
    assert_eq!((server.summary().ran, server.summary().cancelled), (3, 0));
}

/// A host that has read no configuration, and one whose service has no backend server yet, can't know who owns a key. Nothing has
/// left the host, so the caller is told `not-run`, with a hint when another try may help.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_configuration_or_owner_nothing_leaves_the_host() {
    let empty = Plan { services: "", hosts: &["alder"], servers: &[] };
    let cluster = Cluster::start_unserved(empty).await;
    let refused = ask(cluster.callers("alder-0"), order(1), "x").await;
    assert_eq!(refused.told(), (503, "not-run"));
    drop(cluster);
    let no_server = Plan { services: SERVICES, hosts: &["alder"], servers: &[] };
    let cluster = Cluster::start(no_server).await;
    let refused = ask(cluster.callers("alder-0"), with_deadline(order(1), 300), "x").await;
    assert_eq!(refused.told(), (503, "not-run"));
    assert_eq!(refused.text(), "not-run: no backend server owns the key at present\n");
    assert_eq!(refused.header("retry-after"), "1");
}

/// The one host that could attend the owner is lost before the order comes. The connection to it is refused, so no
/// byte of the order left the host that was asked: `not-run`, also after all tries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attendant_lost_before_is_not_run() {
    let mut cluster = Cluster::start(PAIR).await;
    cluster.kill("birch-0");
    let refused = ask(cluster.callers("alder-0"), with_deadline(order(1), 1000), "x").await;
    assert_eq!(refused.told(), (503, "not-run"));
    assert_eq!(cluster.server("orders-0").summary().ran, 0);
}

/// The attendant is killed while an order runs. Its connections break, to the backend server too, which cancels the order here but
/// might have ended it: the host that was asked can't know, says `may-have-run`, and does not try again. An order that
/// comes after that has not left it: `not-run`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attendant_killed_under_an_order_may_have_run() {
    let mut cluster = Cluster::start(PAIR).await;
    let mut running = fill(&cluster, 1).await;
    cluster.kill("birch-0");
    let lost = running.remove(0).await.unwrap();
    assert_eq!(lost.told(), (502, "may-have-run"));
    let server = cluster.server("orders-0");
    until("the order is cancelled", async || server.summary().cancelled == 1).await;
    let next = ask(cluster.callers("alder-0"), with_deadline(order(2), 500), "x").await;
    assert_eq!(next.told(), (503, "not-run"));
    server.set_hold(false);
    assert_eq!(server.summary().ran, 0);
}

/// The backend server takes no connection any more, though its lease has not ended yet. No byte of the order was written,
/// so every try ends `not-run`, and so does the order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_connection_is_not_run() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    server.listener().cut();
    let refused = ask(cluster.callers("alder-0"), with_deadline(order(1), 1000), "x").await;
    assert_eq!(refused.told(), (503, "not-run"));
    assert_eq!(server.summary().ran + server.summary().cancelled, 0);
}

/// The backend server dies when it has read half of an order's body. It may have begun with the half, so the caller is told
/// `may-have-run`, and the order is not sent again: its body is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_written_may_have_run() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let (tx, rx) = mpsc::channel(4);
    let body = futures_util::stream::unfold(rx, async |mut rx| Some((Ok(rx.recv().await?), rx)));
    let mut caller = Caller::open(cluster.callers("alder-0")).await.unwrap();
    let order = tokio::spawn(async move { read(caller.send(order(1), chunks(body)).await?).await });
    tx.send(Bytes::from(vec![b'x'; 1 << 20])).await.unwrap();
    cluster.until_running("orders-0", 1).await;
    server.kill();
    let lost = order.await.unwrap().unwrap();
    assert_eq!(lost.told(), (502, "may-have-run"));
    until("the order is lost", async || server.summary().lost == 1).await;
    assert_eq!(server.summary().ran, 0);
}

/// An order has been written and its connection breaks. The backend server may have run it, so the order is not sent again. A read is: its
/// second attempt is another request to the attendant, which still counts the first one as possibly running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_connection_may_have_run_and_a_read_is_tried_again() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let addr = cluster.callers("alder-0");
    server.set_hold(true);
    let (order, read) = (start(addr, order(1), "x"), start(addr, get("/orders/2"), ""));
    cluster.until_running("orders-0", 2).await;
    server.listener().close_connections();
    assert_eq!(order.await.unwrap().told(), (502, "may-have-run"));
    server.set_hold(false);
    assert_eq!(read.await.unwrap().told(), (200, "ran"));
    assert_eq!((server.summary().ran, server.summary().cancelled), (1, 2));
}

/// All connections to the backend server go silent without being closed. The order caught in it is told `may-have-run` at its
/// deadline; requests that come afterwards use new connections and are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connection_may_have_run_and_the_next_order_runs() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let addr = cluster.callers("alder-0");
    server.set_hold(true);
    let caught = start(addr, with_deadline(order(1), 500), "x");
    cluster.until_running("orders-0", 1).await;
    server.silence_connections();
    assert_eq!(caught.await.unwrap().told(), (504, "may-have-run"));
    server.set_hold(false);
    assert_eq!(ask(addr, order(2), "x").await.told(), (200, "ran"));
}

/// The backend server refuses in its own words, before it runs anything: overloaded, or leaving. Its header is the proof for
/// `not-run`. What was running when it began to leave ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_by_the_backend_server_is_not_run() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let addr = cluster.callers("alder-0");
    server.set_shed(true);
    assert_eq!(ask(addr, order(1), "x").await.told(), (429, "not-run"));
    server.set_shed(false);
    let mut running = fill(&cluster, 1).await;
    server.set_draining(true);
    let refused = ask(addr, with_deadline(order(2), 500), "x").await;
    assert_eq!(refused.told(), (503, "not-run"));
    server.set_hold(false);
    assert_eq!(running.remove(0).await.unwrap().told(), (200, "ran"));
    assert_eq!(server.summary().ran, 1);
}

/// An answer is cut in its middle after the effect. Its head came whole and says that the order ran; the rest is not made up, so the
/// caller's connection breaks. The order ran once, and its place is free again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_answer_ran_and_never_ends_cleanly() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    server.cut_next_answers(1);
    let mut caller = Caller::open(cluster.callers("alder-0")).await.unwrap();
    let order = order(1).header(ANSWER_BYTES, 1 << 20);
    let res = caller.send(order, whole("x")).await.unwrap();
    assert_eq!(res.headers()["jacinthbeam-verdict"], "ran");
    read(res).await.expect_err("half an answer looks whole");
    cluster.until_admitted("birch-0", "orders-0", 0, 0).await;
    assert_eq!(server.summary().ran, 1);
}

/// The effect takes place and the answer comes only after the deadline. The caller is told `may-have-run` at the deadline. The answer finds no
/// connection any more, so the next order on the same path gets its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_answer_may_have_run_and_reaches_nobody() {
    let cluster = Cluster::start(PAIR).await;
    let server = cluster.server("orders-0");
    let addr = cluster.callers("alder-0");
    server.set_late(Duration::from_secs(2));
    let late = ask(addr, with_deadline(order(1), 300), "x").await;
    assert_eq!(late.told(), (504, "may-have-run"));
    assert_eq!(server.summary().ran, 1);
    server.set_late(Duration::ZERO);
    let next = ask(addr, order(2), "x").await;
    assert_eq!(next.echo().request.as_deref(), Some(next.header("jacinthbeam-request")));
    cluster.until_admitted("birch-0", "orders-0", 0, 0).await;
    assert_eq!(server.runs().iter().filter(|run| run.outcome == Outcome::Ran).count(), 2);
}

/// The attendant stands still with an order in its hands: it takes the order and never answers. The host that was asked can't know whether it was sent
/// on, and says `may-have-run` at the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_attendant_may_have_run() {
    let mut cluster = Cluster::start(PAIR).await;
    let paused = Paused::replace(&mut cluster, "birch-0").await;
    let order = with_deadline(order(1), 500);
    let lost = ask(cluster.callers("alder-0"), order, "x").await;
    assert_eq!(lost.told(), (504, "may-have-run"));
    assert_eq!(cluster.server("orders-0").summary().ran, 0);
    drop(paused);
}
