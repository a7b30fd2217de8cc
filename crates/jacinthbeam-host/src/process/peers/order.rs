//! The order in which the hosts of a failure domain read the store for each other. No I/O.
//!
//! There is no election: each host derives the same order from the list of hosts. Hosts with more processor come first, since a reader answers
//! all other hosts of its domain; equal ones are ordered by name.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use jacinthbeam_store::keyed::Changes;
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

    /// Whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.before.is_empty() && self.after.is_empty() && self.far.is_empty()
    }
}

fn sort_key<'a>(host: &'a HostId, entry: &HostEntry) -> (Reverse<Millicores>, &'a HostId) {
    (Reverse(entry.processor), host)
}

fn to_neighbours(hosts: &[(&HostId, &HostEntry)]) -> Vec<Neighbour> {
    hosts.iter().map(|(host, entry)| ((*host).clone(), entry.addr)).collect()
}

/// Whether the list contains exactly this entry of a host.
pub fn is_listed(me: &HostId, own: &HostEntry, listed: &Changes) -> bool {
    let own = own.to_bytes();
    listed.items.iter().any(|item| item.key == me.as_str() && item.value == own)
}

/// Whether no listed host precedes this one.
pub fn is_first(me: &HostId, own: &HostEntry, listed: &Changes) -> bool {
    let fleet: Vec<_> = listed
        .items
        .iter()
        .filter_map(|item| Some((item.key.parse().ok()?, HostEntry::from_bytes(&item.value).ok()?)))
        .collect();
    let fleet = fleet.iter().map(|(host, entry): &(HostId, HostEntry)| (host, entry));
    Neighbours::of(me, own, fleet).before.is_empty()
}
