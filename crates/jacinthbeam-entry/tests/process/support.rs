//! Entry hosts of one cell, in this process.

use std::net::{Ipv4Addr, SocketAddr};

use jacinthbeam_config::settings::{Limits, Settings, TimingSettings};

/// Any free port of the loopback interface.
pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A host of one cell, on free ports, with the platform at these addresses.
pub(crate) fn settings(host: &str, log: SocketAddr, hosts: SocketAddr) -> Settings {
    Settings {
        host: host.parse().unwrap(),
        cell: "kelowna".parse().unwrap(),
        callers: LOOPBACK,
        peers: LOOPBACK,
        advertise: None,
        source: None,
        operators: LOOPBACK,
        log,
        hosts,
        timing: TimingSettings::default(),
        limits: Limits::default(),
        traffic_threads: 1,
    }
}
