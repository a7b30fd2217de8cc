use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::stream;
use jacinthbeam_peer::{
    Body, Client,
    body::{CollectError, Cut},
    client::{connect, forward::Error},
    message::{ForwardHead, ForwardReply},
    server::Handle,
};
use jacinthbeam_types::prelude::*;
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};

use crate::support::{
    LONG, answer, attend, bytes, client, echo, flood,
    frames::{self, Frame},
    head, options,
    raw::{self, Conduct},
    relay::Relay,
    serve, soon, text,
};

#[tokio::test]
async fn request_and_answer_carry_their_bodies() {
    let server = serve(echo);
    let client = client();
    let forward = client.forward(server.local_addr(), head(1), bytes("brine"), soon());
    let (reply, body) = forward.await.unwrap();
    assert_eq!(reply, answer(head(1).id, Some(5)));
    assert_eq!(text(body).await, "brine");
    let forward = client.forward(server.local_addr(), head(2), Body::empty(), soon());
    assert_eq!(text(forward.await.unwrap().1).await, "");
}

#[tokio::test]
async fn refusal_is_read_while_the_request_is_still_being_sent() {
    // A host refuses a long upload without reading it. The forwarding host gets the refusal, stops sending, and the
    // connection takes the next request.
    let refused = ForwardReply::Refused {
        id: head(1).id,
        refusal: Refusal::not_run(Reason::NotAttendant),
        attendant: None,
    };
    let reply = refused.clone();
    let server = serve(move |_, _, _| std::future::ready((reply.clone(), Body::empty())));
    let client = client();
    let (mut tx, body) = Body::channel(None);
    let upload =
        tokio::spawn(async move { while tx.send(vec![0; 16 << 10].into()).await.is_ok() {} });
    let forward = client.forward(server.local_addr(), head(1), body, soon());
    let (reply, body) = forward.await.unwrap();
    assert_eq!(reply, refused);
    assert_eq!(text(body).await, "");
    upload.await.unwrap();
    client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    assert_eq!(server.connections(), 1);
}

#[tokio::test]
async fn cut_answer_never_looks_whole() {
    // The backend server's answer breaks off in the middle. The attendant resets the stream in place of ending it,
    // and the forwarding host sees a cut after the bytes that came.
    let server = serve(async |head: ForwardHead, _, _| {
        let chunks = [Ok(Bytes::from_static(b"half")), Err(Cut::ConnectionLost)];
        (answer(head.id, None), Body::from_stream(stream::iter(chunks), None))
    });
    let forward = client().forward(server.local_addr(), head(1), Body::empty(), soon()).await;
    match forward {
        Ok((_, body)) => {
            assert_eq!(body.collect(9).await, Err(CollectError::Cut(Cut::Reset)));
        }
        // The reset may overtake the head, which then is of no use either.
        Err(err) => assert_eq!(err.verdict(), Verdict::MayHaveRun),
    }
}

#[tokio::test]
async fn lost_connection_cuts_the_answer() {
    // The attendant is lost in the middle of an answer. The reader gets what came and then a cut.
    let server = serve(async |head: ForwardHead, _, _| {
        let chunks = stream::iter([Ok(Bytes::from_static(b"half"))]);
        let endless = futures_util::StreamExt::chain(chunks, stream::pending());
        (answer(head.id, None), Body::from_stream(endless, None))
    });
    let forward = client().forward(server.local_addr(), head(1), Body::empty(), soon()).await;
    let (_, mut body) = forward.unwrap();
    assert_eq!(body.next().await, Some(Ok("half".into())));
    drop(server);
    assert_eq!(body.next().await, Some(Err(Cut::ConnectionLost)));
    assert_eq!(body.next().await, None);
}

#[tokio::test]
async fn cut_request_never_looks_whole() {
    // The caller's own connection breaks in the middle of its request. The handler gets a cut body; the
    // forwarding host says that the request may have run, since its head had been sent.
    let (seen, mut sees) = mpsc::channel(1);
    let server = serve(move |head, body: Body, _| {
        let seen = seen.clone();
        async move {
            seen.send(body.collect(9).await).await.unwrap();
            (answer(head.id, None), Body::empty())
        }
    });
    let (mut tx, body) = Body::channel(None);
    tx.send("half".into()).await.unwrap();
    let client = client();
    let forward = client.forward(server.local_addr(), head(1), body, soon());
    let break_off = async {
        while server.streams() == 0 {
            tokio::task::yield_now().await;
        }
        drop(tx);
    };
    let (forwarded, ()) = tokio::join!(forward, break_off);
    let err = forwarded.unwrap_err();
    assert_eq!((err.verdict(), err), (Verdict::MayHaveRun, Error::RequestCut(Cut::Abandoned)));
    assert_eq!(sees.recv().await, Some(Err(CollectError::Cut(Cut::Reset))));
}

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
    options.limits.silence.ping_after = Duration::from_millis(20);
    options.limits.silence.suspect_after = Duration::from_millis(40);
    options.limits.silence.give_up_after = give_up_after;
    let client = Client::open(options);
    Behind { relay, client, starts, go_on, _server: server }
}

type Forwarded = JoinHandle<Result<(ForwardReply, Body), Error>>;

impl Behind {
    /// Forwards a request; returns when its handler runs.
    async fn start(&mut self, sequence: u64) -> Forwarded {
        let (client, addr) = (self.client.clone(), self.relay.addr);
        let forward = async move { client.forward(addr, head(sequence), bytes("x"), soon()).await };
        let task = tokio::spawn(forward);
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
        let forward = client.forward(relay.addr, head(1), bytes("x"), soon());
        assert_eq!(text(forward.await.unwrap().1).await, "x");
    }
    assert_eq!(relay.accepted(), 2);
}

