//! The difference between two maps of the same log.
//!
//! A map of 442 owners has up to 2,500 ranges and takes 93 KB. A busy leader records ten maps a second,
//! and each differs from the one before in a few ranges. With whole maps, a host that 58 others poll
//! would send 54 MB a second.

use std::collections::BTreeSet;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Assignment, Leader, Map};
use crate::key::KeyRange;

/// Epoch and version of a map: unique within a log, and ascending.
pub type Revision = (Epoch, u32);

/// What turns one map into a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// The map that the delta applies to.
    pub from: Revision,
    /// The map that it results in.
    pub to: Revision,
    leader: Option<Leader>,
    rivals: Vec<BTreeSet<ServerId>>,
    /// Ranges of the later map, ascending. Together they cover every range of the earlier map that any of
    /// them overlaps.
    held: Vec<Assignment>,
}

impl Map {
    /// Epoch and version of the map.
    pub fn revision(&self) -> Revision {
        (self.epoch, self.version)
    }

    /// The ranges that differ from `earlier`, adjacent ones merged.
    ///
    /// Each of the returned ranges also starts and ends where ranges of `earlier` do: both maps cover each
    /// key once, and every remainder of a range that was split counts as changed.
    pub fn changed_ranges_since(&self, earlier: &Self) -> Vec<KeyRange> {
        let mut changed: Vec<KeyRange> = Vec::new();
        let mut old = earlier.held.iter().peekable();
        for new in &self.held {
            while old.next_if(|old| old.range.first < new.range.first).is_some() {}
            if old.peek() == Some(&new) {
                continue;
            }
            match changed.last_mut() {
                Some(last) if u32::from(last.last.0) + 1 == u32::from(new.range.first.0) => {
                    last.last = new.range.last;
                }
                _ => changed.push(new.range),
            }
        }
        changed
    }

    /// The delta for a reader that has the map `from`. `ranges` are all ranges that have changed since.
    pub fn delta(&self, from: Revision, ranges: &[KeyRange]) -> MapDelta {
        let mut held = Vec::new();
        let mut next = 0;
        for range in ranges {
            let begin = self.held.partition_point(|a| a.range.last < range.first).max(next);
            let end = self.held.partition_point(|a| a.range.first <= range.last).max(begin);
            held.extend_from_slice(&self.held[begin..end]);
            next = end;
        }
        let (leader, rivals) = (self.leader.clone(), self.rivals.clone());
        MapDelta { from, to: self.revision(), leader, rivals, held }
    }

    /// The map that the delta results in. `None` if the delta is for another map than this, or if the
    /// result doesn't cover each key exactly once.
    pub fn apply(&self, delta: &MapDelta) -> Option<Self> {
        if self.revision() != delta.from {
            return None;
        }
        let mut held = Vec::with_capacity(self.held.len() + delta.held.len());
        let mut old = self.held.iter().peekable();
        for new in &delta.held {
            while let Some(before) = old.next_if(|old| old.range.last < new.range.first) {
                held.push(before.clone());
            }
            while old.next_if(|old| old.range.first <= new.range.last).is_some() {}
            held.push(new.clone());
        }
        held.extend(old.cloned());
        let (epoch, version) = delta.to;
        let (leader, rivals) = (delta.leader.clone(), delta.rivals.clone());
        let (era, unsettled) = (Era(0), false);
        let map = Self { epoch, leader, version, rivals, held, era, unsettled };
        map.covers_each_key_once().then_some(map)
    }
}
