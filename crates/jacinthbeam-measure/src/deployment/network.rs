//! The network between the parts of a deployment, which can fail.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use jacinthbeam::types::prelude::*;
use jacinthbeam_standin::{
    Listener, hosts, log,
    relay::{self, Fault},
};

use super::LOOPBACK;

/// Addresses of the platform for one failure domain.
#[derive(Debug)]
pub struct Platform {
    /// The log.
    pub log: Listener,
    /// The list of hosts.
    pub hosts: Listener,
}

/// An entry host in the network.
#[derive(Debug)]
struct Host {
    domain: FailureDomain,
    source: IpAddr,
    relay: relay::Handle,
}

/// Relays and addresses by which parts of the deployment can be cut off from others.
///
/// Every entry host connects from an IP number of its own. Other entry hosts reach it through a relay, as its attendant
/// reaches a backend server; a failure domain has its own addresses of the platform.
#[derive(Debug, Default)]
pub struct Network {
    platform: BTreeMap<FailureDomain, Platform>,
    hosts: BTreeMap<HostId, Host>,
    servers: BTreeMap<ServerId, relay::Handle>,
}

impl Network {
    /// Opens addresses of the platform for each failure domain.
    pub fn open<'a>(
        domains: impl Iterator<Item = &'a FailureDomain>,
        log: &log::Handle,
        hosts: &hosts::Handle,
    ) -> io::Result<Self> {
        let mut network = Self::default();
        for domain in domains {
            let platform = Platform { log: log.listen(LOOPBACK)?, hosts: hosts.listen(LOOPBACK)? };
            network.platform.insert(domain.clone(), platform);
        }
        Ok(network)
    }

    /// The platform's addresses for a failure domain.
    pub fn platform(&self, domain: &FailureDomain) -> &Platform {
        &self.platform[domain]
    }

    /// Where a backend server is reached that listens on `target`.
    pub fn add_server(&mut self, server: &ServerId, target: SocketAddr) -> io::Result<SocketAddr> {
        let relay = relay::spawn(LOOPBACK, Some(target))?;
        let addr = relay.addr();
        self.servers.insert(server.clone(), relay);
        Ok(addr)
    }

    /// Where a backend server is reached.
    pub fn server(&self, server: &ServerId) -> Option<SocketAddr> {
        self.servers.get(server).map(relay::Handle::addr)
    }

    /// The IP number that an entry host connects from, and where others reach it; the same for each of its lives.
    pub fn add_host(
        &mut self,
        host: &HostId,
        domain: &FailureDomain,
    ) -> io::Result<(IpAddr, SocketAddr)> {
        if !self.hosts.contains_key(host) {
            let number = self.hosts.len() as u16 + 1;
            let [high, low] = number.to_be_bytes();
            let source = IpAddr::V4(Ipv4Addr::new(127, 1, high, low));
            let relay = relay::spawn(LOOPBACK, None)?;
            let added = Host { domain: domain.clone(), source, relay };
            self.hosts.insert(host.clone(), added);
        }
        let known = &self.hosts[host];
        Ok((known.source, known.relay.addr()))
    }

    /// The entry host listens here in its present life; refuses connections for `None`.
    pub fn set_host(&self, host: &HostId, target: Option<SocketAddr>) {
        let Some(known) = self.hosts.get(host) else { return };
        known.relay.set_refuses(target.is_none());
        if let Some(target) = target {
            known.relay.set_target(target);
        }
    }

    /// Whether connections to a backend server are refused, as by a host without the server.
    pub fn set_server_refuses(&self, server: &ServerId, refuses: bool) {
        if let Some(relay) = self.servers.get(server) {
            relay.set_refuses(refuses);
        }
    }

    /// What happens to what passes between one entry host and a backend server.
    pub fn set_server_fault(&self, host: &HostId, server: &ServerId, fault: Fault) {
        if let (Some(host), Some(relay)) = (self.hosts.get(host), self.servers.get(server)) {
            relay.set_fault(host.source, fault);
        }
    }

    /// Cuts a failure domain off from the log and the list of hosts: nothing passes any more.
    pub fn cut_platform(&self, domain: &FailureDomain) {
        self.platform[domain].log.drop_packets();
        self.platform[domain].hosts.drop_packets();
    }

    /// Ends [`Network::cut_platform`].
    pub fn heal_platform(&self, domain: &FailureDomain) -> io::Result<()> {
        self.platform[domain].log.heal()?;
        self.platform[domain].hosts.heal()
    }

    /// What happens to what passes between a failure domain's entry hosts and all others: `out` from the domain to the others,
    /// `into` from the others to the domain.
    pub fn cut_domain(&self, domain: &FailureDomain, out: bool, into: bool) {
        let is_inside = |host: &&Host| host.domain == *domain;
        let inside: Vec<&Host> = self.hosts.values().filter(is_inside).collect();
        let outside: Vec<&Host> = self.hosts.values().filter(|host| !is_inside(host)).collect();
        for here in &inside {
            for there in &outside {
                there.relay.set_fault(here.source, Fault { to_target: out, to_source: into });
                here.relay.set_fault(there.source, Fault { to_target: into, to_source: out });
            }
        }
    }
}
