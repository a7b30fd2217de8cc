//! Where the slots of a lost or leaving backend server go.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use jacinthbeam_types::prelude::*;

use crate::{
    planned::{PlannedMove, Why},
    policy::Policy,
    view::{Load, ServerView, Standing, View},
};

/// A target gets at most this many times its even share of the slots, however idle it looks, since a low
/// measurement may be stale or that of a server with a fault.
const MAX_SHARE: f64 = 2.0;

/// A new owner for each of `slots`, which are all slots of `lost`, so that ownership changes for no
/// other slot.
///
/// Heavy slots go first, each to the server of the view that is then least loaded. Slots without a
/// measurement (`None`) count as average ones. Empty if the view has no other active server.
pub fn evict_targets(
    view: &View,
    lost: &ServerId,
    slots: &BTreeMap<SlotId, Option<Load>>,
    policy: &Policy,
    rng: &mut fastrand::Rng,
) -> Vec<(SlotId, ServerId)> {
    let targets = targets(view, lost, policy);
    let limit = limit(slots.len(), targets.len());
    let mut heap: BinaryHeap<Reverse<Filling<'_>>> =
        targets.into_iter().map(|(id, server)| Reverse(Filling::new(id, server, rng))).collect();
    let mut given = Vec::with_capacity(slots.len());
    for (slot, load) in heaviest_first(slots, view.capacity) {
        let Some(Reverse(mut target)) = heap.pop() else { break };
        target.add(load);
        given.push((slot, target.id.clone()));
        if target.slots < limit {
            heap.push(Reverse(target));
        }
    }
    given.sort();
    given
}

/// All slots of an attended server that is leaving, spread like those of a lost one.
///
/// Neither pace nor age holds it back: the server is to be without work after a few seconds.
pub fn leave(
    view: &View,
    leaving: &ServerId,
    policy: &Policy,
    rng: &mut fastrand::Rng,
) -> Vec<PlannedMove> {
    let Some(server) = view.servers.get(leaving) else { return Vec::new() };
    let slots = server.slots.iter().map(|(id, slot)| (*id, Some(slot.load))).collect();
    let given = evict_targets(view, leaving, &slots, policy, rng);
    let planned = |(slot, to): (SlotId, ServerId)| PlannedMove {
        slot,
        from: leaving.clone(),
        to,
        load: server.slots[&slot].load,
        left: Load(0.0),
        heavy: 0,
        why: Why::Leaving,
    };
    given.into_iter().map(planned).collect()
}

fn targets<'a>(
    view: &'a View,
    lost: &ServerId,
    policy: &Policy,
) -> Vec<(&'a ServerId, &'a ServerView)> {
    let active: Vec<_> = view
        .servers
        .iter()
        .filter(|(id, server)| *id != lost && server.standing.is_active())
        .collect();
    let domain = view.servers.get(lost).map(|server| server.cell.failure_domain());
    if !policy.prefer_failure_domain {
        return active;
    }
    let same = |server: &ServerView| domain == Some(server.cell.failure_domain());
    let near: Vec<_> = active.iter().filter(|(_, server)| same(server)).copied().collect();
    if near.is_empty() { active } else { near }
}

fn limit(slots: usize, targets: usize) -> usize {
    (MAX_SHARE * slots as f64 / targets.max(1) as f64).ceil() as usize
}

fn heaviest_first(slots: &BTreeMap<SlotId, Option<Load>>, capacity: Load) -> Vec<(SlotId, Load)> {
    let known: Vec<Load> = slots.values().flatten().copied().collect();
    let average = match known.len() {
        // Nothing is known, as after the loss of the attendant too: take the lost server for a full one.
        0 => capacity.times(1.0 / slots.len().max(1) as f64),
        count => known.iter().copied().sum::<Load>().times(1.0 / count as f64),
    };
    let mut slots: Vec<_> =
        slots.iter().map(|(slot, load)| (*slot, load.unwrap_or(average))).collect();
    slots.sort_by(|a, b| b.1.0.total_cmp(&a.1.0).then(a.0.cmp(&b.0)));
    slots
}

/// A target and what it has got.
#[derive(Debug)]
struct Filling<'a> {
    id: &'a ServerId,
    load: Load,
    cold: bool,
    slots: usize,
    /// Breaks ties, differently for each decision.
    lot: u64,
}

/// A cold server counts as this much fuller than it is, in slots' worth of load given to it.
const COLD_FACTOR: f64 = 2.0;

impl<'a> Filling<'a> {
    fn new(id: &'a ServerId, server: &ServerView, rng: &mut fastrand::Rng) -> Self {
        let cold = matches!(server.standing, Standing::Cold { .. });
        Self { id, load: server.expected(), cold, slots: 0, lot: rng.u64(..) }
    }

    fn add(&mut self, load: Load) {
        self.load += if self.cold { load.times(COLD_FACTOR) } else { load };
        self.slots += 1;
    }
}

impl Ord for Filling<'_> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_load = self.load.0.total_cmp(&other.load.0);
        by_load.then(self.slots.cmp(&other.slots)).then(self.lot.cmp(&other.lot))
    }
}

impl PartialOrd for Filling<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Filling<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Filling<'_> {}
