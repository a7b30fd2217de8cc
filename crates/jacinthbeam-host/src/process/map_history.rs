//! The newest ownership map of a service and its recent changes, so that a host with an earlier map can be sent a delta.

use std::{collections::VecDeque, sync::Arc};

use jacinthbeam_range::{
    KeyRange, Map,
    map::{MapDelta, Revision},
};
use serde::{Deserialize, Serialize};

/// Number of earlier maps that a delta can start from. It covers three seconds of a granting host that records ten maps a second; hosts
/// that follow another request updates at least every 0.7 s.
const MAX_EARLIER_MAPS: usize = 32;

/// A newer map for another host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MapUpdate {
    /// The whole map.
    Whole(Map),
    /// The changes since the map that the host has.
    Changes(MapDelta),
}

/// The newest map of a service and the changes that led to it.
#[derive(Debug)]
pub(super) struct MapHistory {
    newest: Arc<Map>,
    /// Earlier maps, the oldest first, each with the ranges that the one after it changed.
    earlier: VecDeque<(Revision, Vec<KeyRange>)>,
}

impl MapHistory {
    pub(super) fn new(map: Map) -> Self {
        Self { newest: Arc::new(map), earlier: VecDeque::new() }
    }

    pub(super) fn newest(&self) -> &Arc<Map> {
        &self.newest
    }

    /// Replaces the map if `map` is newer. Returns whether it is.
    pub(super) fn apply(&mut self, map: Map) -> bool {
        if !self.newest.is_older_than(&map) {
            return false;
        }
        // A new epoch changes the token of every range, so there is no useful delta.
        if self.newest.epoch != map.epoch {
            self.earlier.clear();
        } else {
            let changed = map.changed_ranges_since(&self.newest);
            self.earlier.push_back((self.newest.revision(), changed));
            if self.earlier.len() > MAX_EARLIER_MAPS {
                self.earlier.pop_front();
            }
        }
        self.newest = Arc::new(map);
        true
    }

    /// Applies a delta from another host. Returns whether it leads to a newer map.
    pub(super) fn apply_delta(&mut self, delta: &MapDelta) -> bool {
        self.newest.apply(delta).is_some_and(|map| self.apply(map))
    }

    /// The update for a host whose map has the revision `known`; `None` if that is the newest.
    pub(super) fn update_for(&self, known: Option<Revision>) -> Option<MapUpdate> {
        if known.is_some_and(|known| known >= self.newest.revision()) {
            return None;
        }
        let since = self.earlier.iter().position(|(revision, _)| Some(*revision) == known);
        let update = match (known, since) {
            (Some(known), Some(at)) => {
                MapUpdate::Changes(self.newest.delta(known, &self.changed_from(at)))
            }
            _ => MapUpdate::Whole((*self.newest).clone()),
        };
        Some(update)
    }

    /// All ranges that changed since the earlier map at index `at`, ascending and disjoint.
    fn changed_from(&self, at: usize) -> Vec<KeyRange> {
        let mut changed: Vec<KeyRange> =
            self.earlier.range(at..).flat_map(|(_, ranges)| ranges).copied().collect();
        changed.sort_unstable_by_key(|range| range.first);
        let mut merged: Vec<KeyRange> = Vec::new();
        for range in changed {
            match merged.last_mut() {
                Some(last) if range.first <= last.last => last.last = last.last.max(range.last),
                _ => merged.push(range),
            }
        }
        merged
    }
}
