//! Overloaded servers give to any sampled server with room.

use jacinthbeam_types::prelude::*;

use crate::{draft::Draft, planned::Why, view::Load};

pub(super) fn plan(draft: &mut Draft<'_>, rng: &mut fastrand::Rng) {
    for from in draft.overloaded(draft.policy.start) {
        let mut targets = draft.targets(from);
        while !draft.is_full() && draft.expected(from) > draft.mean.times(draft.policy.stop) {
            targets.retain(|to| draft.has_free_move(to) && draft.room(to) > Load(0.0));
            let Some(to) = by_room(draft, &targets, rng) else { break };
            if draft.take(from, to, draft.room(to), Why::Overloaded).is_none() {
                targets.retain(|other| *other != to);
            }
        }
    }
}

/// Draws a server with a chance in proportion to its room.
///
/// Hosts decide at once and apart from each other. Were the idlest server taken always, all of them
/// would pick the same one, and it would be overloaded next.
fn by_room<'a>(
    draft: &Draft<'_>,
    targets: &[&'a ServerId],
    rng: &mut fastrand::Rng,
) -> Option<&'a ServerId> {
    let total: f64 = targets.iter().map(|to| draft.room(to).0).sum();
    let mut point = rng.f64() * total;
    for to in targets {
        point -= draft.room(to).0;
        if point <= 0.0 {
            return Some(to);
        }
    }
    targets.last().copied()
}
