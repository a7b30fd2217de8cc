use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body::{Body, Frame};
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc::Receiver;

use super::{WHOLE, far, get, pool, whole};
use crate::fake::Fake;

/// A request body that the test sends part by part.
pub struct Upload(pub Receiver<Bytes>);

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|part| part.map(|part| Ok(Frame::data(part))))
    }
}

// Five requests at once over two connections: two run, three wait for a connection to become idle,
// and none opens a third one, which the backend server would refuse.
#[tokio::test]
async fn no_more_connections_are_opened_than_allowed() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let ask = || async { whole(pool.send(get("/"), far()).await.unwrap()).await.unwrap() };
    let serve = async {
        let mut peers = [fake.accept().await, fake.accept().await];
        for turn in 0..5 {
            let peer = &mut peers[turn % 2];
            peer.request().await;
            assert_eq!(pool.snapshot().open, 2);
            peer.say(WHOLE).await;
        }
        assert!(fake.accept().now_or_never().is_none(), "no third connection");
        peers
    };
    tokio::join!(ask(), ask(), ask(), ask(), ask(), serve);
    assert_eq!((pool.snapshot().open, pool.snapshot().idle), (2, 2));
}

// A caller goes away while its request runs. Its socket stays open for a moment, and the backend
// server counts it; so its place stays taken until the socket is closed, and the next request waits
// for that.
#[tokio::test]
async fn an_abandoned_request_keeps_its_place_until_its_socket_is_closed() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let mut peer = {
        let sent = pool.send(get("/"), far());
        tokio::pin!(sent);
        tokio::select! {
            _ = &mut sent => unreachable!("nobody answers"),
            peer = async {
                let mut peer = fake.accept().await;
                peer.request().await;
                peer
            } => peer,
        }
    };
    assert_eq!((pool.snapshot().open, pool.snapshot().in_use), (1, 1));
    let (answer, _second) = tokio::join!(pool.send(get("/"), far()), async {
        peer.closed().await;
        fake.serve(WHOLE).await
    });
    assert_eq!(whole(answer.unwrap()).await.unwrap(), "brine");
}

// All connections are in use until the deadline. The request never left this host.
#[tokio::test]
async fn a_request_that_got_no_connection_did_not_run() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 0);
    let soon = std::time::Instant::now() + std::time::Duration::from_millis(1);
    let failure = pool.send(get("/"), soon).await.unwrap_err();
    assert_eq!(failure.verdict, Verdict::NotRun);
}

// Two requests share the only connection. The second one waits for it, and the lease that it is sent
// under ends meanwhile. It is refused as not-run and no byte of it reaches the server, which may not
// be the owner of its key any more. The connection serves the next request.
#[tokio::test]
async fn a_request_whose_lease_ended_in_the_wait_is_not_written() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let (closed, _) = tokio::sync::oneshot::channel();
    let late = pool.send_watched(get("/late"), far(), closed, || Err(Reason::NoLease));
    let first = async { whole(pool.send(get("/first"), far()).await.unwrap()).await.unwrap() };
    let serve = async {
        let mut peer = fake.accept().await;
        assert!(peer.request().await.contains("/first"));
        peer.say(WHOLE).await;
        peer
    };
    let (_, refused, mut peer) = tokio::join!(first, late, serve);
    let refused = refused.unwrap_err();
    assert_eq!((refused.verdict, refused.reason), (Verdict::NotRun, Reason::NoLease));
    let next = async { whole(pool.send(get("/next"), far()).await.unwrap()).await.unwrap() };
    let serve = async {
        assert!(peer.request().await.contains("/next"));
        peer.say(WHOLE).await;
    };
    tokio::join!(next, serve);
}
