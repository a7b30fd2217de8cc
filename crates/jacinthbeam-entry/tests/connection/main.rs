//! Callers' connections that stay silent, against a whole entry host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_config::settings::{Limits, Settings, TimingSettings};
use jacinthbeam_entry::{Handle, spawn};
use jacinthbeam_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Generous bound for a condition to hold.
const BOUND: Duration = Duration::from_secs(30);
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// An entry host without a platform that closes silent connections soon and has room for two.
fn host() -> Handle {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let limits = Limits {
        idle_timeout: Duration::from_millis(200),
        max_connections: 2,
        ..Default::default()
    };
    let settings = Settings {
        host: "entry-1".parse().expect("a name"),
        cell: "kamloops-a".parse().expect("a name"),
        callers: LOOPBACK,
        peers: LOOPBACK,
        operators: LOOPBACK,
        log: nobody,
        hosts: nobody,
        advertise: None,
        source: None,
        timing: TimingSettings::default(),
        limits,
        traffic_threads: 1,
    };
    spawn(&settings, Arc::new(SystemClock)).expect("free ports")
}

/// What the host sends until it closes the connection.
async fn until_closed(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = timeout(BOUND, stream.read_to_string(&mut text)).await;
    // A reset is an end as well.
    let _ = read.expect("the host closes the connection");
    text
}

/// Sends one request and keeps the connection until the host closes it.
async fn idle_caller(host: &Handle) -> String {
    let mut stream = TcpStream::connect(host.callers()).await.expect("it listens");
    // Fails if the host has closed the connection already, and so does the read.
    let _ = stream.write_all(b"GET /tilecast/1 HTTP/1.1\r\nhost: test\r\n\r\n").await;
    until_closed(&mut stream).await
}

// Somebody opens all the connections that the host has room for and sends nothing, or only the beginning of what an HTTP/2
// connection begins with. Without a bound a caller who comes then is never answered.
#[tokio::test]
async fn silent_connections_make_room_for_callers() {
    let host = host();
    let mut silent = TcpStream::connect(host.callers()).await.expect("it listens");
    let mut half = TcpStream::connect(host.callers()).await.expect("it listens");
    // Fails if the host has closed the connection already.
    let _ = half.write_all(b"PRI * HT").await;
    let mut caller = TcpStream::connect(host.callers()).await.expect("it listens");
    let req = b"GET /tilecast/1 HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    caller.write_all(req).await.expect("the backlog takes it");
    let res = until_closed(&mut caller).await;
    assert!(res.contains("not-run: this host has read no configuration yet"), "{res}");
    assert_eq!(until_closed(&mut silent).await, "");
    assert_eq!(until_closed(&mut half).await, "");
}

// A caller sends the head of a request in part, or keeps its connection without another request.
#[tokio::test]
async fn slow_heads_and_idle_connections_are_closed() {
    let host = host();
    let mut half = TcpStream::connect(host.callers()).await.expect("it listens");
    // As above.
    let _ = half.write_all(b"GET /tilecast/1 HTTP/1.1\r\nhost: ").await;
    // On a busy machine the host may find even this caller too slow; then it tries again.
    let answered = async { while !idle_caller(&host).await.starts_with("HTTP/1.1 503") {} };
    timeout(BOUND, answered).await.expect("a caller that keeps its connection is answered");
    assert_eq!(until_closed(&mut half).await, "");
}
