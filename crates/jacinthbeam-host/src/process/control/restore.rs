//! What this host does when the store was restored from an older copy.
//!
//! Reads start over by themselves, since positions include the era of the store. The granting host writes its maps again
//! (`range::grantor`), the recorder of usage its totals, and hosts that are not listed any more are enrolled again.

use jacinthbeam_store::Lane;
use jacinthbeam_types::prelude::Era;

use super::{
    input::{Input, Tx},
    state::Control,
};

/// Sends an input each time that the store states a later era than before.
pub(super) async fn watch(lane: Lane, tx: Tx) {
    let mut era = lane.subscribe_era();
    let mut known = *era.borrow_and_update();
    // Fails only when the process ends.
    while era.changed().await.is_ok() {
        let before = std::mem::replace(&mut known, *era.borrow_and_update());
        if before > Era::default() && tx.send(Input::Restored).is_err() {
            return;
        }
    }
}

impl Control {
    /// Reads the maps now, since the granting host has to write them again soon, and has the crash evidence recorded again.
    pub(super) fn on_restored(&mut self) {
        self.counters.restores.add(1, &[]);
        let partitions: Vec<u32> = self.partitions.keys().copied().collect();
        partitions.into_iter().for_each(|number| self.read_maps(number));
        self.evidence.send_modify(|_| {});
    }
}
