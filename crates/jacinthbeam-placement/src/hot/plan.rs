//! When a key is split out and when it goes back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::{
    hot::Sketch,
    planned::{PlannedMove, Why},
    policy::Policy,
    view::{Load, View},
};

/// Thresholds for hot keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// A key is split out once it needs more than this share of a server's capacity.
    pub split_above: f64,
    /// It has cooled once it needs less than this share. Well below `split_above`, lest keys be
    /// split and merged in turn.
    pub merge_below: f64,
    /// How long it must have cooled before it goes back.
    pub cool_for: Duration,
    /// Most keys of the service that are split out at once; each is an entry in every host's table.
    pub max_split: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            split_above: 0.15,
            merge_below: 0.05,
            cool_for: Duration::from_secs(300),
            max_split: 256,
        }
    }
}

/// A key that has a slot of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// The key.
    pub key: KeyHash,
    /// Its slot.
    pub slot: SlotId,
    /// Owner of that slot.
    pub owner: ServerId,
    /// The slot that the key goes back to.
    pub parent: SlotId,
    /// Owner of the parent slot.
    pub parent_owner: ServerId,
}

/// What should be done about a hot key.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give the key a slot of its own, which the owner of its parent slot keeps at first. It may
    /// move at once.
    Split {
        /// The key.
        key: KeyHash,
        /// The slot that it is in.
        parent: SlotId,
        /// The owner of that slot.
        owner: ServerId,
    },
    /// Move the slot of a cooled key to the owner of its parent slot, since keys merge only at one owner.
    MoveBack(PlannedMove),
    /// Put the key back into its parent slot.
    Merge {
        /// The key.
        key: KeyHash,
        /// Its own slot, which ends.
        slot: SlotId,
        /// The slot that it goes back to.
        parent: SlotId,
    },
}

/// Since when each split-out key has been cool.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Cooling(BTreeMap<KeyHash, Instant>);

impl Cooling {
    /// How long the key has been cool, given its load now; `None` while it is not.
    fn observe(&mut self, key: KeyHash, is_cool: bool, now: Instant) -> Option<Duration> {
        if !is_cool {
            self.0.remove(&key);
            return None;
        }
        let since = *self.0.entry(key).or_insert(now);
        Some(now.saturating_duration_since(since))
    }

    fn keep_only(&mut self, splits: &[Split]) {
        self.0.retain(|key, _| splits.iter().any(|split| split.key == *key));
    }
}

/// An attended backend server and the sketch of its keys.
#[derive(Debug)]
pub struct Owned<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// Busy time of its heaviest keys within `window`.
    pub sketch: &'a Sketch,
    /// Time that the sketch covers. After [`Sketch::halve`] every window, twice the window.
    pub window: Duration,
}

/// The keys of a service and their slots.
#[derive(Debug)]
pub struct Keys<'a> {
    /// Number of slots that keys hash to.
    pub slots: u32,
    /// All keys that are split out.
    pub splits: &'a [Split],
}

/// Splits for the keys of one attended server, and merges for the keys split out that it owns.
///
/// A slot that moved within the least age is left alone, since a split-out key may move at once and
/// would so change its owner twice in a short time. At most [`Options::max_split`] keys are split
/// out, give or take those that other hosts split at the same moment.
pub fn plan(
    owned: &Owned<'_>,
    keys: &Keys<'_>,
    view: &View,
    policy: &Policy,
    cooling: &mut Cooling,
    now: Instant,
) -> Vec<Action> {
    cooling.keep_only(keys.splits);
    let Some(server) = view.servers.get(owned.server) else { return Vec::new() };
    let may_change = |slot: SlotId| server.slots.get(&slot).is_some_and(|s| s.is_old(policy, now));
    let mut actions = splits(owned, keys, view, policy, may_change);
    for split in keys.splits.iter().filter(|split| split.owner == *owned.server) {
        let Some(slot) = server.slots.get(&split.slot) else { continue };
        let is_cool = slot.load < view.capacity.times(policy.hot.merge_below);
        let cool = cooling.observe(split.key, is_cool, now);
        if cool.is_some_and(|cool| cool >= policy.hot.cool_for) && may_change(split.slot) {
            actions.extend(go_back(split, slot.load, server.expected(), view));
        }
    }
    actions
}

fn splits(
    owned: &Owned<'_>,
    keys: &Keys<'_>,
    view: &View,
    policy: &Policy,
    may_change: impl Fn(SlotId) -> bool,
) -> Vec<Action> {
    let line = view.capacity.times(policy.hot.split_above);
    let is_hot = |load: Duration| Load::of(load, owned.window) > line;
    let is_split = |key: KeyHash| keys.splits.iter().any(|split| split.key == key);
    let parent = |key: KeyHash| key.slot(keys.slots.max(1), &BTreeMap::new());
    owned
        .sketch
        .heaviest()
        .take_while(|heavy| is_hot(heavy.at_most))
        .filter(|heavy| is_hot(heavy.at_least) && !is_split(heavy.key))
        .map(|heavy| (heavy.key, parent(heavy.key)))
        .filter(|(_, parent)| may_change(*parent))
        .take(policy.hot.max_split.saturating_sub(keys.splits.len()))
        .map(|(key, parent)| Action::Split { key, parent, owner: owned.server.clone() })
        .collect()
}

/// The next step of a cooled key towards its parent slot.
fn go_back(split: &Split, load: Load, owner_load: Load, view: &View) -> Option<Action> {
    let Split { key, slot, parent, .. } = *split;
    if split.owner == split.parent_owner {
        return Some(Action::Merge { key, slot, parent });
    }
    let target = view.servers.get(&split.parent_owner);
    if target.is_some_and(|target| !target.standing.is_active()) {
        return None;
    }
    let (from, to) = (split.owner.clone(), split.parent_owner.clone());
    Some(Action::MoveBack(PlannedMove {
        slot,
        from,
        to,
        load,
        left: owner_load - load,
        heavy: 0,
        why: Why::Cooled,
    }))
}
