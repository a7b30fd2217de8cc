//! Moves planned so far in one decision, and which slot fits best as the next.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use jacinthbeam_types::prelude::*;

use crate::{
    planned::{PlannedMove, Why},
    policy::{COLD_FLOOR, Policy},
    progress::Progress,
    view::{Load, ServerView, SlotView, Standing, View},
};

/// Least improvement of a pair of servers that is worth a move, as a part of the mean load. Every move lowers
/// the sum of squared loads by more than a fixed amount, so under constant load moves come to an end.
const MIN_GAIN: f64 = 1e-4;

/// A decision in the making.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    pub view: &'a View,
    pub policy: &'a Policy,
    pub now: Instant,
    pub mean: Load,
    progress: &'a Progress,
    expected: BTreeMap<&'a ServerId, Load>,
    towards: BTreeMap<&'a ServerId, usize>,
    moved: BTreeSet<SlotId>,
    planned: Vec<PlannedMove>,
    left: usize,
}

impl<'a> Draft<'a> {
    pub fn new(
        view: &'a View,
        policy: &'a Policy,
        progress: &'a Progress,
        now: Instant,
    ) -> Draft<'a> {
        Draft {
            view,
            policy,
            now,
            mean: mean(view, policy, now),
            progress,
            expected: view.servers.iter().map(|(id, server)| (id, server.expected())).collect(),
            towards: BTreeMap::new(),
            moved: BTreeSet::new(),
            planned: Vec::new(),
            left: progress.allowance(&policy.pace, now),
        }
    }

    /// Whether no more moves may begin now.
    pub fn is_full(&self) -> bool {
        self.left == 0
    }

    /// The load of a server once all moves begun and planned are done.
    pub fn expected(&self, server: &ServerId) -> Load {
        self.expected.get(server).copied().unwrap_or_default()
    }

    /// Takes `load`, stated by the attendant of `server`, in place of what the view shows.
    pub fn set_expected(&mut self, server: &'a ServerId, load: Load) {
        self.expected.insert(server, load);
    }

    /// Attended active servers above the mean times `factor`, most loaded first.
    pub fn overloaded(&self, factor: f64) -> Vec<&'a ServerId> {
        let line = self.mean.times(factor).max(self.view.capacity.times(self.policy.quiet));
        let mut servers: Vec<_> = self
            .view
            .servers
            .iter()
            .filter(|(_, server)| server.attended && server.standing.is_active())
            .map(|(id, _)| id)
            .filter(|id| self.expected(id) > line)
            .collect();
        servers.sort_by(|a, b| self.expected(b).0.total_cmp(&self.expected(a).0));
        servers
    }

    /// Servers that may gain a slot now, other than `from`.
    pub fn targets(&self, from: &ServerId) -> Vec<&'a ServerId> {
        let usable = |(id, server): &(&ServerId, &ServerView)| {
            *id != from
                && server.standing.is_active()
                && is_fresh(server, self.policy, self.now)
                && self.has_free_move(id)
        };
        self.view.servers.iter().filter(usable).map(|(id, _)| id).collect()
    }

    /// How much `to` may still gain.
    pub fn room(&self, to: &ServerId) -> Load {
        let Some(server) = self.view.servers.get(to) else { return Load(0.0) };
        room(server.standing, self.mean, self.policy, self.now) - self.expected(to)
    }

    /// Plans the move of the slot of `from` that fits `room` at `to` best. `None` if none is worth its cost.
    pub fn take(
        &mut self,
        from: &'a ServerId,
        to: &'a ServerId,
        room: Load,
        why: Why,
    ) -> Option<SlotId> {
        if self.is_full() || !self.has_free_move(to) {
            return None;
        }
        let excess = self.expected(from) - self.mean.times(self.policy.stop);
        let (slot, load) = self.best_slot(from, to, excess.min(room), room)?;
        self.plan(from, to, slot, load, why);
        Some(slot)
    }

    /// Slots of `from` that may move now.
    pub fn movable(&self, from: &ServerId) -> Vec<(SlotId, Load)> {
        let Some(server) = self.view.servers.get(from) else { return Vec::new() };
        let usable = |(id, slot): &(&SlotId, &SlotView)| {
            slot.is_old(self.policy, self.now)
                && !self.moved.contains(id)
                && !self.progress.is_moving(**id)
        };
        server.slots.iter().filter(usable).map(|(id, slot)| (*id, slot.load)).collect()
    }

    /// Plans a move without weighing it.
    pub fn plan(
        &mut self,
        from: &'a ServerId,
        to: &'a ServerId,
        slot: SlotId,
        load: Load,
        why: Why,
    ) {
        let left = self.expected(from) - load;
        let heavy = if self.is_heavy(load) { self.heavy_slots(from) } else { 0 };
        *self.expected.entry(from).or_default() -= load;
        *self.expected.entry(to).or_default() += load;
        *self.towards.entry(to).or_default() += 1;
        self.moved.insert(slot);
        self.left = self.left.saturating_sub(1);
        self.planned.push(PlannedMove {
            slot,
            from: from.clone(),
            to: to.clone(),
            load,
            left,
            heavy,
            why,
        });
    }

    /// Whether a slot of this load is hard to place.
    pub fn is_heavy(&self, load: Load) -> bool {
        self.view.is_heavy(load)
    }

    /// Number of heavy slots of an attended server, planned moves aside.
    pub fn heavy_slots(&self, server: &ServerId) -> usize {
        self.view.servers.get(server).map_or(0, |server| self.view.heavy_slots(server))
    }

    /// Whether a move away from the server is planned.
    pub fn gives(&self, server: &ServerId) -> bool {
        self.planned.iter().any(|planned| planned.from == *server)
    }

    pub fn finish(self) -> Vec<PlannedMove> {
        self.planned
    }

    pub fn has_free_move(&self, to: &ServerId) -> bool {
        let planned = self.towards.get(to).copied().unwrap_or_default();
        self.progress.towards(to) + planned < self.policy.pace.to_one_server
    }

    /// The heaviest slot of up to `wanted`, since fewer moves are less churn; else the lightest
    /// above that still leaves both servers better off.
    fn best_slot(
        &self,
        from: &ServerId,
        to: &ServerId,
        wanted: Load,
        room: Load,
    ) -> Option<(SlotId, Load)> {
        let gap = self.expected(from) - self.expected(to);
        // A cold server is never filled beyond its room: it would answer its first requests late.
        let limit = if self.is_cold(to) { room } else { room.max(gap.times(0.5)) };
        let candidates: Vec<_> = self
            .movable(from)
            .into_iter()
            .filter(|(_, load)| *load <= limit && self.pays(*load, gap))
            .collect();
        let by_load = |a: &&(SlotId, Load), b: &&(SlotId, Load)| a.1.0.total_cmp(&b.1.0);
        let within = candidates.iter().filter(|(_, load)| *load <= wanted).max_by(by_load);
        within.or_else(|| candidates.iter().min_by(by_load)).copied()
    }

    fn is_cold(&self, server: &ServerId) -> bool {
        let standing = self.view.servers.get(server).map(|server| server.standing);
        matches!(standing, Some(Standing::Cold { .. }))
    }

    /// Whether moving `load` between servers whose loads differ by `gap` is worth its cost.
    fn pays(&self, load: Load, gap: Load) -> bool {
        if self.mean.0 <= 0.0 {
            return false;
        }
        let relief = load.min(gap - load).0 / self.mean.0;
        let weights = self.policy.weights;
        let gain = weights.unavailable * relief * self.policy.horizon.as_secs_f64();
        let pause = weights.unavailable * self.policy.pause.as_secs_f64() * load.0 / self.mean.0;
        relief > MIN_GAIN && gain > pause + weights.churn
    }
}

/// Load up to which a server of this standing may be filled.
pub(crate) fn room(standing: Standing, mean: Load, policy: &Policy, now: Instant) -> Load {
    match standing {
        Standing::Active => mean.times(policy.stop),
        Standing::Cold { since } => {
            let warm = now.saturating_duration_since(since).as_secs_f64()
                / policy.warm_up.as_secs_f64().max(f64::MIN_POSITIVE);
            mean.times(warm.clamp(COLD_FLOOR, 1.0))
        }
        Standing::Draining | Standing::Gone => Load(0.0),
    }
}

/// Mean load of the active servers that the view knows well enough.
pub(crate) fn mean(view: &View, policy: &Policy, now: Instant) -> Load {
    let known: Vec<Load> = view
        .servers
        .values()
        .filter(|server| server.standing.is_active() && is_fresh(server, policy, now))
        .map(|server| server.expected())
        .collect();
    known.iter().copied().sum::<Load>().times(1.0 / known.len().max(1) as f64)
}

fn is_fresh(server: &ServerView, policy: &Policy, now: Instant) -> bool {
    let age = server.measured.map(|measured| now.saturating_duration_since(measured));
    age.is_some_and(|age| age <= policy.stale_after)
}
