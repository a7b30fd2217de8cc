//! What one map says otherwise than an earlier one.
//!
//! A map of 442 owners has up to 2,500 ranges and 93 KB, and a busy granting host records ten a second, each of which names another owner for
//! a few ranges. Told whole, a host that 58 others follow would have to send 54 MB a second.

use std::collections::BTreeSet;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Assignment, Leader, Map};
use crate::key::KeyRange;

/// Epoch and version of a map. No two maps of a log share one, and later ones have higher ones.
pub type Revision = (Epoch, u32);

/// A map, as far as it differs from one that the reader has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// The map that they are told against.
    pub from: Revision,
    /// The map that they lead to.
    pub to: Revision,
    leader: Option<Leader>,
    rivals: Vec<BTreeSet<ServerId>>,
    /// Ranges of the later map, ascending. Each range of the earlier one that they overlap lies in them whole.
    held: Vec<Assignment>,
}

impl Map {
    /// Where it stands among the maps of its log.
    pub fn revision(&self) -> Revision {
        (self.epoch, self.version)
    }

    /// The ranges that are not the same in `earlier`, joined where they lie side by side.
    ///
    /// Both maps cover each key once, so that these ranges are whole ones of `earlier` too: what is left of a range that was cut is another
    /// range.
    pub fn changed_ranges_since(&self, earlier: &Self) -> Vec<KeyRange> {
        let mut changed: Vec<KeyRange> = Vec::new();
        let mut old = earlier.held.iter().peekable();
        for held in &self.held {
            while old.next_if(|old| old.range.first < held.range.first).is_some() {}
            if old.peek() == Some(&held) {
                continue;
            }
            match changed.last_mut() {
                Some(last) if u32::from(last.last.0) + 1 == u32::from(held.range.first.0) => {
                    last.last = held.range.last;
                }
                _ => changed.push(held.range),
            }
        }
        changed
    }

    /// What to tell somebody who has the map `from`, if `ranges` are all that changed since.
    pub fn delta(&self, from: Revision, ranges: &[KeyRange]) -> MapDelta {
        let mut held = Vec::new();
        let mut next = 0;
        for range in ranges {
            let begin = self.held.partition_point(|held| held.range.last < range.first).max(next);
            let end = self.held.partition_point(|held| held.range.first <= range.last).max(begin);
            held.extend_from_slice(&self.held[begin..end]);
            next = end;
        }
        let (leader, rivals) = (self.leader.clone(), self.rivals.clone());
        MapDelta { from, to: self.revision(), leader, rivals, held }
    }

    /// The map that the changes lead to. `None` if they were told against another one, or don't fit.
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
        let map = Self { epoch, leader, version, rivals, held };
        map.is_whole().then_some(map)
    }
}
