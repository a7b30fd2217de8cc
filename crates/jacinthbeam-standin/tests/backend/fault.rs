//! Each fault does what it says, and no more.

use std::time::Duration;

use futures_util::FutureExt;
use jacinthbeam_native::format::backend::REFUSED;
use jacinthbeam_standin::backend::{ANSWER_BYTES, ColdStart, Echo, Outcome, SERVICE_MS};

use crate::{
    bench::{Bench, grant, post, until, work},
    support::{ANY, Client},
};

const LONG: Duration = Duration::from_secs(3600);

#[tokio::test]
async fn order_whose_connection_closes_before_the_effect_is_cancelled() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    bench.server.set_hold(true);
    let order = bench.start();
    bench.running(1).await;
    order.abort();
    bench.running(0).await;
    assert_eq!(bench.server.runs()[0].outcome, Outcome::Cancelled);
    assert_eq!(bench.server.summary().ran, 0);
}

// Something between the two ends forgets a connection: the caller's next order on it gets no
// answer, and the server never sees it. The same order on a new connection is served.
#[tokio::test]
async fn silent_connection_stays_silent_while_new_ones_work() {
    let bench = Bench::new(|options| options.connections = 1);
    let mut old = bench.client().await;
    post(&mut old, &grant(&bench.server, 1)).await;
    work(&mut old, 1, &[]).await.unwrap();
    bench.server.silence_connections();
    let mut unanswered = Box::pin(work(&mut old, 1, &[]));
    assert!((&mut unanswered).now_or_never().is_none());
    let mut new = bench.client().await;
    work(&mut new, 1, &[]).await.unwrap();
    assert!((&mut unanswered).now_or_never().is_none());
    let summary = bench.server.summary();
    assert_eq!((summary.ran, summary.excess_connections), (2, 0));
}

#[tokio::test]
async fn cut_answer_breaks_the_connection_after_the_effect() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    bench.server.cut_next_answers(1);
    assert!(work(&mut bench.client().await, 1, &[]).await.is_err());
    assert_eq!(bench.server.summary().ran, 1);
    assert!(work(&mut bench.client().await, 1, &[]).await.is_ok());
}

#[tokio::test]
async fn late_answer_comes_after_the_effect() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    bench.server.set_late(LONG);
    let order = bench.start();
    until(|| bench.server.summary().ran == 1).await;
    assert!(!order.is_finished());
    assert_eq!(bench.server.grant_state().running, 0);
    order.abort();
}

#[tokio::test]
async fn shedding_and_draining_refuse_work_before_it_runs() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    let mut client = bench.client().await;
    bench.server.set_shed(true);
    let got = work(&mut client, 1, &[]).await.unwrap();
    assert_eq!((got.status.as_u16(), got.header(REFUSED)), (429, Some("shed")));
    bench.server.set_draining(true);
    let got = work(&mut client, 1, &[]).await.unwrap();
    assert_eq!((got.status.as_u16(), got.header(REFUSED)), (503, Some("draining")));
    assert!(bench.grant(1).await.draining, "grants are still taken");
    assert_eq!(bench.server.summary().ran, 0);
}

#[tokio::test]
async fn health_and_load_say_what_they_are_told() {
    let bench = Bench::new(|_| {});
    let mut client = bench.client().await;
    assert_eq!(client.get("/health").await.unwrap().text(), "ok");
    assert_eq!(client.get("/load").await.unwrap().text(), "0");
    bench.server.set_health(Some("perfect".into()));
    bench.server.set_load(Some("99".into()));
    assert_eq!(client.get("/health").await.unwrap().text(), "perfect");
    assert_eq!(client.get("/load").await.unwrap().text(), "99");
}

// A server dies with an order in progress and starts anew. The caller sees its connection break;
// the order never takes effect, and nothing runs under the old grant, which the new life has never
// seen.
#[tokio::test]
async fn restart_loses_running_orders_and_the_grant() {
    let bench = Bench::new(|_| {});
    let old = bench.grant(1).await;
    bench.server.set_hold(true);
    let order = bench.start();
    bench.running(1).await;
    let incarnation = bench.server.restart().unwrap();
    bench.server.set_hold(false);
    assert!(order.await.unwrap().is_err());
    until(|| bench.server.runs().len() == 1).await;
    assert_eq!(bench.server.runs()[0].outcome, Outcome::Lost);
    let state = bench.server.grant_state();
    assert_ne!(state.incarnation, old.incarnation);
    assert_eq!((state.incarnation, state.based_on), (incarnation, None));
    let got = work(&mut bench.client().await, 1, &[]).await.unwrap();
    assert_eq!(got.header(REFUSED), Some("stale-token"));
}

