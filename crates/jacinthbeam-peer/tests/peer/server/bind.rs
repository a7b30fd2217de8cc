use std::time::Duration;

use jacinthbeam_peer::{
    client::{ask, connect},
    message::Answer,
    server,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{LONG, any_port, attend, client, echo, serve, serve_with};

#[tokio::test]
async fn garbage_on_the_port_harms_nobody() {
    // Something that is no entry host sends bytes that are no `h2`. Its connection is closed; the others' work.
    let server = serve(echo);
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 100]] {
        let mut tcp = TcpStream::connect(server.local_addr()).await.unwrap();
        tcp.write_all(garbage).await.unwrap();
        // An end or a reset of the connection, and no hang.
        let mut said = Vec::new();
        drop(tcp.read_to_end(&mut said).await);
    }
    let answer = client().ask(server.local_addr(), &attend(), LONG).await;
    assert_eq!(answer, Ok(Answer::Done { agreed: true }));
}

#[tokio::test]
async fn silent_connector_is_closed() {
    let options = server::Options { handshake: Duration::from_millis(20), ..Default::default() };
    let server = serve_with(options, echo);
    let mut tcp = TcpStream::connect(server.local_addr()).await.unwrap();
    let mut said = Vec::new();
    tcp.read_to_end(&mut said).await.unwrap();
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let options = server::Options { max_connections: 1, ..Default::default() };
    let server = serve_with(options, echo);
    let first = client();
    first.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    let err = client().ask(server.local_addr(), &attend(), LONG).await.unwrap_err();
    assert!(matches!(err, ask::Error::Connect(connect::Error::Handshake(_))), "{err:?}");
    first.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    assert_eq!(server.connections(), 1);
}

#[tokio::test]
async fn idle_connection_is_closed_and_replaced() {
    let mut options = server::Options::default();
    options.limits.idle = Duration::from_millis(20);
    options.limits.silence.ping_after = Duration::from_millis(10);
    let server = serve_with(options, echo);
    let client = client();
    client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
    while server.connections() > 0 || !client.dump().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    client.ask(server.local_addr(), &attend(), LONG).await.unwrap();
}

#[tokio::test]
async fn taken_port_is_named() {
    let server = serve(echo);
    let handler = server::Handler { ask: crate::support::agree, forward: echo };
    let err = server::bind(server.local_addr(), server::Options::default(), handler).unwrap_err();
    let expected = format!("can't listen for peers on {}: ", server.local_addr());
    assert!(err.to_string().starts_with(&expected), "{err}");
    assert_ne!(server.local_addr(), any_port());
}
