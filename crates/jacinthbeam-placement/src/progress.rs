//! Moves begun by this host: pace, and load that measurements do not show yet.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use crate::{
    planned::PlannedMove,
    policy::{Pace, Policy},
    view::{Load, View},
};

/// Moves of one service that this host began or accepted of late.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    moves: Vec<Begun>,
    permits: Option<Permits>,
}

#[derive(Debug, Clone, PartialEq)]
struct Begun {
    slot: SlotId,
    from: ServerId,
    to: ServerId,
    load: Load,
    ended: Option<End>,
    /// A move that another host carries out, which doesn't count towards the pace of this one.
    accepted: bool,
}

impl Begun {
    /// Part of the load that a measurement which ended at `measured` does not show: all of it until
    /// the move ends, and less as the window of measurement passes over that time.
    fn hidden(&self, measured: Option<Instant>, policy: &Policy) -> f64 {
        let (Some(end), Some(measured)) = (self.ended, measured) else { return 1.0 };
        let window = policy.window.as_secs_f64().max(f64::MIN_POSITIVE);
        (1.0 - measured.saturating_duration_since(end.at).as_secs_f64() / window).max(0.0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct End {
    at: Instant,
    done: bool,
}

/// Token bucket of the moves that may begin.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Permits {
    left: f64,
    at: Instant,
}

impl Progress {
    /// How many moves may begin now.
    pub fn allowance(&self, pace: &Pace, now: Instant) -> usize {
        let running =
            self.moves.iter().filter(|begun| begun.ended.is_none() && !begun.accepted).count();
        let permits = self.permits_at(pace, now) as usize;
        permits.min(pace.in_progress.saturating_sub(running))
    }

    /// Moves in progress towards `server`, as far as this host knows.
    pub fn towards(&self, server: &ServerId) -> usize {
        self.moves.iter().filter(|begun| begun.ended.is_none() && begun.to == *server).count()
    }

    /// Whether the slot is being moved.
    pub fn is_moving(&self, slot: SlotId) -> bool {
        self.moves.iter().any(|begun| begun.ended.is_none() && begun.slot == slot)
    }

    /// Notes that this host carries out `planned`.
    pub fn begin(&mut self, planned: &PlannedMove, pace: &Pace, now: Instant) {
        self.permits = Some(Permits { left: self.permits_at(pace, now) - 1.0, at: now });
        self.push(planned, false);
    }

    /// Notes that this host agreed to gain the slot for a server that it attends.
    ///
    /// If the move was begun here too, since both servers are attended by this host, it is counted once.
    pub fn accept(&mut self, planned: &PlannedMove) {
        if !self.is_moving(planned.slot) {
            self.push(planned, true);
        }
    }

    /// Notes that the move of the slot was carried out (`done`) or given up.
    pub fn end(&mut self, slot: SlotId, done: bool, now: Instant) {
        for begun in self.moves.iter_mut().filter(|begun| begun.slot == slot) {
            begun.ended.get_or_insert(End { at: now, done });
        }
    }

    /// Adds to each server in the view the load of moves that its measurement does not show, and
    /// forgets old moves.
    ///
    /// Without this a host would go on relieving a server for as long as the window of measurement
    /// lasts, and empty it.
    pub fn add_pending(&mut self, view: &mut View, policy: &Policy, now: Instant) {
        let keep = policy.window + policy.stale_after;
        self.moves.retain(|begun| {
            begun.ended.is_none_or(|end| end.done && now.saturating_duration_since(end.at) <= keep)
        });
        for begun in &self.moves {
            if let Some(from) = view.servers.get_mut(&begun.from) {
                from.pending -= begun.load.times(begun.hidden(from.measured, policy));
            }
            if let Some(to) = view.servers.get_mut(&begun.to) {
                to.pending += begun.load.times(begun.hidden(to.measured, policy));
            }
        }
    }

    fn push(&mut self, planned: &PlannedMove, accepted: bool) {
        let PlannedMove { slot, from, to, load, .. } = planned.clone();
        self.moves.push(Begun { slot, from, to, load, ended: None, accepted });
    }

    fn permits_at(&self, pace: &Pace, now: Instant) -> f64 {
        let full = pace.burst.max(1) as f64;
        match self.permits {
            None => full,
            Some(permits) => {
                let passed = now.saturating_duration_since(permits.at).as_secs_f64();
                (permits.left + passed * pace.per_second.0).min(full)
            }
        }
    }
}
