//! Which addresses a host listens at.

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

/// A host starts although the port that was free for it is taken.
///
/// Whoever looks for a free port, lets it go and names it to the host loses it now and then to a connection that is opened in
/// between. Bound at once, it can't be lost.
#[test]
fn a_port_that_is_left_open_is_chosen_and_bound_at_once() {
    let mut settings = settings(LOOPBACK);
    let _sockets = Sockets::bind(&mut settings).unwrap();
    let bound = [settings.callers, settings.ready, settings.peers, settings.metrics];
    for addr in bound {
        assert_ne!(addr.port(), 0);
        assert!(TcpListener::bind(addr).is_err(), "{addr} is not bound");
    }
    assert!(UdpSocket::bind(settings.peers).is_err(), "no datagrams at {}", settings.peers);
}

#[test]
fn a_port_that_is_taken_is_named() {
    let other = UdpSocket::bind(LOOPBACK).unwrap();
    let taken = other.local_addr().unwrap();
    let failed = Sockets::bind(&mut settings(taken)).unwrap_err();
    assert!(matches!(failed, Error::Bind { what: "other hosts", addr, .. } if addr == taken));
}
