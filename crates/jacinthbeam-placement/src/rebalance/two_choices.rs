//! Overloaded servers give to the less loaded of two servers drawn at random.

use crate::{draft::Draft, planned::Why, view::Load};

pub(super) fn plan(draft: &mut Draft<'_>, rng: &mut fastrand::Rng) {
    for from in draft.overloaded(draft.policy.start) {
        let targets = draft.targets(from);
        // Two draws a decision and server, as each stands for asking two servers for their load.
        let drawn = rng.choose_multiple(targets.iter().copied(), 2);
        let less = |a: &&_, b: &&_| draft.expected(a).0.total_cmp(&draft.expected(b).0);
        let Some(to) = drawn.into_iter().min_by(less) else { continue };
        while draft.expected(from) > draft.mean.times(draft.policy.stop)
            && draft.room(to) > Load(0.0)
        {
            if draft.take(from, to, draft.room(to), Why::Overloaded).is_none() {
                break;
            }
        }
    }
}
