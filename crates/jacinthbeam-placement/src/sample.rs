//! Which other backend servers a host asks for their load.

use jacinthbeam_types::prelude::*;

/// Servers whose load one host keeps for one service, apart from those it attends. The cost of a
/// decision is bounded by it, and a mean over this many is near enough to that of the service.
pub const MAX_SAMPLE: usize = 16;

/// Draws at most `count` different servers at random.
///
/// Hosts draw apart from each other, so that no one server is seen as the idlest by all of them at once.
pub fn pick(servers: &[ServerId], count: usize, rng: &mut fastrand::Rng) -> Vec<ServerId> {
    rng.choose_multiple(servers.iter(), count).into_iter().cloned().collect()
}
