//! Which servers a host asks first, among more than it can get to know.
//!
//! A host of a large fleet sees a small part of what each server does. One that asks a few of them sees each often enough to tell fast
//! from slow ones. The hosts of a failure domain share its servers evenly: each takes a run of the servers, in the order of
//! their names, that begins at its own place among the hosts.

/// Servers that a host asks first.
pub const FEW: usize = 8;

/// The place of a host among those that share the servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Place {
    /// Hosts before it.
    pub of: u32,
    /// All hosts; 0 if they are not known.
    pub among: u32,
}

/// Whether the server at `at` of `count` is one of those that the host asks first.
pub fn is_familiar(at: usize, count: usize, place: Place) -> bool {
    if count <= FEW || place.among == 0 {
        return true;
    }
    let first = place.of as usize * count / place.among as usize;
    (at + count - first) % count < FEW
}