#[tokio::test]
async fn not_run_is_said_only_with_proof() {
    let wrong = raw::encode(&answer(head(2).id, None));
    let reply = |status, wire, data| Conduct::Reply { status, wire, data };
    let cases = [
        (Conduct::Reset(h2::Reason::REFUSED_STREAM), Verdict::NotRun),
        (reply(505, "2", Bytes::from_static(b"I speak 2")), Verdict::NotRun),
        (reply(400, "1", Bytes::from_static(b"garbage")), Verdict::NotRun),
        (Conduct::Reset(h2::Reason::CANCEL), Verdict::MayHaveRun),
        (Conduct::Reset(h2::Reason::NO_ERROR), Verdict::MayHaveRun),
        (reply(500, "1", Bytes::from_static(b"sorry")), Verdict::MayHaveRun),
        (reply(200, "2", Bytes::new()), Verdict::MayHaveRun),
        (reply(200, "1", Bytes::from_static(&[0, 0, 0, 1, 250])), Verdict::MayHaveRun),
        // The answer to another request.
        (reply(200, "1", wrong), Verdict::MayHaveRun),
    ];
    for (conduct, verdict) in cases {
        let addr = raw::peer(conduct.clone()).await;
        let err = client().forward(addr, head(1), bytes("x"), soon()).await.unwrap_err();
        assert_eq!(err.verdict(), verdict, "{conduct:?}: {err}");
    }
}

#[tokio::test]
async fn goodbye_proves_not_run_only_for_streams_that_it_leaves_out() {
    // A host that stops says goodbye while a request is under way to it, and closes. Its goodbye names the last
    // stream it has looked at: a later one was not run, an earlier one may have.
    let addr = raw::peer_that_says_goodbye(0).await;
    let err = client().forward(addr, head(1), bytes("x"), soon()).await.unwrap_err();
    assert!(matches!(err, Error::StreamRefused(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::NotRun);
    let addr = raw::peer_that_says_goodbye(1).await;
    let err = client().forward(addr, head(1), bytes("x"), soon()).await.unwrap_err();
    assert!(matches!(err, Error::Lost(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
}

#[tokio::test]
async fn deadline_bounds_the_wait_for_the_reply() {
    let server = serve(async |_, _, _| std::future::pending().await);
    let client = client();
    let err = client.forward(server.local_addr(), head(1), bytes("x"), Instant::now()).await;
    assert_eq!(err.unwrap_err(), Error::NotSent(Reason::DeadlinePassed));
    client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    let deadline = Instant::now() + Duration::from_millis(500);
    let err = client.forward(server.local_addr(), head(1), bytes("x"), deadline).await.unwrap_err();
    assert_eq!((err.verdict(), err), (Verdict::MayHaveRun, Error::DeadlinePassed));
    drop(server);
}

#[tokio::test]
async fn unreachable_peer_is_not_run() {
    let server = serve(echo);
    let addr = server.local_addr();
    server.shutdown(LONG).await;
    let err = client().forward(addr, head(1), bytes("x"), soon()).await.unwrap_err();
    assert!(matches!(err, Error::Connect(connect::Error::Refused(_))), "{err:?}");
    assert_eq!(err.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn slow_reader_holds_bounded_memory() {
    // A caller reads a long answer slowly, and the host behind it is fast. The producer is held back by flow
    // control; what has been produced but not read never exceeds window, send buffer and a few chunks.
    const CHUNK: usize = 16 << 10;
    const CHUNKS: usize = 256;
    const BOUND: usize = (64 << 10) * 2 + 4 * CHUNK;
    let produced = Arc::new(AtomicUsize::new(0));
    let counted = produced.clone();
    let server = serve(move |head, _, _| {
        let counted = counted.clone();
        let chunks = stream::iter((0..CHUNKS).map(move |_| {
            counted.fetch_add(CHUNK, Ordering::Relaxed);
            Ok(Bytes::from(vec![0; CHUNK]))
        }));
        let length = Some((CHUNK * CHUNKS) as u64);
        std::future::ready((answer(head.id, None), Body::from_stream(chunks, length)))
    });
    let client = client();
    let forward = client.forward(server.local_addr(), head(1), Body::empty(), soon()).await;
    let (_, mut body) = forward.unwrap();
    let mut read = 0;
    while let Some(chunk) = body.next().await {
        read += chunk.unwrap().len();
        // Gives the producer time to run ahead; other requests pass the slow reader.
        client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
        let waiting = produced.load(Ordering::Relaxed) - read;
        assert!(waiting <= BOUND, "{waiting} bytes wait for the reader");
    }
    assert_eq!(read, CHUNK * CHUNKS);
}

#[tokio::test]
async fn stopped_readers_do_not_hold_up_questions() {
    // Many callers stop reading their long answers. Each stream's window fills up; heartbeats on the same
    // connection are still answered, since the connection's window has room for all streams' windows.
    let server = serve(async |head: ForwardHead, _, _| {
        let (tx, body) = Body::channel(None);
        tokio::spawn(flood(tx));
        (answer(head.id, None), body)
    });
    let client = client();
    let mut stopped = Vec::new();
    for sequence in 0..100 {
        let forward = client.forward(server.local_addr(), head(sequence), Body::empty(), soon());
        stopped.push(forward.await.unwrap());
        client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    }
    assert_eq!(server.connections(), 1);
}
