//! Deterministic subsetting: each host prefers a small subset of the servers of a service.
//!
//! A host of a large fleet sends only a small share of each server's requests. By preferring a few servers it observes each of
//! them often enough to distinguish fast from slow ones. The hosts of a failure domain share its servers evenly: the subset of a
//! host is a run of the servers in the order of their names, which begins at the host's own position among the hosts.

/// Number of servers in a host's preferred subset.
pub const SUBSET_SIZE: usize = 8;

/// Position of a host among those that share the servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of hosts before it.
    pub index: u32,
    /// Number of all hosts; 0 if unknown.
    pub hosts: u32,
}

/// Whether the server at `index` of `count` is in the preferred subset of the host at `position`.
///
/// Every server is if there are no more than [`SUBSET_SIZE`], or if the number of hosts is unknown.
pub fn is_in_subset(index: usize, count: usize, position: Position) -> bool {
    if count <= SUBSET_SIZE || position.hosts == 0 {
        return true;
    }
    let first = position.index as usize * count / position.hosts as usize;
    (index + count - first) % count < SUBSET_SIZE
}
