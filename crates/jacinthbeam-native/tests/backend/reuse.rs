use std::{sync::Arc, time::Duration};

use http::Request;
use jacinthbeam_native::backend::{Options, Pool, full, stream};
use jacinthbeam_types::{clock::ManualClock, prelude::*};

use super::{WHOLE, again, exchange, far, get, limit::Upload, pool, whole};
use crate::fake::Fake;

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let mut peer = exchange(&pool, &fake).await;
    assert_eq!((pool.snapshot().open, pool.snapshot().idle), (1, 1));
    again(&pool, &mut peer).await;
    assert_eq!((pool.snapshot().open, pool.snapshot().idle), (1, 1));
}

#[tokio::test]
async fn a_chunked_answer_is_whole_at_its_last_chunk() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let head = "HTTP/1.1 200 OK\r\nbackend-server: s1\r\ntransfer-encoding: chunked\r\n\r\n";
    let (answer, mut peer) = tokio::join!(pool.send(get("/"), far()), fake.serve(head));
    let mut answer = answer.unwrap();
    assert!(!answer.headers().contains_key("transfer-encoding"), "framing stays on its connection");
    peer.say("5\r\nbrine\r\n").await;
    assert_eq!(answer.body_mut().next().await.unwrap().unwrap(), "brine");
    assert_eq!(pool.snapshot().idle, 0, "the last chunk is still to come");
    peer.say("0\r\n\r\n").await;
    assert!(answer.body_mut().next().await.is_none());
    again(&pool, &mut peer).await;
}

// The caller goes away in the middle of its answer. The rest of it is still on the connection, and
// the next request on the same one would be answered with it. So the connection is closed, which
// also tells the backend server that nobody waits.
#[tokio::test]
async fn an_abandoned_answer_closes_its_connection() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let part = "HTTP/1.1 200 OK\r\nbackend-server: s1\r\ncontent-length: 50\r\n\r\nbrine";
    let (answer, mut peer) = tokio::join!(pool.send(get("/"), far()), fake.serve(part));
    let mut answer = answer.unwrap();
    assert_eq!(answer.body_mut().next().await.unwrap().unwrap(), "brine");
    drop(answer);
    peer.closed().await;
    exchange(&pool, &fake).await;
}

// As before, but the rest of the answer has arrived already; hyper would read it and keep the
// connection. It is closed all the same, so that there is one rule.
#[tokio::test]
async fn an_answer_dropped_unread_closes_its_connection() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let (answer, mut peer) = tokio::join!(pool.send(get("/"), far()), fake.serve(WHOLE));
    drop(answer);
    peer.closed().await;
    exchange(&pool, &fake).await;
}

// The backend server answers before it has read the whole order, and closes nothing. The rest of
// the order is still on its way, so a next request must not follow on this connection. It is
// closed, although the rest of the order never comes and hyper would wait for it.
#[tokio::test]
async fn an_answer_before_the_end_of_the_request_does_not_free_the_connection() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    let req = Request::post("/").body(stream(Upload(rx))).unwrap();
    let (answer, mut peer) = tokio::join!(pool.send(req, far()), fake.serve(WHOLE));
    whole(answer.unwrap()).await.unwrap();
    assert_eq!(pool.snapshot().idle, 0);
    exchange(&pool, &fake).await;
    peer.closed().await;
    drop(tx);
}

#[tokio::test]
async fn an_old_idle_connection_is_closed() {
    let fake = Fake::bind().await;
    let clock = Arc::new(ManualClock::new());
    let server = "s1".parse().unwrap();
    let options = Options { max_idle: Duration::from_secs(5), ..Options::default() };
    let pool = Pool::open(server, fake.addr(), 2, options, clock.clone());
    let deadline = || clock.now() + Duration::from_secs(60);
    let (answer, mut peer) = tokio::join!(pool.send(get("/"), deadline()), fake.serve(WHOLE));
    whole(answer.unwrap()).await.unwrap();

    clock.advance(Duration::from_millis(4999));
    pool.expire();
    assert_eq!(pool.snapshot().idle, 1);
    clock.advance(Duration::from_millis(1));
    pool.expire();
    assert_eq!(pool.snapshot().idle, 0);
    peer.closed().await;
    assert_eq!(pool.snapshot().open, 0);
}

// The backend server closes a connection that waits for a request, just before the next order. The
// connection's own task hasn't noticed yet, but the order is not written to it: it goes over a new
// one, and the caller sees nothing.
#[tokio::test]
async fn an_idle_connection_closed_by_the_server_costs_no_request() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let peer = exchange(&pool, &fake).await;
    assert_eq!(pool.snapshot().idle, 1);
    peer.close();
    let order = Request::post("/orders").body(full("salt".into())).unwrap();
    let (answer, _peer) = tokio::join!(pool.send(order, far()), fake.serve(WHOLE));
    assert_eq!(whole(answer.unwrap()).await.unwrap(), "brine");
}
