//! A request is given up, and the backend server's own close of the connection says that it has ended.

use futures_util::FutureExt;
use jacinthbeam_native::backend::Pool;
use tokio::sync::oneshot;

use super::{WHOLE, far, get, pool, whole};
use crate::fake::{Fake, Peer, within};

/// Sends a request whose sender goes away while it runs. Returns the server's end of the connection.
async fn give_up(pool: &Pool, fake: &Fake, closed: oneshot::Sender<()>) -> Peer {
    let sent = pool.send_watched(get("/"), far(), closed, || Ok(()));
    tokio::select! {
        _ = sent => unreachable!("nobody answers"),
        peer = async {
            let mut peer = fake.accept().await;
            peer.request().await;
            peer
        } => peer,
    }
}

// A caller goes away. The backend server sees the end of the connection and goes on for a moment; it still counts the request. Only when it closes
// its own end may another request be sent in its place.
#[tokio::test]
async fn close_by_the_server_is_told_and_not_before() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let (closed, mut is_closed) = oneshot::channel();
    let mut peer = give_up(&pool, &fake, closed).await;
    peer.closed().await;
    assert!((&mut is_closed).now_or_never().is_none(), "the server has not ended the request");
    assert_eq!(pool.snapshot().open, 1, "the socket still counts");
    drop(peer);
    assert_eq!(within(is_closed).await, Ok(()));
}

// The backend server does not care about the end of the connection. Nothing is known of the request, and the connection is
// given up after a bounded time.
#[tokio::test]
async fn server_that_does_not_close_is_no_proof() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let (closed, is_closed) = oneshot::channel();
    let _peer = give_up(&pool, &fake, closed).await;
    assert!(within(is_closed).await.is_err());
    while pool.snapshot().open > 0 {
        tokio::task::yield_now().await;
    }
}

// The answer is abandoned in its middle. The bytes that still come are not taken for the end of the request.
#[tokio::test]
async fn rest_of_an_abandoned_answer_is_no_proof() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let (closed, mut is_closed) = oneshot::channel();
    let (answer, mut peer) = tokio::join!(
        pool.send_watched(get("/"), far(), closed, || Ok(())),
        fake.serve(&WHOLE[..WHOLE.len() - 2])
    );
    drop(answer.unwrap());
    peer.closed().await;
    peer.say("ne").await;
    assert!((&mut is_closed).now_or_never().is_none());
    drop(peer);
    assert_eq!(within(is_closed).await, Ok(()));
}

// A whole answer ends the request by itself, and its connection is kept.
#[tokio::test]
async fn answered_request_is_not_told_as_closed() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let (closed, is_closed) = oneshot::channel();
    let (answer, _peer) =
        tokio::join!(pool.send_watched(get("/"), far(), closed, || Ok(())), fake.serve(WHOLE));
    assert_eq!(whole(answer.unwrap()).await.unwrap(), "brine");
    assert!(within(is_closed).await.is_err());
    assert_eq!(pool.snapshot().idle, 1);
}
