//! Which servers a host asks first, among more than it can get to know.
//!
//! A host of a large fleet sees a small part of what each server does. One that asks a few of them sees each often enough to tell fast
//! from slow ones. The hosts of a failure domain share its servers evenly: each takes a run of the servers, in the order of
//! their names, that begins at its own place among the hosts.

/// Servers that a host asks first.
pub const SUBSET_SIZE: usize = 8;

/// The place of a host among those that share the servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Hosts before it.
    pub index: u32,
    /// All hosts; 0 if they are not known.
    pub hosts: u32,
}

/// Whether the server at `at` of `count` is one of those that the host asks first.
pub fn is_in_subset(index: usize, count: usize, position: Position) -> bool {
    if count <= SUBSET_SIZE || position.hosts == 0 {
        return true;
    }
    let first = position.index as usize * count / position.hosts as usize;
    (index + count - first) % count < SUBSET_SIZE
}
