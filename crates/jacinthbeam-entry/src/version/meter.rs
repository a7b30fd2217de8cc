//! How busy an attended backend server is, by slot and by key.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_placement::hot::Sketch;
use jacinthbeam_types::prelude::*;

/// Keys whose busy time is told apart for each backend server. A key with more than this fraction
/// of the time is surely seen.
const KEYS: usize = 64;

/// Busy time since the last look.
#[derive(Debug)]
pub struct Meter {
    slots: BTreeMap<SlotId, Duration>,
    total: Duration,
    sketch: Sketch,
}

/// What a meter had counted.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Busy time of each slot that had any.
    pub slots: BTreeMap<SlotId, Duration>,
    /// Busy time of all requests.
    pub total: Duration,
}

impl Meter {
    /// A meter that has counted nothing.
    pub fn new() -> Self {
        Self { slots: BTreeMap::new(), total: Duration::ZERO, sketch: Sketch::new(KEYS) }
    }

    /// Counts a request that kept the backend server busy.
    pub fn count(&mut self, slot: Option<SlotId>, key: Option<KeyHash>, busy: Duration) {
        self.total += busy;
        if let Some(slot) = slot {
            *self.slots.entry(slot).or_default() += busy;
        }
        if let Some(key) = key {
            self.sketch.record(key, busy);
        }
    }

    /// Takes what was counted since the last call.
    pub fn take(&mut self) -> Reading {
        Reading { slots: std::mem::take(&mut self.slots), total: std::mem::take(&mut self.total) }
    }

    /// The heaviest keys, with the time of earlier windows halved once for each.
    pub fn end_window(&mut self) -> Sketch {
        let sketch = self.sketch.clone();
        self.sketch.halve();
        sketch
    }
}

impl Default for Meter {
    fn default() -> Self {
        Self::new()
    }
}
