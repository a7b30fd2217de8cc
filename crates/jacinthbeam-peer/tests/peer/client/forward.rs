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
    Body,
    body::{CollectError, Cut},
    client::{connect, forward::Error},
    message::{ForwardHead, ForwardReply},
};
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc;

use crate::support::{
    LONG, answer, attend, bytes, client, echo, flood, forward, head,
    raw::{self, Conduct},
    serve, text,
};

#[tokio::test]
async fn request_and_answer_carry_their_bodies() {
    let server = serve(echo);
    let client = client();
    let replied = forward(&client, server.local_addr(), 1, bytes("brine"));
    let (reply, body) = replied.await.unwrap();
    assert_eq!(reply, answer(head(1).id, Some(5)));
    assert_eq!(text(body).await, "brine");
    let replied = forward(&client, server.local_addr(), 2, Body::empty());
    assert_eq!(text(replied.await.unwrap().1).await, "");
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
    let replied = forward(&client, server.local_addr(), 1, body);
    let (reply, body) = replied.await.unwrap();
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
    let replied = forward(&client(), server.local_addr(), 1, Body::empty()).await;
    match replied {
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
    let replied = forward(&client(), server.local_addr(), 1, Body::empty()).await;
    let (_, mut body) = replied.unwrap();
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
    let replied = forward(&client, server.local_addr(), 1, body);
    let break_off = async {
        while server.streams() == 0 {
            tokio::task::yield_now().await;
        }
        drop(tx);
    };
    let (forwarded, ()) = tokio::join!(replied, break_off);
    let err = forwarded.unwrap_err();
    assert_eq!((err.verdict(), err), (Verdict::MayHaveRun, Error::RequestCut(Cut::Abandoned)));
    assert_eq!(sees.recv().await, Some(Err(CollectError::Cut(Cut::Reset))));
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
        let err = forward(&client(), addr, 1, bytes("x")).await.unwrap_err();
        assert_eq!(err.verdict(), verdict, "{conduct:?}: {err}");
    }
}

#[tokio::test]
async fn goodbye_proves_not_run_only_for_streams_that_it_leaves_out() {
    // A host that stops says goodbye while a request is under way to it, and closes. Its goodbye names the last
    // stream it has looked at: a later one was not run, an earlier one may have.
    let addr = raw::peer_that_says_goodbye(0).await;
    let err = forward(&client(), addr, 1, bytes("x")).await.unwrap_err();
    assert!(matches!(err, Error::StreamRefused(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::NotRun);
    let addr = raw::peer_that_says_goodbye(1).await;
    let err = forward(&client(), addr, 1, bytes("x")).await.unwrap_err();
    assert!(matches!(err, Error::Lost(_)), "{err:?}");
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
}

#[tokio::test]
async fn deadline_bounds_the_wait_for_the_reply() {
    let server = serve(async |_, _, _| std::future::pending().await);
    let client = client();
    client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    let err = client.forward(server.local_addr(), head(1), bytes("x"), Instant::now()).await;
    assert_eq!(err.unwrap_err(), Error::NotSent(Reason::DeadlinePassed));
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
    let err = forward(&client(), addr, 1, bytes("x")).await.unwrap_err();
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
    let replied = forward(&client, server.local_addr(), 1, Body::empty()).await;
    let (_, mut body) = replied.unwrap();
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
        let replied = forward(&client, server.local_addr(), sequence, Body::empty());
        stopped.push(replied.await.unwrap());
        client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    }
    assert_eq!(server.connections(), 1);
}
