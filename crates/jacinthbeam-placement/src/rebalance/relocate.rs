//! Overloaded servers with several heavy slots, of which none fits anywhere, give one of them away
//! all the same.
//!
//! The gaining server is overloaded next, but can give away light slots, which the losing one has too few of.
//! Without this two hot keys that meet at one server stay there for as long as they are hot.

use jacinthbeam_types::prelude::*;

use crate::{
    draft::Draft,
    planned::{PlannedMove, Why},
    view::Load,
};

/// The gaining server may exceed the present load of the losing one by this factor until it gave
/// light slots away.
const MAX_WORSE: f64 = 1.1;

pub(super) fn plan(draft: &mut Draft<'_>, rng: &mut fastrand::Rng) {
    for from in draft.overloaded(draft.policy.start) {
        if draft.is_full() || draft.gives(from) || !is_stuck(draft, from) {
            continue;
        }
        let heavy = draft.movable(from).into_iter().filter(|(_, load)| draft.is_heavy(*load));
        let lightest = heavy.min_by(|a, b| a.1.0.total_cmp(&b.1.0));
        let Some((slot, load)) = lightest else { continue };
        let mut targets = draft.targets(from);
        targets.retain(|to| pays(draft, from, to, load));
        if let Some(to) = rng.choice(targets) {
            draft.plan(from, to, slot, load, Why::Crowded);
        }
    }
}

/// Whether the server has several heavy slots, and its light ones don't make up for them.
fn is_stuck(draft: &Draft<'_>, from: &ServerId) -> bool {
    let Some(server) = draft.view.servers.get(from) else { return false };
    let light: Load = server.slots.values().map(|s| s.load).filter(|l| !draft.is_heavy(*l)).sum();
    let excess = draft.expected(from) - draft.mean.times(draft.policy.stop);
    draft.heavy_slots(from) >= PlannedMove::FEWER_HEAVY && light < excess
}

/// Whether the relief is worth this move and those of light slots that must follow.
fn pays(draft: &Draft<'_>, from: &ServerId, to: &ServerId, load: Load) -> bool {
    let (before, after) = (draft.expected(from), draft.expected(to) + load);
    let slots = draft.view.servers.values().flat_map(|server| server.slots.values());
    let light: Vec<Load> = slots.map(|s| s.load).filter(|load| !draft.is_heavy(*load)).collect();
    let average = light.iter().map(|load| load.0).sum::<f64>() / light.len().max(1) as f64;
    let follow = ((after - draft.mean).0 / average).max(0.0);
    let relief = before - (before - load).max(draft.mean.times(draft.policy.stop));
    let gain = relief.0 / draft.mean.0 * draft.policy.horizon.as_secs_f64();
    let weights = draft.policy.weights;
    after <= before.times(MAX_WORSE) && weights.unavailable * gain > weights.churn * (1.0 + follow)
}
