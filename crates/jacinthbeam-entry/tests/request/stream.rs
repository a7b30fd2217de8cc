//! Bodies pass in both directions as they come, over HTTP/1.1 and HTTP/2, and end whole or with an error.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use futures_util::StreamExt;
use http::request::Builder;
use jacinthbeam_standin::backend::{ANSWER_BYTES, SERVICE_MS};

use crate::support::{
    Cluster, PAIR, Paused,
    caller::{self, Caller, ask, chunks, h2, open_h2, post, read, whole},
};

const MIB: usize = 1 << 20;

fn order(key: u32) -> Builder {
    post(&format!("/orders/{key}"))
}

/// Two orders share a connection over HTTP/2, and the first one takes longer. The answers cross on their way; each order gets its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_answers_reach_their_own_requests() {
    let cluster = Cluster::start(PAIR).await;
    let sender = open_h2(cluster.callers("alder-0")).await;
    let order = |key: u32, ms: u32| {
        let req = h2("POST", &format!("/orders/{key}")).header(SERVICE_MS, ms);
        let sent = sender.clone().send_request(req.body(whole("x")).unwrap());
        async move { read(sent.await.unwrap()).await.unwrap() }
    };
    let (slow, fast) = (order(1, 300), order(2, 0));
    for (got, path) in [(slow, "/orders/1"), (fast, "/orders/2")] {
        let got = got.await;
        assert_eq!((got.told(), got.echo().path.as_str()), ((200, "ran"), path));
        assert_eq!(got.echo().request.as_deref(), Some(got.header("jacinthbeam-request")));
    }
}

/// Bodies that are much larger than what a host holds of one pass whole through two hosts, with and without an announced length.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_pass_whole_both_ways() {
    let cluster = Cluster::start(PAIR).await;
    let addr = cluster.callers("alder-0");
    let large = || order(1).header(ANSWER_BYTES, 4 * MIB);
    let got = ask(addr, large(), vec![b'x'; 8 * MIB]).await;
    assert_eq!((got.told(), got.echo().body_bytes), ((200, "ran"), 8 << 20));
    assert_eq!(got.echo().padding.len(), 4 * MIB);
    let chunk = Bytes::from(vec![b'x'; MIB]);
    let body = || futures_util::stream::repeat(chunk.clone()).take(8).map(Ok);
    let mut caller = Caller::open(addr).await.unwrap();
    let got = read(caller.send(large(), chunks(body())).await.unwrap()).await.unwrap();
    assert_eq!((got.told(), got.echo().body_bytes), ((200, "ran"), 8 << 20));
    let req = h2("POST", "/orders/1").header(ANSWER_BYTES, 4 * MIB).body(chunks(body())).unwrap();
    let got = read(open_h2(addr).await.send_request(req).await.unwrap()).await.unwrap();
    assert_eq!((got.told(), got.echo().padding.len()), ((200, "ran"), 4 * MIB));
}

/// The attendant stands still and reads nothing of an order's body. The host that was asked takes no more of it than the buffers between the
/// three hold, however much the caller has to send, and tells `may-have-run` at the deadline. (That a caller who reads nothing holds up
/// the backend server in the same way is seen in `caller_gone_from_an_answer_frees_everything`.)
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_that_nobody_reads_stays_with_the_caller() {
    let mut cluster = Cluster::start(PAIR).await;
    let paused = Paused::replace(&mut cluster, "birch-0").await;
    let taken = Arc::new(AtomicUsize::new(0));
    let count = taken.clone();
    let chunk = Bytes::from(vec![b'x'; 64 << 10]);
    // As long as the service allows a body to be, so that the end of it is not what stops the caller.
    let body = futures_util::stream::repeat(chunk).take(64 * MIB / (64 << 10)).map(move |chunk| {
        count.fetch_add(chunk.len(), Ordering::Relaxed);
        Ok(chunk)
    });
    let mut caller = Caller::open(cluster.callers("alder-0")).await.unwrap();
    let order = order(1).header("jacinthbeam-deadline-ms", 1000);
    let res = caller.send(order, chunks(body)).await.unwrap();
    assert_eq!(
        (res.status().as_u16(), &res.headers()["jacinthbeam-verdict"]),
        (504, &"may-have-run".parse().unwrap())
    );
    assert!(
        taken.load(Ordering::Relaxed) < 32 * MIB,
        "{} bytes were taken",
        taken.load(Ordering::Relaxed)
    );
    drop(paused);
}

/// An answer is cut behind the attendant. A caller over HTTP/2 sees its stream reset, and no end; another stream of the same connection is not hurt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_answer_resets_only_its_own_stream() {
    let cluster = Cluster::start(PAIR).await;
    cluster.server("orders-0").cut_next_answers(1);
    let mut sender = open_h2(cluster.callers("alder-0")).await;
    let req = h2("POST", "/orders/1").header(ANSWER_BYTES, MIB).body(whole("x")).unwrap();
    let res = sender.send_request(req).await.unwrap();
    assert_eq!(res.headers()["jacinthbeam-verdict"], "ran");
    read(res).await.expect_err("half an answer looks whole");
    let req = h2("POST", "/orders/2").body(caller::whole("x")).unwrap();
    let next = read(sender.send_request(req).await.unwrap()).await.unwrap();
    assert_eq!(next.told(), (200, "ran"));
}
