//! The hosts of the fleet, and the position of one among them.

use std::net::SocketAddr;

use jacinthbeam_crash::probe::Rank;
use jacinthbeam_dispatch::{rate_limit::issuer, slow_start, subset::Position};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use super::StoreReplica;
use crate::process::peers::HostEntry;

impl StoreReplica {
    /// The hosts and their entries.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostId, &HostEntry)> {
        self.hosts.iter().map(|(host, (_, entry))| (host, entry))
    }

    /// The entry of a host.
    pub fn host(&self, host: &HostId) -> Option<&HostEntry> {
        self.hosts.get(host).map(|(_, entry)| entry)
    }

    /// Whether the list contains exactly this entry of a host, from a record of the store in its present era.
    pub fn lists_host(&self, host: &HostId, entry: &HostEntry) -> bool {
        let known = self.hosts.get(host);
        let is_recorded = |offset: &Option<Offset>| {
            offset.is_some_and(|offset| offset.era() >= self.hosts_end.era())
        };
        known.is_some_and(|(offset, known)| is_recorded(offset) && known == entry)
    }

    /// Adds a relay, unless the host is known. Returns whether it was added. The host's own entry in the list of hosts replaces it.
    pub fn apply_relay(&mut self, host: HostId, entry: HostEntry) -> bool {
        let is_new = !self.hosts.contains_key(&host);
        if is_new {
            self.hosts.insert(host, (None, entry));
        }
        is_new
    }

    /// Whether a host is a relay.
    pub fn is_relay(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|(_, entry)| entry.relay)
    }

    /// The rank of a host in the list of all hosts.
    pub fn rank(&self, host: &HostId) -> Rank {
        match self.hosts.contains_key(host) {
            true => Rank {
                index: self.hosts.range(..host).count() as u32,
                hosts: self.hosts.len() as u32,
            },
            false => Rank::default(),
        }
    }

    /// The position of a host among those of its failure domain.
    pub fn position(&self, host: &HostId) -> Position {
        let Some((_, own)) = self.hosts.get(host) else { return Position::default() };
        let near = self.hosts.iter().filter(|(_, (_, entry))| entry.domain == own.domain);
        let among = near.clone().count() as u32;
        Position { index: near.take_while(|(other, _)| *other < host).count() as u32, hosts: among }
    }

    /// Applies the record of a host. Returns whether it is newer than the known one.
    pub fn apply_host(&mut self, host: HostId, offset: Offset, entry: HostEntry) -> bool {
        let newer = self.hosts.get(&host).is_none_or(|(known, _)| *known < Some(offset));
        if newer {
            self.hosts.insert(host, (Some(offset), entry));
        }
        newer
    }

    /// Notes that all records of hosts before `end` have been applied.
    pub fn mark_hosts_current(&mut self, end: Offset) {
        self.hosts_end = self.hosts_end.max(end);
    }

    /// The hosts of a failure domain, or all hosts if it has none.
    fn hosts_near(&self, domain: &FailureDomain) -> impl Iterator<Item = &HostId> {
        let is_near = |entry: &HostEntry| entry.domain == *domain;
        let any_near = self.hosts().any(|(_, entry)| is_near(entry));
        self.hosts().filter(move |(_, entry)| !any_near || is_near(entry)).map(|(host, _)| host)
    }

    /// Whether a host is one of the `senders` that are selected for a cold server, out of the hosts of the server's failure domain, or out of
    /// all hosts if that domain has none.
    pub fn is_sender(&self, host: &HostId, server: &Server, senders: usize) -> bool {
        slow_start::is_sender(&server.id, host, self.hosts_near(&server.domain), senders)
    }

    /// The hosts that issue permits for a server in a failure domain, selected out of the same hosts, with their addresses.
    pub fn permit_issuers(
        &self,
        server: &ServerId,
        domain: &FailureDomain,
    ) -> Vec<(HostId, SocketAddr)> {
        let selected = issuer::select(server, self.hosts_near(domain));
        let addr = |host: &HostId| self.hosts.get(host).map(|(_, entry)| entry.addr);
        selected.into_iter().filter_map(|host| addr(&host).map(|addr| (host, addr))).collect()
    }
}
