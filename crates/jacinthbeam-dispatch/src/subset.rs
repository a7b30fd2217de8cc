//! Deterministic subsetting: each host prefers a small subset of the servers of a service.
//!
//! A host of a large fleet sends only a small share of each server's requests. By preferring a few servers it observes each of
//! them often enough to distinguish fast from slow ones. The hosts of a failure domain share its servers evenly: the subset of a
//! host is a run of the servers in the order of their names, which begins at the host's own position among the hosts.

/// Number of servers in a host's preferred subset.
pub const SUBSET_SIZE: usize = 8;

/// Number of servers of a service up to which a host considers all of them for each request.
pub const MAX_CONSIDERED: usize = 256;

/// Number of servers that a host considers besides its subset where there are more, drawn at random for each request from those near it,
/// and again from all.
const DRAWN: usize = 8;

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

/// The servers that a host at `position` considers for one request where there are too many to consider all: its subset of the `near` ones,
/// and some drawn at random. Returns indexes of near servers, and after them of the `far` ones, each once.
///
/// The effort of a request thus doesn't grow with the service, and neither does what the host keeps of servers that it doesn't use.
pub fn draw(
    near: usize,
    far: usize,
    position: Position,
    mut random: impl FnMut(usize) -> usize,
) -> Vec<usize> {
    let all = near + far;
    // Without near servers, the hosts share the others.
    let count = if near == 0 { far } else { near };
    let first = match position.hosts {
        0 => random(count.max(1)),
        hosts => position.index as usize * count / hosts as usize,
    };
    let subset = (0..SUBSET_SIZE.min(count)).map(|n| (first + n) % count);
    let mut drawn: Vec<usize> = subset.collect();
    drawn.extend((0..DRAWN).filter(|_| near > 0).map(|_| random(near)));
    drawn.extend((0..DRAWN).filter(|_| all > 0).map(|_| random(all)));
    let mut seen = std::collections::BTreeSet::new();
    drawn.retain(|at| seen.insert(*at));
    drawn
}
