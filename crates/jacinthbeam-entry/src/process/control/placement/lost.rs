//! Where the slots of a lost backend server go.

use std::collections::BTreeMap;

use jacinthbeam_placement::{Policy, evict, view::Load};
use jacinthbeam_state::record::SlotTarget;
use jacinthbeam_types::prelude::*;

use crate::process::control::Control;

impl Control {
    /// Where the slots of a lost server go.
    pub(in super::super) fn evict_targets(&self, lost: &ServerId) -> Vec<SlotTarget> {
        self.evict_targets_after(lost, &BTreeMap::new())
    }

    /// The same, once servers have been given slots of this load.
    pub(in super::super) fn evict_targets_after(
        &self,
        lost: &ServerId,
        given: &BTreeMap<ServerId, Load>,
    ) -> Vec<SlotTarget> {
        let Some(known) = self.state.servers.get(lost) else { return Vec::new() };
        let Some(cfg) = self.state.service(&known.service) else { return Vec::new() };
        let policy = Policy::configured(&cfg.balance, 1.0);
        let loads = self.placement.slot_loads(lost, &BTreeMap::new());
        let slots = known.slots().iter().map(|slot| (*slot, loads.get(slot).copied())).collect();
        let Some(mut view) = self.view_of_all(&known.service) else { return Vec::new() };
        for (server, load) in given {
            if let Some(seen) = view.servers.get_mut(server) {
                seen.pending += *load;
            }
        }
        let mut rng = self.placement.rng.clone();
        evict::evict_targets(&view, lost, &slots, &policy, &mut rng)
            .into_iter()
            .map(|(slot, to)| SlotTarget { slot, to })
            .collect()
    }
}
