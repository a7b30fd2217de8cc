//! The first division of a service.

use jacinthbeam_types::prelude::*;
use std::collections::BTreeMap;

/// The owner of each slot, in the order of the slots: every server gets the same number, give or take one.
///
/// Depends on the set of servers alone and not on their order. Each server gets adjacent slots,
/// which keeps records and grants short. Servers of different cells take turns, so that with fewer
/// slots than servers the slots still lie in as many cells as there can be. Empty if there is no
/// server.
pub fn found(servers: &[(ServerId, CellId)], slots: u32) -> Vec<ServerId> {
    let servers = by_turns(servers);
    let count = servers.len() as u64;
    let used = count.min(u64::from(slots));
    if used == 0 {
        return Vec::new();
    }
    let owner = |slot: u32| servers[(u64::from(slot) * used / u64::from(slots)) as usize].clone();
    (0..slots).map(owner).collect()
}

/// The first server of each cell in order of name, then the second of each, and so on.
fn by_turns(servers: &[(ServerId, CellId)]) -> Vec<ServerId> {
    let mut cells: BTreeMap<&CellId, Vec<&ServerId>> = BTreeMap::new();
    for (server, cell) in servers {
        cells.entry(cell).or_default().push(server);
    }
    let mut turns: Vec<(usize, &CellId, &ServerId)> = Vec::with_capacity(servers.len());
    for (cell, mut members) in cells {
        members.sort();
        members.dedup();
        turns.extend(members.into_iter().enumerate().map(|(turn, server)| (turn, cell, server)));
    }
    turns.sort();
    turns.into_iter().map(|(_, _, server)| server.clone()).collect()
}
