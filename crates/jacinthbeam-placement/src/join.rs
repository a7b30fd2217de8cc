//! Slots for a backend server that is new to the service.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use crate::{
    draft::Draft,
    planned::{PlannedMove, Why},
    policy::Policy,
    progress::Progress,
    view::{Load, View},
};

/// A new server is filled up to this part of the mean; the rest is left to [`rebalance`](crate::rebalance).
const FILL: f64 = 0.9;

/// Moves that should begin now from the servers that this host attends to `server`, which owns
/// fewer slots than its share.
///
/// Needed since a new server makes no other server exceed the mean by much. Every host gives only
/// the attended part of what the new server may still gain, so that together they don't overfill
/// it; a part smaller than a slot is given with a chance in proportion. The server's room grows
/// while it warms up.
pub fn joined(
    view: &View,
    server: &ServerId,
    policy: &Policy,
    progress: &Progress,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Vec<PlannedMove> {
    let Some((to, newcomer)) = view.servers.get_key_value(server) else { return Vec::new() };
    if !newcomer.standing.is_active() {
        return Vec::new();
    }
    let mut draft = Draft::new(view, policy, progress, now);
    let others = draft.mean.times(view.active.saturating_sub(1) as f64);
    let fill = draft.room(to).min(draft.mean.times(FILL) - draft.expected(to));
    for from in draft.overloaded(FILL) {
        if from == to || fill <= Load(0.0) || others <= Load(0.0) {
            continue;
        }
        let share = fill.times((draft.expected(from).0 / others.0).min(1.0));
        give(&mut draft, from, to, share, rng);
    }
    draft.finish()
}

/// Gives slots of `from` worth `share` in all.
fn give<'a>(
    draft: &mut Draft<'a>,
    from: &'a ServerId,
    to: &'a ServerId,
    mut share: Load,
    rng: &mut fastrand::Rng,
) {
    let mut slots = draft.movable(from);
    slots.retain(|(_, load)| load.0 > 0.0 && *load <= draft.room(to));
    rng.shuffle(&mut slots);
    for (slot, load) in slots {
        let full = draft.is_full() || !draft.has_free_move(to) || load > draft.room(to);
        if full || rng.f64() >= share.0 / load.0 {
            return;
        }
        draft.plan(from, to, slot, load, Why::Joined);
        share -= load;
    }
}
