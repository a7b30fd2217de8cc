use std::{sync::Arc, time::Duration};

use jacinthbeam_peer::{
    Body, Client, client::forward::Error, message::ForwardHead, server::Handle,
};
use jacinthbeam_types::prelude::{Reason, Verdict};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};

use crate::support::{
    Forwarded, LONG, bytes, echo, forward,
    frames::{self, Frame},
    head, options,
    relay::Relay,
    serve, soon, spawn_forward, text,
};

/// A server behind a relay. Its handler never answers request 1; request 2 waits for `go_on`, others don't.
struct Behind {
    relay: Relay,
    client: Client,
    starts: mpsc::Receiver<u64>,
    go_on: Arc<Notify>,
    _server: Handle,
}

async fn behind_relay(give_up_after: Duration) -> Behind {
    let (started, starts) = mpsc::channel(1);
    let go_on = Arc::new(Notify::new());
    let wait = go_on.clone();
    let server = serve(move |head, body: Body, cancelled| {
        let (started, wait) = (started.clone(), wait.clone());
        async move {
            started.send(head.id.sequence).await.unwrap();
            match head.id.sequence {
                1 => std::future::pending().await,
                2 => wait.notified().await,
                _ => {}
            }
            echo(head, body, cancelled).await
        }
    });
    let relay = Relay::to(server.local_addr()).await;
    let mut options = options();
    options.limits.silence.trust_for = LONG;
    options.limits.silence.ping_after = Duration::from_millis(20);
    options.limits.silence.suspect_after = Duration::from_millis(40);
    options.limits.silence.give_up_after = give_up_after;
    let client = Client::open(options);
    Behind { relay, client, starts, go_on, _server: server }
}

impl Behind {
    /// Forwards a request; returns when its handler runs.
    async fn start(&mut self, sequence: u64) -> JoinHandle<Forwarded> {
        let task = spawn_forward(&self.client, self.relay.addr, sequence, bytes("x"));
        assert_eq!(self.starts.recv().await, Some(sequence));
        task
    }

    async fn wait_until(&self, done: impl Fn(&Self) -> bool) {
        while !done(self) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn pings(&self) -> usize {
        let passed = self.relay.passed.lock().unwrap();
        let is_ping = |frame: &Frame| frame.kind == frames::PING && frame.flags != frames::ACK;
        frames::parse(&passed.to_server).into_iter().filter(is_ping).count()
    }
}

#[tokio::test]
async fn request_avoids_a_silent_connection() {
    // Something between the hosts forgets the connection while a request runs. Nothing is ever heard again, and
    // no write fails. The PINGs stay unanswered, so that the next request uses a new connection, while the one in
    // progress keeps its chance on the old one.
    let mut behind = behind_relay(LONG).await;
    let stuck = behind.start(1).await;
    behind.relay.forget();
    behind.wait_until(|behind| !behind.client.dump().iter().any(|peer| peer.current)).await;
    let next = behind.start(3).await.await.unwrap().unwrap();
    assert_eq!(text(next.1).await, "x");
    assert_eq!(behind.relay.accepted(), 2);
    assert!(!stuck.is_finished());
    stuck.abort();
}

#[tokio::test]
async fn request_on_a_silent_connection_fails_in_time() {
    // As above, but the silence lasts. The request in progress is lost as may-have-run, long before its
    // deadline, and the silent connection is closed.
    let mut behind = behind_relay(Duration::from_millis(100)).await;
    let stuck = behind.start(1).await;
    behind.relay.forget();
    let err = stuck.await.unwrap().unwrap_err();
    assert!(matches!(err, Error::Lost(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
    behind.wait_until(|behind| behind.client.dump().is_empty()).await;
}

#[tokio::test]
async fn request_whose_head_is_stuck_was_not_run() {
    // The connection goes silent just before a request whose head is longer than the other end's window. The rest
    // of the head never leaves this host, and without it no handler is called; so the request was not run.
    let mut behind = behind_relay(Duration::from_millis(100)).await;
    behind.start(3).await.await.unwrap().unwrap();
    behind.relay.forget();
    let long = ForwardHead { key: vec![0; 256 << 10], ..head(4) };
    let replied = behind.client.forward(behind.relay.addr, long, bytes("x"), soon()).await;
    let err = replied.unwrap_err();
    assert_eq!((err.verdict(), err), (Verdict::NotRun, Error::NotSent(Reason::ConnectionLost)));
}

#[tokio::test]
async fn long_request_on_a_working_connection_is_not_given_up() {
    // A handler takes much longer than a connection may be silent, and sends nothing meanwhile. Its host answers
    // PING after PING, so that the request stays and gets its answer on the same connection.
    let mut behind = behind_relay(Duration::from_millis(80)).await;
    let long = behind.start(2).await;
    behind.wait_until(|behind| behind.pings() > 8 || long.is_finished()).await;
    behind.go_on.notify_one();
    assert_eq!(text(long.await.unwrap().unwrap().1).await, "x");
    assert_eq!(behind.relay.accepted(), 1);
}

#[tokio::test]
async fn forgotten_idle_connection_loses_no_request() {
    // Something between the hosts forgets a connection while nobody uses it. The next request is not sent into the
    // void: a PING comes first, stays unanswered, and the request goes over a new connection and runs.
    let server = serve(echo);
    let relay = Relay::to(server.local_addr()).await;
    let mut options = options();
    options.limits.silence.trust_for = Duration::ZERO;
    options.limits.silence.suspect_after = Duration::from_millis(100);
    let client = Client::open(options);
    for idle in [false, true] {
        if idle {
            relay.forget();
        }
        let replied = forward(&client, relay.addr, 1, bytes("x")).await;
        assert_eq!(text(replied.unwrap().1).await, "x");
    }
    assert_eq!(relay.accepted(), 2);
}
