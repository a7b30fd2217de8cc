//! What can be tuned about the placement of one service.

use std::time::Duration;

use jacinthbeam_config::{Balance, HotKey, Policy as ConfiguredKind};
use jacinthbeam_types::prelude::*;

use crate::hot;

/// How a host looks for moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Slots move only when a server is lost, joins or leaves.
    Static,
    /// An overloaded server gives to any sampled server with room, picked at random by the size of its room.
    Threshold,
    /// An overloaded server gives to the less loaded of two servers drawn at random from the sample.
    TwoChoices,
    /// An underloaded server asks another one for load. Not configurable: it lost where it was weighed.
    IdleInitiated,
}

/// What a second of overload and a change of ownership cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Cost of one second in which the load of one average server is not served well.
    pub unavailable: f64,
    /// Cost of one change of ownership.
    pub churn: f64,
}

/// How fast one host moves slots of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Moves begun a second, on average.
    pub per_second: Rate,
    /// Moves that may begin at once after a time without any; 0 counts as 1. Within a time `t` at most
    /// `burst + per_second * t` moves begin.
    pub burst: usize,
    /// Moves in progress at once.
    pub in_progress: usize,
    /// Moves in progress at once towards one gaining server.
    pub to_one_server: usize,
}

/// Decisions about one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// How moves are looked for.
    pub kind: Kind,
    /// What is weighed against what.
    pub weights: Weights,
    /// A server is relieved once its load exceeds the mean by this factor.
    pub start: f64,
    /// It is then relieved down to the mean times this factor, which also bounds the gaining server.
    pub stop: f64,
    /// No server is relieved that uses less than this share of its capacity: imbalance among idle
    /// servers costs nothing.
    pub quiet: f64,
    /// How fast slots move.
    pub pace: Pace,
    /// Least time between two moves of a slot.
    pub min_age: Duration,
    /// Time a cold server needs until it can carry an average load.
    pub warm_up: Duration,
    /// Window that loads are measured over.
    pub window: Duration,
    /// Measurements of other servers older than this are ignored.
    pub stale_after: Duration,
    /// How long an imbalance is expected to last if nothing moves.
    pub horizon: Duration,
    /// How long the keys of a slot are unavailable while it moves.
    pub pause: Duration,
    /// Whether the slots of a lost server stay in its failure domain if that has an active server.
    pub prefer_failure_domain: bool,
    /// Split and merge of hot keys.
    pub hot: hot::Options,
}

/// Part of an average load that a server may gain when it has just started.
pub(crate) const COLD_FLOOR: f64 = 0.2;

impl Default for Policy {
    /// For services that weigh unavailable time most.
    fn default() -> Self {
        Self {
            kind: Kind::Threshold,
            weights: Weights { unavailable: 1.0, churn: 0.2 },
            start: 1.15,
            stop: 1.05,
            quiet: 0.05,
            pace: Pace { per_second: Rate(1.0), burst: 4, in_progress: 4, to_one_server: 2 },
            min_age: Duration::from_secs(60),
            warm_up: Duration::from_secs(30),
            window: Duration::from_secs(10),
            stale_after: Duration::from_secs(10),
            horizon: Duration::from_secs(300),
            pause: Duration::from_millis(100),
            prefer_failure_domain: false,
            hot: hot::Options::default(),
        }
    }
}

impl Policy {
    /// For services that weigh churn most.
    pub fn low_churn() -> Self {
        Self {
            weights: Weights { unavailable: 1.0, churn: 4.0 },
            start: 1.2,
            stop: 1.1,
            pace: Pace { per_second: Rate(0.2), burst: 4, in_progress: 2, to_one_server: 1 },
            min_age: Duration::from_secs(600),
            horizon: Duration::from_secs(600),
            ..Self::default()
        }
    }

    /// The policy of a service for a host that attends the part `share`, from 0 to 1, of its active servers.
    ///
    /// The configured pace counts for the whole service, and a host takes the part of it that its
    /// servers stand for. So no host needs to know the moves of others for the whole to keep to the
    /// pace.
    pub fn configured(balance: &Balance, share: f64) -> Self {
        let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
        let a_minute = f64::from(balance.moves_per_minute) * share;
        let HotKey { split_above, merge_below, cool_for, most } = balance.hot_key;
        let default = Self::default();
        let burst = (a_minute / 10.0).ceil() as usize;
        let in_progress = if a_minute > 0.0 { default.pace.in_progress } else { 0 };
        Self {
            kind: kind(balance.policy),
            weights: Weights {
                unavailable: balance.weights.unavailable,
                churn: balance.weights.churn,
            },
            start: balance.start_above,
            stop: balance.stop_below,
            pace: Pace { per_second: Rate(a_minute / 60.0), burst, in_progress, ..default.pace },
            // Before that the load of a slot that came is not fully measured; it would move on as a light one.
            min_age: balance.min_stay.max(default.window),
            warm_up: balance.warm_up,
            hot: hot::Options { split_above, merge_below, cool_for, max_split: most as usize },
            ..default
        }
    }
}

fn kind(configured: ConfiguredKind) -> Kind {
    match configured {
        ConfiguredKind::Static => Kind::Static,
        ConfiguredKind::Threshold => Kind::Threshold,
        ConfiguredKind::PowerOfTwoChoices => Kind::TwoChoices,
    }
}
