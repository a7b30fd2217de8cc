//! Servers, messages and a relay for the tests.

pub(crate) mod frames;
pub(crate) mod raw;
pub(crate) mod relay;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam_peer::{
    Body, Client,
    body::{Cut, Sender},
    client,
    message::{Answer, ForwardHead, ForwardReply, Question},
    server::{self, Cancelled, Handle, Handler},
};
use jacinthbeam_types::prelude::{Incarnation, RequestId};
use tokio::{sync::mpsc, task::JoinHandle};

/// Far longer than any test needs; only a failing test waits for it.
pub(crate) const LONG: Duration = Duration::from_secs(20);

pub(crate) fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub(crate) fn soon() -> Instant {
    Instant::now() + LONG
}

/// Default options, but a busy machine may take its time to connect.
pub(crate) fn options() -> client::Options {
    client::Options { connect: LONG, ..client::Options::default() }
}

pub(crate) fn client() -> Client {
    Client::open(options())
}

pub(crate) fn head(sequence: u64) -> ForwardHead {
    ForwardHead {
        id: RequestId { incarnation: Incarnation(7), sequence },
        service: "brinedesk".parse().unwrap(),
        key: b"pass-5".to_vec(),
        server: "brine-3".parse().unwrap(),
        deadline: Duration::ZERO,
        idempotent: false,
        idempotency_key: Some("order-17".parse().unwrap()),
        method: "POST".into(),
        path: "/orders".into(),
        headers: vec![("content-type".into(), b"text/plain".to_vec())],
        body_length: None,
    }
}

pub(crate) fn answer(id: RequestId, body_length: Option<u64>) -> ForwardReply {
    ForwardReply::Answer { id, status: 200, headers: Vec::new(), body_length }
}

pub(crate) async fn agree(_: Question) -> Answer {
    Answer::Done { agreed: true }
}

pub(crate) fn attend() -> Question {
    Question::Attend { server: "brine-3".parse().unwrap() }
}

/// Answers with the request's own body, chunk by chunk.
pub(crate) async fn echo(head: ForwardHead, body: Body, _: Cancelled) -> (ForwardReply, Body) {
    (answer(head.id, body.length()), body)
}

/// A server with default options and this handler of forwarded requests.
pub(crate) fn serve<F, FF>(forward: F) -> Handle
where
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    serve_with(server::Options::default(), forward)
}

pub(crate) fn serve_with<F, FF>(options: server::Options, forward: F) -> Handle
where
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    server::bind(any_port(), options, Handler { ask: agree, forward }).unwrap()
}

/// What the handler of [`stuck`] tells, each time with what it read of the request's body.
#[derive(Debug, PartialEq)]
pub(crate) enum Event {
    Started(Option<Result<Bytes, Cut>>),
    Cancelled(Option<Result<Bytes, Cut>>),
}

/// A server whose handler answers only when it is cancelled.
pub(crate) fn stuck(options: server::Options) -> (Handle, mpsc::Receiver<Event>) {
    let (tx, rx) = mpsc::channel(1);
    let server = serve_with(options, move |head, mut body: Body, mut cancelled| {
        let tx = tx.clone();
        async move {
            tx.send(Event::Started(body.next().await)).await.unwrap();
            cancelled.cancelled().await;
            assert!(cancelled.is_cancelled());
            tx.send(Event::Cancelled(body.next().await)).await.unwrap();
            (answer(head.id, None), Body::empty())
        }
    });
    (server, rx)
}

pub(crate) type Forwarded = Result<(ForwardReply, Body), client::forward::Error>;

/// Forwards a request without a deadline that matters.
pub(crate) async fn forward(
    client: &Client,
    addr: SocketAddr,
    sequence: u64,
    body: Body,
) -> Forwarded {
    client.forward(addr, head(sequence), body, soon()).await
}

/// The same in a task of its own.
pub(crate) fn spawn_forward(
    client: &Client,
    addr: SocketAddr,
    sequence: u64,
    body: Body,
) -> JoinHandle<Forwarded> {
    let client = client.clone();
    tokio::spawn(async move { forward(&client, addr, sequence, body).await })
}

/// Sends far more than any window, and no end, until the reader is gone.
///
/// Bounded all the same, so that a lost safeguard fails a test and not the machine.
pub(crate) async fn flood(mut tx: Sender) {
    for _ in 0..512 {
        if tx.send(vec![0; 16 << 10].into()).await.is_err() {
            return;
        }
    }
    tx.closed().await;
}

pub(crate) async fn text(body: Body) -> String {
    String::from_utf8(body.collect(1 << 20).await.unwrap().to_vec()).unwrap()
}

pub(crate) fn bytes(text: &'static str) -> Body {
    Body::from(Bytes::from_static(text.as_bytes()))
}
