use std::time::{Duration, Instant};

use http::Request;
use jacinthbeam_native::backend::{Cut, full};
use jacinthbeam_types::prelude::*;

use super::{WHOLE, again, exchange, far, get, pool, whole};
use crate::fake::{Fake, Peer};

/// Long enough for a loaded machine to write a request on an open connection.
const BOUND: Duration = Duration::from_secs(1);

/// Two idle connections.
async fn two_idle(pool: &jacinthbeam_native::backend::Pool, fake: &Fake) -> (Peer, Peer) {
    let ask = || async { whole(pool.send(get("/"), far()).await.unwrap()).await.unwrap() };
    let serve = async {
        let (mut first, mut second) = (fake.accept().await, fake.accept().await);
        for peer in [&mut first, &mut second] {
            peer.request().await;
            peer.say(WHOLE).await;
        }
        (first, second)
    };
    let (_, _, peers) = tokio::join!(ask(), ask(), serve);
    assert_eq!(pool.snapshot().idle, 2);
    peers
}

// Something between the two ends has lost track of both open connections. A brine order goes out on
// one of them and gets no answer by its deadline: it may have run. The other one, idle and just as
// dead, is closed with it, so that the next request is answered over a new connection at once.
#[tokio::test]
async fn after_a_silence_the_next_request_uses_a_new_connection() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 4);
    let (mut first, mut second) = two_idle(&pool, &fake).await;

    let order = Request::post("/orders").body(full("brine".into())).unwrap();
    let failure = pool.send(order, Instant::now() + BOUND).await.unwrap_err();
    assert_eq!((failure.verdict, failure.reason), (Verdict::MayHaveRun, Reason::DeadlinePassed));
    assert_eq!((pool.snapshot().idle, pool.snapshot().suspected), (0, 2));

    let mut third = exchange(&pool, &fake).await;
    first.closed().await;
    second.closed().await;
    again(&pool, &mut third).await;
}

// While one connection goes silent, another one from before is busy with a long answer. That one is
// read to its end, but not used again: whether it still works is not known.
#[tokio::test]
async fn a_connection_opened_before_a_silence_is_not_used_after_it() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 4);
    let (answer, mut busy) = tokio::join!(pool.send(get("/"), far()), fake.serve(&WHOLE[..60]));
    let (failed, _silent) =
        tokio::join!(pool.send(get("/"), Instant::now() + BOUND), fake.accept());
    assert_eq!(failed.unwrap_err().verdict, Verdict::MayHaveRun);

    busy.say(&WHOLE[60..]).await;
    assert_eq!(whole(answer.unwrap()).await.unwrap(), "brine");
    busy.closed().await;
    exchange(&pool, &fake).await;
}

// The connection goes silent in the middle of an answer. The caller gets an error at its deadline.
#[tokio::test]
async fn a_silence_within_an_answer_is_an_error() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 4);
    let mut idle = exchange(&pool, &fake).await;
    let (answer, ()) = tokio::join!(pool.send(get("/"), Instant::now() + BOUND), async {
        idle.request().await;
        idle.say(&WHOLE[..WHOLE.len() - 2]).await;
    });
    assert_eq!(whole(answer.unwrap()).await, Err(Cut::Silent));
    assert_eq!(pool.snapshot().suspected, 1);
    exchange(&pool, &fake).await;
}
