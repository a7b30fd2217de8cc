//! The order in which the hosts of a failure domain read the store for each other. No I/O.
//!
//! Nobody is elected: each host works out the same order from the list of hosts. Those with most processor come first, since a reader
//! answers every other host of its domain; equal ones in the order of their names.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use jacinthbeam_store::keyed::Changes;
use jacinthbeam_types::prelude::*;

use super::HostEntry;

/// Hosts of another failure domain that are asked for news, at the most: its first ones, some of which read the store.
const ASKED_FAR: usize = 4;

/// A host and where it takes questions.
pub type Neighbour = (HostId, SocketAddr);

/// The other hosts, as one host sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Those of its own failure domain that come before it, in order.
    pub before: Vec<Neighbour>,
    /// Those of its own failure domain that come after it, in order.
    pub after: Vec<Neighbour>,
    /// The first ones of each other failure domain, in order.
    pub far: BTreeMap<FailureDomain, Vec<Neighbour>>,
}

impl Neighbours {
    /// The neighbours of the host `me`, which runs as `own` says.
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
            hosts.sort_unstable_by_key(|(host, entry)| place(host, entry));
            if *domain == own.domain {
                let at = hosts.partition_point(|(host, entry)| place(host, entry) < place(me, own));
                neighbours.before = known(&hosts[..at]);
                neighbours.after = known(&hosts[at..]);
            } else {
                let first = known(&hosts[..hosts.len().min(ASKED_FAR)]);
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

fn place<'a>(host: &'a HostId, entry: &HostEntry) -> (Reverse<Millicores>, &'a HostId) {
    (Reverse(entry.processor), host)
}

fn known(hosts: &[(&HostId, &HostEntry)]) -> Vec<Neighbour> {
    hosts.iter().map(|(host, entry)| ((*host).clone(), entry.addr)).collect()
}

/// Whether the list has this entry of a host.
pub fn has(me: &HostId, own: &HostEntry, listed: &Changes) -> bool {
    let own = own.to_bytes();
    listed.items.iter().any(|item| item.key == me.as_str() && item.value == own)
}

/// Whether the list has no host that comes before this one.
pub fn is_first(me: &HostId, own: &HostEntry, listed: &Changes) -> bool {
    let fleet: Vec<_> = listed
        .items
        .iter()
        .filter_map(|item| Some((item.key.parse().ok()?, HostEntry::from_bytes(&item.value).ok()?)))
        .collect();
    let fleet = fleet.iter().map(|(host, entry): &(HostId, HostEntry)| (host, entry));
    Neighbours::of(me, own, fleet).before.is_empty()
}
