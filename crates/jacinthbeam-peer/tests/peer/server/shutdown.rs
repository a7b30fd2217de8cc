use std::{sync::Arc, time::Duration};

use jacinthbeam_peer::{
    Body,
    client::forward::Error,
    server::{self, Shutdown},
};
use jacinthbeam_types::prelude::Verdict;
use tokio::sync::{Notify, mpsc};

use crate::support::{
    Event, LONG, attend, bytes, client, echo, forward, relay::Relay, serve, spawn_forward, stuck,
    text,
};

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
    let running = spawn_forward(&client, addr, 1, bytes("order"));
    starts.recv().await;
    let stopping = tokio::spawn(server.shutdown(LONG));
    while client.ask(addr, &attend(), LONG).await.is_ok() {}
    let refused = forward(&client, addr, 2, Body::empty()).await.unwrap_err();
    assert!(matches!(refused, Error::Connect(_)), "{refused:?}");
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
    let (server, mut events) = stuck(server::Options::default());
    let running = spawn_forward(&client(), server.local_addr(), 1, Body::empty());
    assert_eq!(events.recv().await, Some(Event::Started(None)));
    assert_eq!(server.streams(), 1);
    assert_eq!(server.shutdown(Duration::from_millis(30)).await, Shutdown { cut: 1 });
    assert_eq!(events.recv().await, Some(Event::Cancelled(None)));
    let err = running.await.unwrap().unwrap_err();
    assert!(matches!(err, Error::Lost(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
}

#[tokio::test]
async fn silent_connection_does_not_hold_up_a_stop() {
    // A peer's idle connection was forgotten by something between the hosts. The farewell on it is never answered;
    // the stop ends all the same, since no request is in progress, long before its bound of an hour.
    let server = serve(echo);
    let relay = Relay::to(server.local_addr()).await;
    let client = client();
    client.ask(relay.addr, &attend(), LONG).await.unwrap();
    relay.forget();
    assert_eq!(server.shutdown(Duration::from_secs(3600)).await, Shutdown { cut: 0 });
}