#[tokio::test]
async fn killed_server_refuses_connections_until_its_restart() {
    let bench = Bench::new(|_| {});
    let mut client = bench.client().await;
    client.get("/grant").await.unwrap();
    bench.server.kill();
    assert!(client.get("/grant").await.is_err());
    assert!(Client::open(bench.server.addr()).await.is_err());
    bench.server.restart().unwrap();
    assert_eq!(bench.client().await.get("/grant").await.unwrap().status, 200);
}

#[tokio::test]
async fn surplus_connection_is_closed_and_counted() {
    let bench = Bench::new(|options| options.connections = 1);
    let mut first = bench.client().await;
    first.get("/health").await.unwrap();
    assert!(bench.client().await.get("/health").await.is_err());
    assert!(first.get("/health").await.is_ok());
    assert_eq!(bench.server.summary().excess_connections, 1);
}

#[tokio::test]
async fn orders_beyond_the_concurrency_wait_and_are_counted() {
    let bench = Bench::new(|options| options.concurrency = 1);
    bench.grant(1).await;
    bench.server.set_hold(true);
    let orders = [bench.start(), bench.start(), bench.start()];
    bench.running(3).await;
    bench.server.set_hold(false);
    for order in orders {
        assert_eq!(order.await.unwrap().unwrap().status, 200);
    }
    let summary = bench.server.summary();
    assert_eq!((summary.ran, summary.max_running), (3, 3));
}

#[tokio::test]
async fn first_order_after_a_start_is_slower() {
    let bench = Bench::new(|options| {
        options.cold_start = ColdStart { requests: 1, extra: LONG };
    });
    bench.grant(1).await;
    let cold = bench.start();
    bench.running(1).await;
    work(&mut bench.client().await, 1, &[(SERVICE_MS, "1")]).await.unwrap();
    assert_eq!(bench.server.grant_state().running, 1);
    cold.abort();
}

#[tokio::test]
async fn large_answer_arrives_whole() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    let got = work(&mut bench.client().await, 1, &[(ANSWER_BYTES, "300000")]).await.unwrap();
    assert_eq!(got.json::<Echo>().padding.len(), 300_000);
}

// One failure domain loses sight of the server: connects from there are refused and its open
// connections go silent. An order that came in before still takes effect, and the other failure
// domains are served.
#[tokio::test]
async fn cut_address_is_unreachable_while_others_are_served() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    let other = bench.server.listen(ANY).unwrap();
    bench.server.set_hold(true);
    let order = bench.start();
    bench.running(1).await;
    bench.server.listener().cut();
    assert!(Client::open(bench.server.addr()).await.is_err());
    bench.server.set_hold(false);
    work(&mut Client::open(other.addr()).await.unwrap(), 1, &[]).await.unwrap();
    until(|| bench.server.summary().ran == 2).await;
    assert!(!order.is_finished());
    bench.server.listener().heal().unwrap();
    work(&mut bench.client().await, 1, &[]).await.unwrap();
    assert!(!order.is_finished(), "a silent connection stays silent");
    order.abort();
}

#[tokio::test]
async fn dropped_packets_leave_connects_without_an_answer() {
    let bench = Bench::new(|_| {});
    let other = bench.server.listen(ANY).unwrap();
    bench.server.listener().drop_packets();
    let mut lost = bench.client().await;
    let mut unanswered = Box::pin(lost.get("/health"));
    assert!((&mut unanswered).now_or_never().is_none());
    Client::open(other.addr()).await.unwrap().get("/health").await.unwrap();
    assert!((&mut unanswered).now_or_never().is_none());
    bench.server.listener().heal().unwrap();
    assert!(unanswered.await.is_err(), "what nobody accepted is reset");
    assert_eq!(bench.client().await.get("/health").await.unwrap().status, 200);
}

#[tokio::test]
async fn graceful_stop_lets_the_running_order_end() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    bench.server.set_hold(true);
    let order = bench.start();
    bench.running(1).await;
    bench.server.shutdown().await;
    assert_eq!(order.await.unwrap().unwrap().status, 200);
}
