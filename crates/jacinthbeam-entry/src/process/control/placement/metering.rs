//! How busy the backend servers attended here are.

use std::collections::BTreeMap;

use jacinthbeam_placement::{
    hot::{Heavy, Sketch},
    view::Load,
};
use jacinthbeam_types::prelude::*;

use super::{Placement, WINDOW};
use crate::{process::control::Control, version::meter::Reading};

/// Windows that a load is the mean of.
const WINDOWS: usize = 5;

impl Placement {
    fn note_reading(&mut self, server: &ServerId, reading: Reading) {
        let readings = self.meters.entry(server.clone()).or_default();
        readings.push_back(reading);
        if readings.len() > WINDOWS {
            readings.pop_front();
        }
    }

    /// Notes the load of the keys in a sketch that is halved each window.
    pub(super) fn note_heavy_keys(&mut self, server: &ServerId, sketch: &Sketch) {
        let load = |heavy: Heavy| (heavy.key, Load::of(heavy.at_least, WINDOW * 2));
        self.heavy_keys.insert(server.clone(), sketch.heaviest().map(load).collect());
    }

    pub(super) fn load(&self, server: &ServerId) -> Option<Load> {
        let readings = self.meters.get(server)?;
        let busy = readings.iter().map(|reading| reading.total).sum();
        Some(Load::of(busy, WINDOW * readings.len() as u32))
    }

    /// Load of each slot that had any.
    ///
    /// The slot of a key that was just split out has little measured yet, and would be moved as a light one. What the sketch
    /// says of the key stands in until the window has passed.
    pub(super) fn slot_loads(
        &self,
        server: &ServerId,
        split: &BTreeMap<KeyHash, SlotId>,
    ) -> BTreeMap<SlotId, Load> {
        let Some(readings) = self.meters.get(server) else { return BTreeMap::new() };
        let window = WINDOW * readings.len() as u32;
        let mut loads: BTreeMap<SlotId, Load> = BTreeMap::new();
        for (slot, busy) in readings.iter().flat_map(|reading| &reading.slots) {
            *loads.entry(*slot).or_default() += Load::of(*busy, window);
        }
        for (key, load) in self.heavy_keys.get(server).into_iter().flatten() {
            if let Some(slot) = split.get(key) {
                let known = loads.entry(*slot).or_default();
                *known = known.max(*load);
            }
        }
        loads
    }
}

impl Control {
    pub(super) fn measure(&mut self) {
        let open: Vec<(ServerId, Reading)> = self
            .tended
            .iter()
            .filter(|(_, tended)| tended.open)
            .filter_map(|(id, tended)| Some((id.clone(), tended.attended.as_ref()?.read_meter())))
            .collect();
        let is_open = |id: &ServerId| open.iter().any(|(open, _)| open == id);
        self.placement.meters.retain(|id, _| is_open(id));
        self.placement.heavy_keys.retain(|id, _| is_open(id));
        for (server, reading) in open {
            self.placement.note_reading(&server, reading);
        }
    }
}
