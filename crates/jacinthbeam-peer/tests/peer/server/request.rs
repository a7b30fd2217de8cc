use std::time::Duration;

use jacinthbeam_peer::{Body, body::Cut, message::VERSION, server};
use jacinthbeam_types::prelude::Bytes;
use tokio::sync::mpsc;

use crate::support::{
    Event, answer, attend, bytes, client, echo, flood, forward, raw, relay::Relay, serve,
    serve_with, spawn_forward, stuck,
};

fn version() -> String {
    VERSION.to_string()
}

#[tokio::test]
async fn other_wire_version_is_told_ours() {
    // A host of a newer release asks and reads status 505 with the version spoken here. The handler sees
    // nothing, and the connection still takes requests of our version.
    let server = serve(echo);
    let sender = raw::Sender::connect(server.local_addr()).await;
    let said = sender.post("/ask", "99", b"whatever", true).await;
    assert_eq!(said.status, 505);
    assert_eq!(said.text, format!("this host speaks wire version {VERSION}, not 99"));
    let said = sender.post("/ask", &version(), &raw::encode(&attend()), true).await;
    assert_eq!(said.status, 200);
}

#[tokio::test]
async fn broken_messages_are_rejected_and_the_connection_goes_on() {
    let server = serve(echo);
    let sender = raw::Sender::connect(server.local_addr()).await;
    let too_large = (17_u32 << 20).to_be_bytes();
    let left_over = [&[0, 0, 0, 2, 5, 0][..], b"body"].concat();
    for (path, data, status) in [
        ("/elsewhere", &b""[..], 404),
        ("/ask", b"", 400),
        ("/ask", &[0, 0, 0, 9, 1], 400),
        ("/ask", &[0, 0, 0, 1, 250], 400),
        ("/ask", &left_over, 400),
        ("/ask", &too_large, 413),
        ("/forward", &too_large, 413),
    ] {
        let said = sender.post(path, &version(), data, true).await;
        assert_eq!(said.status, status, "{path} {data:?}: {}", said.text);
        assert!(!said.text.is_empty());
    }
    let said = sender.post("/ask", &version(), &raw::encode(&attend()), true).await;
    assert_eq!(said.status, 200);
}

#[test]
fn random_messages_never_break_the_server() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (server, sender) = runtime.block_on(async {
        let server = serve(echo);
        let sender = raw::Sender::connect(server.local_addr()).await;
        (server, sender)
    });
    arbtest::arbtest(|u| {
        let garbage: Vec<u8> = u.arbitrary()?;
        let path = *u.choose(&["/ask", "/forward"])?;
        let data = [&(garbage.len() as u32).to_be_bytes()[..], &garbage].concat();
        let said = runtime.block_on(sender.post(path, &version(), &data, true));
        assert!([200, 400].contains(&said.status), "{said:?}");
        Ok(())
    })
    .budget(Duration::from_millis(300));
    drop(server);
}

#[tokio::test]
async fn slow_message_is_given_up() {
    // A peer opens a stream and stops in the middle of its message. It reads status 408 once the bound for
    // messages has passed, so that it can't hold the stream for ever.
    let options = server::Options { message: Duration::from_millis(20), ..Default::default() };
    let server = serve_with(options, echo);
    let sender = raw::Sender::connect(server.local_addr()).await;
    let said = sender.post("/ask", &version(), &[0, 0, 0, 9, 1], false).await;
    assert_eq!(said.status, 408);
}

#[tokio::test]
async fn headers_beyond_the_limit_are_rejected() {
    let mut options = server::Options::default();
    options.limits.max_header = Bytes(512);
    let server = serve_with(options, echo);
    let sender = raw::Sender::connect(server.local_addr()).await;
    let said = sender.post("/ask", &"9".repeat(1000), b"", true).await;
    assert_eq!(said.status, 431);
    let said = sender.post("/ask", &version(), &raw::encode(&attend()), true).await;
    assert_eq!(said.status, 200);
}

#[tokio::test]
async fn dropped_request_reaches_its_handler() {
    // The caller goes away while the handler works. The forwarding host drops the request, which resets the
    // stream; the handler is told, and goes on to settle what it started.
    let (server, mut events) = stuck(server::Options::default());
    let forward = spawn_forward(&client(), server.local_addr(), 1, Body::empty());
    assert_eq!(events.recv().await, Some(Event::Started(None)));
    forward.abort();
    assert_eq!(events.recv().await, Some(Event::Cancelled(None)));
}

#[tokio::test]
async fn dropped_answer_reaches_its_handler() {
    // The caller goes away in the middle of a long answer, while its request is not yet sent to the end either.
    // Dropping the answer ends both and resets the stream; the handler's own body is dropped, and its flag is set.
    let (closed, mut closes) = mpsc::channel(1);
    let server = serve(move |head, _, mut cancelled| {
        let closed = closed.clone();
        async move {
            let (mut tx, body) = Body::channel(None);
            tokio::spawn(async move {
                tx.send("a".into()).await.unwrap();
                tx.closed().await;
                cancelled.cancelled().await;
                closed.send(()).await.unwrap();
            });
            (answer(head.id, None), body)
        }
    });
    let (unfinished, request) = Body::channel(None);
    let client = client();
    let replied = forward(&client, server.local_addr(), 1, request).await;
    let (_, mut body) = replied.unwrap();
    assert_eq!(body.next().await, Some(Ok("a".into())));
    drop(body);
    assert_eq!(closes.recv().await, Some(()));
    drop(unfinished);
}

#[tokio::test]
async fn handler_is_told_when_the_connection_goes_silent() {
    // The forwarding host is cut off while the handler works. No reset arrives; the server's own PINGs stay
    // unanswered, so it gives the connection up and cancels what was asked on it.
    let mut options = server::Options::default();
    options.limits.silence.ping_after = Duration::from_millis(20);
    options.limits.silence.give_up_after = Duration::from_millis(60);
    let (server, mut events) = stuck(options);
    let relay = Relay::to(server.local_addr()).await;
    let (mut tx, body) = Body::channel(None);
    tx.send("half".into()).await.unwrap();
    let forward = spawn_forward(&client(), relay.addr, 1, body);
    assert_eq!(events.recv().await, Some(Event::Started(Some(Ok("half".into())))));
    relay.forget();
    let lost = Some(Err(Cut::ConnectionLost));
    assert_eq!(events.recv().await, Some(Event::Cancelled(lost)));
    forward.abort();
}

#[tokio::test]
async fn stalled_reader_is_cut() {
    // The reader of a long answer stops reading for good but keeps its connection. The server waits for the
    // bound, then drops the answer, which frees the backend server behind it.
    let (closed, mut closes) = mpsc::channel(1);
    let mut options = server::Options::default();
    options.limits.stall = Duration::from_millis(30);
    let server = serve_with(options, move |head, _, mut cancelled| {
        let closed = closed.clone();
        async move {
            let (tx, body) = Body::channel(None);
            tokio::spawn(async move {
                flood(tx).await;
                cancelled.cancelled().await;
                closed.send(()).await.unwrap();
            });
            (answer(head.id, None), body)
        }
    });
    let replied = forward(&client(), server.local_addr(), 1, bytes("x")).await;
    let (_, body) = replied.unwrap();
    assert_eq!(closes.recv().await, Some(()));
    drop(body);
}
