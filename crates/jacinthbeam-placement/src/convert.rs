//! From the fold of the control stream, and what a host has measured, to a [`View`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use jacinthbeam_state::{Division, How, Owner, Server, State};
use jacinthbeam_types::prelude::*;

use crate::{
    hot::Split,
    view::{Load, ServerView, SlotView, Standing, View},
};

/// A load and when it was measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measured {
    /// The load.
    pub load: Load,
    /// End of the window of measurement.
    pub at: Instant,
}

/// What a host knows of one service apart from the fold.
#[derive(Debug)]
pub struct Known<'a> {
    /// Servers that this host attends, with the load of each slot that had any.
    pub attended: &'a BTreeMap<ServerId, BTreeMap<SlotId, Load>>,
    /// Others that the host may give slots to; at most [`MAX_SAMPLE`](crate::sample::MAX_SAMPLE)
    /// for a bounded cost.
    pub sample: &'a [ServerId],
    /// Measured loads of servers, attended or not.
    pub loads: &'a BTreeMap<ServerId, Measured>,
    /// Servers that warm up, and when they started.
    pub cold: &'a BTreeMap<ServerId, Instant>,
    /// Servers that are to get no new work.
    pub leaving: &'a BTreeSet<ServerId>,
    /// Start of this process.
    pub started: Instant,
}

/// The view of a keyed service; `None` if it is not configured or not divided yet.
///
/// `read_at` tells when this process read a record; a record read by an earlier process counts as
/// read at the start of this one. The cost depends on the servers attended and sampled and not on
/// the fleet.
pub fn view(
    state: &State,
    service: &ServiceName,
    known: &Known<'_>,
    read_at: impl Fn(Offset) -> Option<Instant>,
) -> Option<View> {
    let division = state.services.get(service)?;
    let capacity = Load(f64::from(state.service(service)?.concurrency));
    let active = division.owning_servers();
    let per_slot = load_per_slot(state, division, known, capacity);
    // Only a split-out key's own slot may move at once. The slot that it left, or came back to, may
    // have moved of late.
    let since = |slot: &SlotId, owner: &Owner| match owner.how {
        How::Split if slot.0 >= division.slots() => None,
        _ => Some(read_at(owner.since).unwrap_or(known.started)),
    };
    let mut servers = BTreeMap::new();
    for id in known.attended.keys().chain(known.sample) {
        let Some(server) = state.servers.get(id).filter(|server| server.service == *service) else {
            continue;
        };
        let measured = known.loads.get(id);
        let estimate = per_slot.times(server.slots().len() as f64);
        let view = ServerView {
            cell: server.cell.clone(),
            standing: standing(id, server, known),
            load: measured.map_or(estimate, |measured| measured.load),
            measured: measured.map(|measured| measured.at),
            pending: Load(0.0),
            attended: known.attended.contains_key(id),
            slots: known.attended.get(id).map_or_else(BTreeMap::new, |loads| {
                let slot = |slot: &SlotId| {
                    let load = loads.get(slot).copied().unwrap_or_default();
                    Some((*slot, SlotView { load, since: since(slot, &division.owner(*slot)?) }))
                };
                server.slots().iter().filter_map(slot).collect()
            }),
        };
        servers.insert(id.clone(), view);
    }
    Some(View { servers, capacity, active })
}

/// The split-out keys of a service. A key is left out while its slot or its parent slot has no owner.
pub fn splits(division: &Division) -> Vec<Split> {
    let split = |(key, slot): (&KeyHash, &SlotId)| {
        let parent = division.parent_of(*key);
        Some(Split {
            key: *key,
            slot: *slot,
            owner: division.owner(*slot)?.server,
            parent,
            parent_owner: division.owner(parent)?.server,
        })
    };
    division.split().iter().filter_map(split).collect()
}

fn standing(id: &ServerId, server: &Server, known: &Known<'_>) -> Standing {
    if !server.is_active() {
        Standing::Gone
    } else if known.leaving.contains(id) {
        Standing::Draining
    } else {
        known.cold.get(id).map_or(Standing::Active, |since| Standing::Cold { since: *since })
    }
}

/// Average load of a slot on the measured servers, for an estimate of the others; without any, that
/// of full servers.
fn load_per_slot(state: &State, division: &Division, known: &Known<'_>, capacity: Load) -> Load {
    let slots = |id: &ServerId| state.servers.get(id).map_or(0, |server| server.slots().len());
    let measured: Load = known.loads.values().map(|measured| measured.load).sum();
    match known.loads.keys().map(slots).sum::<usize>() {
        0 => capacity.times(division.owning_servers() as f64 / division.len().max(1) as f64),
        count => measured.times(1.0 / count as f64),
    }
}
