use std::time::Duration;

use bytes::Bytes;
use jacinthbeam_peer::{
    Client,
    client::{self, ask, connect},
    message::{Answer, Question, ServerLoad},
    server::{self, Handler},
};
use tokio::net::TcpListener;

use crate::support::{
    self, LONG, agree, any_port, attend, echo, options,
    raw::{self, Conduct},
    relay::Relay,
    serve,
};

fn reply(status: u16, wire: &'static str, data: Bytes) -> Conduct {
    Conduct::Reply { status, wire, data }
}

#[tokio::test]
async fn question_gets_its_answer() {
    let server = serve(echo);
    let answer = support::client().ask(server.local_addr(), &attend(), LONG).await;
    assert_eq!(answer, Ok(Answer::Done { agreed: true }));
}

/// Every host asks a few others how busy their backend servers are, and no answer arrives: the
/// client takes it for one of another kind. Nothing fails; slots just never move to servers of
/// other hosts.
#[tokio::test]
async fn answer_of_loads_fits_its_question() {
    let load = ServerLoad { server: "brine-3".parse().unwrap(), milli_busy: 700 };
    let loads = Answer::Loads(vec![load]);
    let told = loads.clone();
    let ask = move |_: Question| std::future::ready(told.clone());
    let handler = Handler { ask, forward: echo };
    let server = server::bind(any_port(), server::Options::default(), handler).unwrap();
    let answer = support::client().ask(server.local_addr(), &Question::Loads, LONG).await;
    assert_eq!(answer, Ok(loads));
}

#[tokio::test]
async fn answers_out_of_order_reach_their_questions() {
    // Sixty questions run at once on one connection, and the first asked is the last answered. Each gets the
    // answer to itself, since question and answer share a stream.
    let answer_to = async |question: Question| {
        let Question::ReadLog { from, .. } = question else { unreachable!() };
        for _ in from.0..60 {
            tokio::task::yield_now().await;
        }
        Answer::Records(jacinthbeam_peer::message::Records {
            records: Vec::new(),
            earliest: from,
            end: from,
            proof_age: Duration::ZERO,
        })
    };
    let ask = move |question| answer_to(question);
    let handler = Handler { ask, forward: echo };
    let server = server::bind(any_port(), server::Options::default(), handler).unwrap();
    let client = support::client();
    let asks = (0..60).map(|from| {
        let (client, addr) = (client.clone(), server.local_addr());
        tokio::spawn(async move {
            let from = jacinthbeam_types::id::Offset(from);
            let question = Question::ReadLog { from, max_bytes: 1, wait: Duration::ZERO };
            let answer = client.ask(addr, &question, LONG).await.unwrap();
            assert!(matches!(answer, Answer::Records(records) if records.end == from));
        })
    });
    for ask in asks.collect::<Vec<_>>() {
        ask.await.unwrap();
    }
    assert_eq!(server.connections(), 1);
}

#[tokio::test]
async fn peer_that_breaks_the_protocol_is_named() {
    let done = raw::encode(&Answer::Done { agreed: true });
    let other_kind = raw::encode(&Answer::Retired { promised: true });
    let cases = [
        (
            reply(505, "99", "I speak 99".into()),
            "rejected the question with status 505: I speak 99",
        ),
        (reply(200, "99", done), "it has wire version 99"),
        (reply(200, "2", other_kind), "it is of another kind than the question"),
        (reply(200, "2", Bytes::from_static(&[0, 0, 0, 1, 250])), "are no message of wire version"),
        (reply(200, "2", Bytes::from_static(&[0, 0, 0, 9, 1])), "ended before the end of the mess"),
        (reply(200, "2", Bytes::from_static(&[255; 4])), "at most 16777216 are allowed"),
        (Conduct::Reset(h2::Reason::CANCEL), "the connection to the peer was lost: stream error"),
    ];
    for (conduct, expected) in cases {
        let addr = raw::peer(conduct).await;
        let err = support::client().ask(addr, &attend(), LONG).await.unwrap_err();
        assert!(err.to_string().contains(expected), "{err}");
    }
}

#[tokio::test]
async fn oversized_question_is_not_sent() {
    let mut options = options();
    options.limits.max_message.0 = 8;
    let server = serve(echo);
    let client = Client::open(options);
    let err = client.ask(server.local_addr(), &attend(), LONG).await.unwrap_err();
    assert_eq!(
        err.to_string(),
        "the question was not sent: the message has 9 bytes, at most 8 are allowed"
    );
    assert_eq!(client.dump(), []);
}

#[tokio::test]
async fn frozen_peer_is_no_connection() {
    // The peer's process is paused, and its system still accepts connections. No question is sent into the
    // void: the connection counts only once the peer has answered on it.
    let frozen = TcpListener::bind(any_port()).await.unwrap();
    let connect = Duration::from_millis(30);
    let client = Client::open(client::Options { connect, ..options() });
    let err = client.ask(frozen.local_addr().unwrap(), &attend(), LONG).await.unwrap_err();
    assert_eq!(err, ask::Error::Connect(connect::Error::Timeout(connect)));
    let closed = frozen.local_addr().unwrap();
    drop(frozen);
    // Another client: the first one knows for a moment that the peer is silent.
    let client = Client::open(options());
    let err = client.ask(closed, &attend(), LONG).await.unwrap_err();
    let refused = connect::Error::Refused(std::io::ErrorKind::ConnectionRefused);
    assert_eq!(err, ask::Error::Connect(refused));
    assert_eq!(client.dump(), []);
}

#[tokio::test]
async fn unanswered_question_moves_to_a_new_connection() {
    // A connection goes silent. The heartbeat on it runs out of time; as nothing was heard meanwhile, the
    // next one uses a new connection and is answered, and the old one is closed.
    let server = serve(echo);
    let relay = Relay::to(server.local_addr()).await;
    let client = support::client();
    client.ask(relay.addr, &attend(), LONG).await.unwrap();
    relay.forget();
    let short = Duration::from_millis(50);
    let err = client.ask(relay.addr, &attend(), short).await.unwrap_err();
    assert_eq!(err, ask::Error::Timeout(short));
    client.ask(relay.addr, &attend(), LONG).await.unwrap();
    assert_eq!(relay.accepted(), 2);
}

#[tokio::test]
async fn slow_answer_does_not_condemn_the_connection() {
    // One handler is slow, while the connection works: other questions are answered on it. The question that
    // runs out of time leaves the connection in use.
    let ask = async |question: Question| match question {
        Question::FetchState => std::future::pending().await,
        question => agree(question).await,
    };
    let handler = Handler { ask: move |question| ask(question), forward: echo };
    let server = server::bind(any_port(), server::Options::default(), handler).unwrap();
    let client = support::client();
    let addr = server.local_addr();
    let slow = client.ask(addr, &Question::FetchState, Duration::from_millis(700));
    let (slow, quick) = tokio::join!(slow, async {
        tokio::task::yield_now().await;
        client.ask(addr, &attend(), LONG).await
    });
    assert!(slow.is_err());
    quick.unwrap();
    client.ask(addr, &attend(), LONG).await.unwrap();
    assert_eq!(server.connections(), 1);
}

#[tokio::test]
async fn dropped_client_closes_its_connections() {
    let server = serve(echo);
    let client = support::client();
    client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    drop(client);
    while server.connections() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
