//! The newest ownership map of a service, and what changed in it lately, so that hosts that have an earlier one are told the changes.

use std::{collections::VecDeque, sync::Arc};

use jacinthbeam_range::{
    KeyRange, Map,
    map::{MapDelta, Revision},
};
use serde::{Deserialize, Serialize};

/// Earlier maps that changes are kept for: three seconds of a granting host that records ten a second. A host that follows another asks
/// at least every 0.7 s.
const KEPT: usize = 32;

/// A newer map for another host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MapUpdate {
    /// All of it.
    Whole(Map),
    /// What differs from the one that the host has.
    Changes(MapDelta),
}

/// One service's map.
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

    /// Takes a map if it is newer. Returns whether it is.
    pub(super) fn apply(&mut self, map: Map) -> bool {
        if !self.newest.is_older_than(&map) {
            return false;
        }
        // A new epoch has another token for each range.
        if self.newest.epoch != map.epoch {
            self.earlier.clear();
        } else {
            let changed = map.changed_ranges_since(&self.newest);
            self.earlier.push_back((self.newest.revision(), changed));
            if self.earlier.len() > KEPT {
                self.earlier.pop_front();
            }
        }
        self.newest = Arc::new(map);
        true
    }

    /// Takes what another host tells. Returns whether it is newer.
    pub(super) fn apply_delta(&mut self, changes: &MapDelta) -> bool {
        self.newest.apply(changes).is_some_and(|map| self.apply(map))
    }

    /// What to tell a host that has the map `known`, if that is not the newest.
    pub(super) fn update_for(&self, known: Option<Revision>) -> Option<MapUpdate> {
        if known.is_some_and(|known| known >= self.newest.revision()) {
            return None;
        }
        let since = self.earlier.iter().position(|(of, _)| Some(*of) == known);
        let news = match (known, since) {
            (Some(known), Some(at)) => {
                MapUpdate::Changes(self.newest.delta(known, &self.changed_from(at)))
            }
            _ => MapUpdate::Whole((*self.newest).clone()),
        };
        Some(news)
    }

    /// All ranges that changed from one of the earlier maps on, ascending and disjoint.
    fn changed_from(&self, at: usize) -> Vec<KeyRange> {
        let mut changed: Vec<KeyRange> =
            self.earlier.range(at..).flat_map(|(_, ranges)| ranges).copied().collect();
        changed.sort_unstable_by_key(|range| range.first);
        let mut joined: Vec<KeyRange> = Vec::new();
        for range in changed {
            match joined.last_mut() {
                Some(last) if range.first <= last.last => last.last = last.last.max(range.last),
                _ => joined.push(range),
            }
        }
        joined
    }
}
