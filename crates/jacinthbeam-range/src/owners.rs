//! Which servers of a service own keys, where the service has more servers than its map can name.
//!
//! The map is one record of the store, and each owner is granted its ranges several times in a hold by a single host. Both bound the
//! number of owners; the other servers stay ready and replace owners that leave.

use std::collections::BTreeSet;

use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use crate::grantor::timing::MERGE_ABOVE_RANGES_PER_OWNER;

/// Bytes that a range takes in a record at the most, with a server name of ten characters: its keys, owner, address, token and handover.
const BYTES_PER_RANGE: u64 = 72;

/// Bytes that an owner takes in the lists of two rivals.
const RIVAL_BYTES_PER_OWNER: u64 = 64;

/// The largest number of owners whose map fits into a record of `record` bytes.
pub fn max_owners(record: Bytes) -> usize {
    let per_owner = BYTES_PER_RANGE * MERGE_ABOVE_RANGES_PER_OWNER as u64 + RIVAL_BYTES_PER_OWNER;
    usize::try_from(record.0 / per_owner).unwrap_or(usize::MAX).max(1)
}

/// Selects at most `max` of the servers, the present owners first.
///
/// The others are taken in the order of their hashes, so that hosts with the same list select the same ones, from all failure domains
/// alike.
pub fn select<'a>(
    servers: impl Iterator<Item = &'a Server>,
    owners: &BTreeSet<&ServerId>,
    max: usize,
) -> Vec<&'a Server> {
    let mut servers: Vec<&Server> = servers.collect();
    if servers.len() <= max {
        return servers;
    }
    servers.sort_by_cached_key(|server| {
        let hash = KeyHash::of(server.id.name().as_str().as_bytes());
        (!owners.contains(&server.id), hash.0)
    });
    servers.truncate(max);
    servers.sort_unstable_by_key(|server| &server.id);
    servers
}
