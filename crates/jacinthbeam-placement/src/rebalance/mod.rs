//! Which slots the attended servers should give away to even out load.

mod idle;
mod relocate;
mod threshold;
mod two_choices;

use std::time::Instant;

pub use idle::{Ask, ask};

use crate::{
    draft::Draft,
    planned::PlannedMove,
    policy::{Kind, Policy},
    progress::Progress,
    view::View,
};

/// Moves that should begin now, away from servers that this host attends.
///
/// `asks` are those that reached this host since the last decision; only [`Kind::IdleInitiated`]
/// heeds them. The caller notes each move that it carries out with [`Progress::begin`].
pub fn rebalance(
    view: &View,
    asks: &[Ask],
    policy: &Policy,
    progress: &Progress,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Vec<PlannedMove> {
    let mut draft = Draft::new(view, policy, progress, now);
    match policy.kind {
        Kind::Static => {}
        Kind::Threshold => {
            threshold::plan(&mut draft, rng);
            relocate::plan(&mut draft, rng);
        }
        Kind::TwoChoices => {
            two_choices::plan(&mut draft, rng);
            relocate::plan(&mut draft, rng);
        }
        Kind::IdleInitiated => idle::give(&mut draft, asks),
    }
    draft.finish()
}
