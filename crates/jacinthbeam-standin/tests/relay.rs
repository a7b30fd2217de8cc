//! A network that fails by source.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jacinthbeam_standin::relay::{self, Fault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const ONE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 9, 0, 1));
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 9, 0, 2));

/// A program that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

async fn connect(source: IpAddr, addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::new(source, 0)).unwrap();
    socket.connect(addr).await
}

async fn says(stream: &mut TcpStream, byte: u8) {
    stream.write_all(&[byte]).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), byte);
}

/// One host reaches the server and the other does not; neither side is told. After the fault what
/// was held back arrives, as TCP would send it again.
#[tokio::test]
async fn one_source_is_held_back_while_another_passes() {
    let relay = relay::spawn(LOOPBACK, Some(echo().await)).unwrap();
    let mut one = connect(ONE, relay.addr()).await.unwrap();
    let mut other = connect(OTHER, relay.addr()).await.unwrap();
    says(&mut one, 1).await;
    for fault in [
        Fault::BOTH,
        Fault { to_target: true, to_source: false },
        Fault { to_target: false, to_source: true },
    ] {
        relay.set_fault(ONE, fault);
        one.write_all(&[2]).await.unwrap();
        says(&mut other, 3).await;
        let mut buf = [0];
        let seen = one.try_read(&mut buf).map_err(|err| err.kind());
        assert_eq!(seen, Err(std::io::ErrorKind::WouldBlock), "{fault:?}");
        relay.set_fault(ONE, Fault::default());
        assert_eq!(one.read_u8().await.unwrap(), 2);
    }
}

#[tokio::test]
async fn refused_connections_are_taken_again_at_the_same_address() {
    let relay = relay::spawn(LOOPBACK, Some(echo().await)).unwrap();
    relay.set_refuses(true);
    while connect(ONE, relay.addr()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    relay.set_refuses(false);
    let mut stream = loop {
        match connect(ONE, relay.addr()).await {
            Ok(stream) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    says(&mut stream, 4).await;
}
