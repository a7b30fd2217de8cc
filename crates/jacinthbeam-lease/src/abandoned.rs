//! Eviction of servers whose whole cell is out of reach, by hosts of other cells.
//!
//! The attendants of a cell evict its servers while one of them can write. If none can, hosts elsewhere may
//! do it for two kinds of servers only: those of services that yield, whose leases nobody renews without the
//! log; and those of failure domains that an operator declared lost, whose witnesses count as having promised
//! silence.

use std::collections::BTreeSet;

use jacinthbeam_state::{Record, State, record::SlotTarget};
use jacinthbeam_types::prelude::*;

/// A record to append, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Eviction {
    /// The record.
    pub record: Record,
    /// Why, for operators.
    pub why: String,
}

/// Evictions that would hold by this fold, which must be close to the end of the log.
///
/// `silent` are cells that the caller believes to be cut off; a wrong belief costs their servers a lease and
/// their slots, but gives no slot two owners. `targets` names the next owners; a server without any is left
/// alone. Repeats are void.
pub fn evictions(
    state: &State,
    silent: &BTreeSet<CellId>,
    targets: impl Fn(&ServerId) -> Vec<SlotTarget>,
) -> Vec<Eviction> {
    let mut evictions = Vec::new();
    for (server, known) in state.servers.iter() {
        let set = state.cells.get(&known.cell);
        let lost = &state.config().lost.failure_domains;
        let is_lost = lost.contains(&known.cell.failure_domain());
        let yields = silent.contains(&known.cell) && !state.needs_promises(known);
        if !known.is_active() || known.slots().is_empty() || !(is_lost || yields) {
            continue;
        }
        let to = targets(server);
        if to.is_empty() {
            continue;
        }
        let why = if is_lost { "its failure domain is lost" } else { "its cell is cut off" };
        let record = Record::Evict {
            server: server.clone(),
            server_epoch: known.epoch,
            witness_epoch: set.map(|set| set.epoch),
            promised: Vec::new(),
            to,
        };
        evictions.push(Eviction { record, why: why.to_owned() });
    }
    evictions
}
