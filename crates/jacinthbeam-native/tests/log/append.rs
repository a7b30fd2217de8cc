use std::time::Duration;

use jacinthbeam_native::log::{Client, append::Error};
use jacinthbeam_types::prelude::*;

use super::client;
use crate::fake::{Fake, Refusing};

const APPENDED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"offset\":41}";

#[tokio::test]
async fn an_append_returns_its_offset_and_keeps_the_connection() {
    let fake = Fake::bind().await;
    let log = client(fake.addr());
    let (first, mut peer) = tokio::join!(log.append("control", b"a".into()), fake.serve(APPENDED));
    assert_eq!(first, Ok(Offset(41)));
    let (second, request) = tokio::join!(log.append("control", b"move".into()), async {
        let request = peer.request().await;
        peer.say(APPENDED).await;
        request
    });
    assert_eq!(second, Ok(Offset(41)));
    assert!(request.starts_with("POST /streams/control HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nmove"), "{request}");
}

// The record is written, and the answer to the append is lost. The caller must not append it again
// blindly, so the error says that it may have been written.
#[tokio::test]
async fn a_lost_answer_is_unknown() {
    let fake = Fake::bind().await;
    let log = client(fake.addr());
    for part in ["", &APPENDED[..APPENDED.len() - 1]] {
        let serve = async { drop(fake.serve(part).await) };
        let (appended, ()) = tokio::join!(log.append("control", b"move".into()), serve);
        assert!(matches!(appended, Err(Error::Unknown(_))), "{appended:?}");
    }
    let (appended, _peer) = tokio::join!(log.append("control", b"a".into()), fake.serve(APPENDED));
    assert_eq!(appended, Ok(Offset(41)), "the next append uses a new connection");
}

// The log closes the kept connection just before the next append. Written to it, the record would
// be lost and its fate unknown; it goes over a new connection.
#[tokio::test]
async fn a_kept_connection_closed_by_the_log_costs_no_append() {
    let fake = Fake::bind().await;
    let log = client(fake.addr());
    let (_, peer) = tokio::join!(log.append("control", b"a".into()), fake.serve(APPENDED));
    peer.close();
    let (appended, _peer) =
        tokio::join!(log.append("control", b"move".into()), fake.serve(APPENDED));
    assert_eq!(appended, Ok(Offset(41)));
}

// The log takes the record and goes silent. The append ends at its timeout, as unknown, and the
// next one goes over a new connection.
#[tokio::test]
async fn a_silent_log_is_unknown() {
    let fake = Fake::bind().await;
    let log = Client::open(fake.addr(), Duration::from_secs(1));
    let serve = async {
        let mut peer = fake.accept().await;
        peer.request().await;
        peer.closed().await;
    };
    let (appended, ()) = tokio::join!(log.append("control", b"move".into()), serve);
    assert!(matches!(appended, Err(Error::Unknown(_))), "{appended:?}");
    let (appended, _peer) = tokio::join!(log.append("control", b"a".into()), fake.serve(APPENDED));
    assert_eq!(appended, Ok(Offset(41)));
}

#[tokio::test]
async fn an_answer_of_something_else_is_unknown() {
    for answer in [
        "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine",
    ] {
        let fake = Fake::bind().await;
        let log = client(fake.addr());
        let (appended, _peer) =
            tokio::join!(log.append("control", b"move".into()), fake.serve(answer));
        assert!(matches!(appended, Err(Error::Unknown(_))), "{answer}: {appended:?}");
    }
}

#[tokio::test]
async fn a_refused_append_was_not_written() {
    let gone = Refusing::bind();
    let log = client(gone.addr());
    let appended = log.append("control", b"move".into()).await;
    assert!(matches!(appended, Err(Error::Refused(_))), "{appended:?}");
    let appended = log.append("control", vec![0; (1 << 20) + 1]).await;
    assert!(matches!(appended, Err(Error::Refused(_))), "{appended:?}");

    let fake = Fake::bind().await;
    let log = client(fake.addr());
    for status in ["503 Down", "413 Too Large"] {
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        let (appended, _peer) =
            tokio::join!(log.append("control", b"move".into()), fake.serve(&answer));
        assert!(matches!(appended, Err(Error::Refused(_))), "{appended:?}");
    }
}
