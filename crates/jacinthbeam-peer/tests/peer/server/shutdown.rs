use std::{sync::Arc, time::Duration};

use jacinthbeam_peer::{Body, client::forward, server::Shutdown};
use jacinthbeam_types::prelude::Verdict;
use tokio::sync::{Notify, mpsc};

use crate::support::{LONG, answer, attend, bytes, client, echo, head, serve, soon, text};

#[tokio::test]
async fn planned_stop_cuts_no_request() {
    // A host is stopped on purpose while a request runs. New requests are refused as not run; the one in
    // progress gets its whole answer, and only then does the stop end.
    let (started, mut starts) = mpsc::channel(1);
    let go_on = Arc::new(Notify::new());
    let wait = go_on.clone();
    let server = serve(move |head, body: Body, cancelled| {
        let (started, wait) = (started.clone(), wait.clone());
        async move {
            started.send(()).await.unwrap();
            wait.notified().await;
            echo(head, body, cancelled).await
        }
    });
    let addr = server.local_addr();
    let client = client();
    let first = client.clone();
    let running =
        tokio::spawn(async move { first.forward(addr, head(1), bytes("order"), soon()).await });
    starts.recv().await;
    let stopping = tokio::spawn(server.shutdown(LONG));
    while client.ask(addr, &attend(), LONG).await.is_ok() {}
    let refused = client.forward(addr, head(2), Body::empty(), soon()).await.unwrap_err();
    assert_eq!(refused.verdict(), Verdict::NotRun);
    go_on.notify_one();
    let (_, body) = running.await.unwrap().unwrap();
    assert_eq!(text(body).await, "order");
    assert_eq!(stopping.await.unwrap(), Shutdown { cut: 0 });
}

#[tokio::test]
async fn stop_is_bounded() {
    // A handler never ends. The stop waits for its bound, then cuts the request, and says so; the forwarding host
    // can't know whether it ran, and the handler is told.
    let (started, mut starts) = mpsc::channel(1);
    let (settled, mut settles) = mpsc::channel(1);
    let server = serve(move |head, _, mut cancelled| {
        let (started, settled) = (started.clone(), settled.clone());
        async move {
            started.send(()).await.unwrap();
            cancelled.cancelled().await;
            settled.send(()).await.unwrap();
            (answer(head.id, None), Body::empty())
        }
    });
    let addr = server.local_addr();
    let client = client();
    let running =
        tokio::spawn(async move { client.forward(addr, head(1), Body::empty(), soon()).await });
    starts.recv().await;
    assert_eq!(server.streams(), 1);
    assert_eq!(server.shutdown(Duration::from_millis(30)).await, Shutdown { cut: 1 });
    assert_eq!(settles.recv().await, Some(()));
    let err = running.await.unwrap().unwrap_err();
    assert!(matches!(err, forward::Error::Lost(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
}
