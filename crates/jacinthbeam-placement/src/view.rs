//! What one entry host knows of the loads of one service when it decides.

use std::{
    collections::BTreeMap,
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::policy::Policy;

/// Busy time per second of measurement: the average number of requests running at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Load(pub f64);

impl Load {
    /// The load of `busy` time spent within `window`; 0 for an empty window.
    pub fn of(busy: Duration, window: Duration) -> Self {
        if window.is_zero() { Self(0.0) } else { Self(busy.as_secs_f64() / window.as_secs_f64()) }
    }

    /// The load times `factor`.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self(self.0 * factor)
    }

    /// The smaller of two loads.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// The larger of two loads.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for Load {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl SubAssign for Load {
    fn sub_assign(&mut self, other: Self) {
        self.0 -= other.0;
    }
}

impl Sum for Load {
    fn sum<I: Iterator<Item = Self>>(loads: I) -> Self {
        Self(loads.map(|load| load.0).sum())
    }
}

/// One service as seen by one entry host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// Backend servers that this host attends, and a sample of the others.
    pub servers: BTreeMap<ServerId, ServerView>,
    /// Load at which a backend server is full: the requests it runs at once.
    pub capacity: Load,
    /// Active backend servers of the whole service, in the view or not.
    pub active: usize,
}

/// A slot is heavy above this share of a server's capacity. Taken of the capacity and not of the
/// mean load, so that all hosts agree on it.
const HEAVY: f64 = 0.1;

impl View {
    /// Whether a slot of this load is hard to place.
    pub fn is_heavy(&self, load: Load) -> bool {
        load > self.capacity.times(HEAVY)
    }

    /// Number of heavy slots of an attended server.
    pub fn heavy_slots(&self, server: &ServerView) -> usize {
        server.slots.values().filter(|slot| self.is_heavy(slot.load)).count()
    }
}

/// One backend server in a [`View`].
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    /// Cell that the server belongs to.
    pub cell: CellId,
    /// Whether it may gain slots.
    pub standing: Standing,
    /// Measured load.
    pub load: Load,
    /// End of the window that `load` was measured over; `None` if it is an estimate. Estimates and
    /// old measurements count only for the slots of a lost or leaving server, which must go
    /// somewhere.
    pub measured: Option<Instant>,
    /// Load of moves begun that `load` does not show yet: positive if the server gains.
    pub pending: Load,
    /// Whether this host attends the server and so decides about its slots.
    pub attended: bool,
    /// Its slots; known for attended servers only.
    pub slots: BTreeMap<SlotId, SlotView>,
}

impl ServerView {
    /// The load once all moves that were begun show in the measurement; never below 0.
    pub fn expected(&self) -> Load {
        (self.load + self.pending).max(Load(0.0))
    }
}

/// Whether a backend server may gain slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Active,
    /// It may, but only as far as it has warmed up.
    Cold {
        /// When the server started.
        since: Instant,
    },
    /// It gets no new work, and its slots are to go elsewhere.
    Draining,
    /// It is evicted or left.
    Gone,
}

impl Standing {
    /// Whether the server may gain slots at all.
    pub fn is_active(self) -> bool {
        matches!(self, Self::Active | Self::Cold { .. })
    }
}

/// One slot of an attended backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotView {
    /// Its part of the server's load.
    pub load: Load,
    /// When it last changed its owner, or the start of this host's process if that is later, so
    /// that a restarted host does not take slots that were moved moments ago for old ones. `None`
    /// for a hot key that was just split out and may move at once.
    pub since: Option<Instant>,
}

impl SlotView {
    /// Whether the slot has stood long enough to move again.
    pub fn is_old(&self, policy: &Policy, now: Instant) -> bool {
        self.since.is_none_or(|since| now.saturating_duration_since(since) >= policy.min_age)
    }
}
