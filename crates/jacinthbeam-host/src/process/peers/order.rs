//! The order in which the hosts of a failure domain read the store for each other. No I/O.
//!
//! There is no election: each host derives the same order from the list of hosts. Relays come first, since a host that has just started knows
//! only them; then hosts with more processor, since a reader answers all other hosts of its domain; equal ones are ordered by name.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use jacinthbeam_types::prelude::*;

use super::HostEntry;

/// Largest number of hosts of another failure domain that are polled: the first in its order, some of which read the store.
const MAX_FAR_HOSTS: usize = 4;

/// A host and the address that answers its update requests.
pub type Neighbour = (HostId, SocketAddr);

/// The other hosts, as one host sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Hosts of its own failure domain that precede it, in order.
    pub before: Vec<Neighbour>,
    /// Hosts of its own failure domain that follow it, in order.
    pub after: Vec<Neighbour>,
    /// The first hosts of each other failure domain, in order.
    pub far: BTreeMap<FailureDomain, Vec<Neighbour>>,
}

impl Neighbours {
    /// The neighbours of the host `me` with the entry `own`.
    pub fn of<'a>(
        me: &HostId,
        own: &HostEntry,
        fleet: impl Iterator<Item = (&'a HostId, &'a HostEntry)>,
    ) -> Self {
        let mut domains: BTreeMap<&FailureDomain, Vec<(&HostId, &HostEntry)>> = BTreeMap::new();
        for (host, entry) in fleet.filter(|(host, _)| *host != me) {
            domains.entry(&entry.domain).or_default().push((host, entry));
        }
        let mut neighbours = Self::default();
        for (domain, mut hosts) in domains {
            hosts.sort_unstable_by_key(|(host, entry)| sort_key(host, entry));
            if *domain == own.domain {
                let at = hosts
                    .partition_point(|(host, entry)| sort_key(host, entry) < sort_key(me, own));
                neighbours.before = to_neighbours(&hosts[..at]);
                neighbours.after = to_neighbours(&hosts[at..]);
            } else {
                let first = to_neighbours(&hosts[..hosts.len().min(MAX_FAR_HOSTS)]);
                neighbours.far.insert(domain.clone(), first);
            }
        }
        neighbours
    }

    /// Whether a host of its own failure domain precedes it.
    pub fn is_preceded_by(&self, host: &HostId) -> bool {
        self.before.iter().any(|(before, _)| before == host)
    }

    /// Whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.before.is_empty() && self.after.is_empty() && self.far.is_empty()
    }
}

fn sort_key<'a>(
    host: &'a HostId,
    entry: &HostEntry,
) -> (Reverse<bool>, Reverse<Millicores>, &'a HostId) {
    (Reverse(entry.relay), Reverse(entry.processor), host)
}

fn to_neighbours(hosts: &[(&HostId, &HostEntry)]) -> Vec<Neighbour> {
    hosts.iter().map(|(host, entry)| ((*host).clone(), entry.addr)).collect()
}
