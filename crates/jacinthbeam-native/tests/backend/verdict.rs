use std::{sync::Arc, time::Instant};

use http::Request;
use jacinthbeam_native::{
    backend::{Failure, Options, Pool, full, stream},
    format::backend::RefusedBecause,
};
use jacinthbeam_types::prelude::*;

use super::{again, exchange, far, pool};
use crate::fake::{Fake, Refusing, within};

fn order() -> Request<jacinthbeam_native::backend::RequestBody> {
    let order = Request::post("/orders").header("request-id", "7-1");
    order.body(full("brine for pass 4".into())).unwrap()
}

async fn failure_after(answer: &str) -> Failure {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let (sent, mut peer) = tokio::join!(pool.send(order(), far()), fake.serve(answer));
    let failure = sent.unwrap_err();
    if failure.verdict == Verdict::NotRun {
        // The text of the refusal is read in the background.
        within(async {
            while pool.snapshot().idle == 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
        again(&pool, &mut peer).await;
    } else {
        peer.closed().await;
    }
    failure
}

#[tokio::test]
async fn a_request_that_found_no_server_did_not_run() {
    let gone = Refusing::bind();
    let pool = pool(gone.addr(), 2);
    let failure = pool.send(order(), far()).await.unwrap_err();
    assert_eq!(failure.to_string(), "not-run: the owner of the key can't be reached from here");
    assert_eq!(pool.snapshot().open, 0);
}

#[tokio::test]
async fn a_request_past_its_deadline_is_not_sent() {
    let gone = Refusing::bind();
    let pool = pool(gone.addr(), 2);
    let failure = pool.send(order(), Instant::now()).await.unwrap_err();
    assert_eq!((failure.verdict, failure.reason), (Verdict::NotRun, Reason::DeadlinePassed));
}

// The backend server dies when it has read a part of the order. The order counts as may-have-run,
// since nobody can tell from here how much of it the server got.
#[tokio::test]
async fn a_half_written_request_may_have_run() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    let upload = stream(super::limit::Upload(rx));
    let req = Request::post("/orders").body(upload).unwrap();
    let (sent, ()) = tokio::join!(pool.send(req, far()), async {
        let mut peer = fake.accept().await;
        peer.some().await;
    });
    drop(tx);
    let failure = sent.unwrap_err();
    assert_eq!((failure.verdict, failure.reason), (Verdict::MayHaveRun, Reason::ConnectionLost));
}

// The backend server reads the whole order and dies before it answers.
#[tokio::test]
async fn a_request_without_an_answer_may_have_run() {
    let failure = {
        let fake = Fake::bind().await;
        let pool = pool(fake.addr(), 2);
        let serve = async { drop(fake.serve("").await) };
        let (sent, ()) = tokio::join!(pool.send(order(), far()), serve);
        sent.unwrap_err()
    };
    assert_eq!((failure.verdict, failure.reason), (Verdict::MayHaveRun, Reason::ConnectionLost));
}

#[tokio::test]
async fn a_refusal_by_the_server_is_not_run_with_its_reason() {
    let reasons = [
        (RefusedBecause::StaleToken, Reason::NotAttendant),
        (RefusedBecause::Lapsed, Reason::NoLease),
        (RefusedBecause::NotOwner, Reason::NoOwner),
        (RefusedBecause::Shed, Reason::Overloaded),
        (RefusedBecause::Draining, Reason::RefusedByServer),
        (RefusedBecause::DeadlinePassed, Reason::DeadlinePassed),
    ];
    for (because, reason) in reasons {
        let text = because.as_str();
        let failure = failure_after(&format!(
            "HTTP/1.1 503 No\r\nbackend-server: s1\r\nrequest-refused: {text}\r\nretry-after: 2\r\n\
             content-length: 4\r\n\r\nbusy"
        ))
        .await;
        assert_eq!((failure.verdict, failure.reason), (Verdict::NotRun, reason), "{text}");
        assert_eq!(failure.refused, Some(because));
        assert_eq!(failure.retry_after.unwrap().as_secs(), 2);
    }
}

// An application answers 200 with the header of a refusal. It ran, so the header is no proof of the contrary.
#[tokio::test]
async fn a_refusal_with_a_status_of_success_is_no_proof() {
    let answer = "HTTP/1.1 200 OK\r\nbackend-server: s1\r\nrequest-refused: shed\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(failure_after(answer).await.verdict, Verdict::MayHaveRun);
}

// Another backend server took over the address, or something in between mixes up answers. Its answer, or its
// refusal, says nothing about the order sent to the right one, and the connection isn't used again.
#[tokio::test]
async fn an_answer_of_another_server_is_not_taken() {
    for answer in [
        "HTTP/1.1 200 OK\r\nbackend-server: s2\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 No\r\nbackend-server: s2\r\nrequest-refused: shed\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nbackend-server: s1\r\nrequest-id: 7-2\r\ncontent-length: 0\r\n\r\n",
    ] {
        let failure = failure_after(answer).await;
        let expected = (Verdict::MayHaveRun, Reason::PeerProtocol);
        assert_eq!((failure.verdict, failure.reason), expected, "{answer}");
    }
}

// The server sends a late second answer after a whole one. It must not become the answer of the
// next request: its bytes stand on the idle connection, which is closed for that, and the next
// request goes over a new one.
#[tokio::test]
async fn a_late_answer_does_not_meet_the_next_request() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let mut peer = exchange(&pool, &fake).await;
    assert_eq!(pool.snapshot().idle, 1);
    peer.say("HTTP/1.1 200 OK\r\nbackend-server: s1\r\ncontent-length: 4\r\n\r\nlate").await;
    peer.close();
    exchange(&pool, &fake).await;
}

// A `content-length` that is not the body's own would make the server take the next request on the
// connection for the rest of this one. Such a request is refused before anything is written.
#[tokio::test]
async fn a_request_with_a_wrong_length_is_refused() {
    let gone = Refusing::bind();
    let pool = pool(gone.addr(), 2);
    for length in ["0", "17", "x"] {
        let mut req = order();
        req.headers_mut().insert("content-length", length.parse().unwrap());
        let failure = pool.send(req, far()).await.unwrap_err();
        assert_eq!((failure.verdict, failure.reason), (Verdict::NotRun, Reason::BadRequest));
    }
}

// A caller names the token in `connection`, where a proxy takes named headers off. The token stays,
// or the backend server could not tell a stale attendant.
#[tokio::test]
async fn a_caller_cannot_take_the_token_off() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let req = Request::get("http://elsewhere/tile?z=4")
        .header("connection", "close, grant-token, x-hop")
        .header("grant-token", "3")
        .header("x-hop", "1")
        .header("host", "s1")
        .body(jacinthbeam_native::backend::empty())
        .unwrap();
    let serve = async {
        let mut peer = fake.accept().await;
        let request = peer.request().await;
        peer.say(super::WHOLE).await;
        request
    };
    let (_, request) = tokio::join!(pool.send(req, far()), serve);
    assert_eq!(request, "GET /tile?z=4 HTTP/1.1\r\nhost: s1\r\ngrant-token: 3\r\n\r\n");
}

#[tokio::test]
async fn a_dropped_pool_closes_its_idle_connections() {
    let fake = Fake::bind().await;
    let server = "s1".parse().unwrap();
    let pool = Pool::open(server, fake.addr(), 2, Options::default(), Arc::new(SystemClock));
    let mut peer = exchange(&pool, &fake).await;
    drop(pool);
    peer.closed().await;
}
