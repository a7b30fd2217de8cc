//! Collects the reports of the hosts of one failure domain.

use jacinthbeam_types::prelude::*;

/// Number of hosts of a failure domain that collect the reports for one service. Each of them gets all reports, so that the loss of one
/// interrupts nothing.
pub const COLLECTORS: usize = 2;

/// The hosts out of `hosts` that collect the reports for a service, the preferred one first. Selected by rendezvous hashing, so that a change
/// of the list moves a service's collection only if it concerns one of them.
pub fn select<'a>(
    service: &ServiceName,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Vec<&'a HostId> {
    let weight = |host: &HostId| KeyHash::of(format!("{service} {host}").as_bytes());
    let mut weighted: Vec<(KeyHash, &HostId)> = hosts.map(|host| (weight(host), host)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().take(COLLECTORS).map(|(_, host)| host).collect()
}
