//! The addresses that a host listens on.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    time::Duration,
};

use jacinthbeam_dispatch::budget;
use jacinthbeam_host::{Settings, Sockets, process::Error};
use jacinthbeam_types::prelude::*;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn settings(peers: SocketAddr) -> Settings {
    Settings {
        host: "h1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        regions: Default::default(),
        processor: Millicores::CORE,
        memory: Bytes(256 << 20),
        record_bytes: Bytes(256 << 10),
        first_start: false,
        callers: LOOPBACK,
        ready: LOOPBACK,
        peers,
        seeds: Vec::new(),
        metrics: LOOPBACK,
        store: LOOPBACK,
        partitions: 1,
        repeats: budget::Options { ratio: 0.2, burst: 1.0, window: Duration::from_secs(1) },
        drain_within: Duration::from_secs(1),
        evacuate_within: Duration::from_secs(5),
        slow_start: jacinthbeam_dispatch::slow_start::Bounds::default(),
        config_within: Duration::from_secs(1),
        stop_within: Duration::from_secs(1),
    }
}

/// Guards against a host that fails to start since the port found free for it has been taken.
///
/// A free port that is looked up, released and then passed to the host is sometimes assigned to a connection in between. A port
/// that the host chooses by binding it can't be lost.
#[test]
fn port_zero_is_replaced_by_a_bound_port() {
    let mut settings = settings(LOOPBACK);
    let _sockets = Sockets::bind(&mut settings).unwrap();
    let bound = [settings.callers, settings.ready, settings.peers, settings.metrics];
    for addr in bound {
        assert_ne!(addr.port(), 0);
        assert!(TcpListener::bind(addr).is_err(), "{addr} is not bound");
    }
    assert!(UdpSocket::bind(settings.peers).is_err(), "no datagrams at {}", settings.peers);
}

/// Guards against a startup error that doesn't say which address is in use.
#[test]
fn an_address_in_use_is_named_in_the_error() {
    let other = UdpSocket::bind(LOOPBACK).unwrap();
    let taken = other.local_addr().unwrap();
    let failed = Sockets::bind(&mut settings(taken)).unwrap_err();
    assert!(matches!(failed, Error::Bind { what: "other hosts", addr, .. } if addr == taken));
}
