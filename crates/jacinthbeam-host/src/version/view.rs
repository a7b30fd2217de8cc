//! One consistent set of everything that a request needs to know.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_crash::{Suspects, probe::Rank};
use jacinthbeam_dispatch::subset::Position;
use jacinthbeam_range::Map;
use jacinthbeam_route::{Config, Servers};
use jacinthbeam_types::prelude::*;

/// Configuration, backend servers and owners, as this host knows them now. Replaced as a whole at each change.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// `None` until the first configuration was read.
    pub config: Option<Arc<Config>>,
    /// The backend servers.
    pub servers: Arc<Servers>,
    /// Servers that are leaving, or have left the list.
    pub leaving: Arc<BTreeMap<ServerId, Leaving>>,
    /// Failure domains that are evacuated, and since when. Their servers are on the list as leaving ones.
    pub evacuated: Arc<BTreeMap<FailureDomain, Leaving>>,
    /// Cold servers whose service bounds what they get.
    pub cold: Arc<BTreeMap<ServerId, ColdServer>>,
    /// Owners of the keys of each keyed service.
    pub maps: BTreeMap<ServiceName, Arc<Map>>,
    /// Hosts that share the budget of repeats; 0 until they are known.
    pub hosts: u32,
    /// The place of this host among those of its failure domain.
    pub subset_position: Position,
    /// The place of this host among them.
    pub rank: Rank,
    /// Requests under which servers have ended.
    pub suspects: Arc<Suspects>,
}

impl View {
    /// Whether a request may still be sent to `server`, given how long it may be after the store took the word of its leaving.
    pub fn may_send(&self, server: &ServerId, now: Instant, grace: Grace) -> bool {
        let evacuated = self.servers.get(server).and_then(|s| self.evacuated.get(&s.domain));
        let is_over = |since: &Leaving| since.elapsed(now) >= grace.evacuated;
        if evacuated.is_some_and(is_over) {
            return false;
        }
        match self.leaving.get(server) {
            Some(leaving) => leaving.elapsed(now) < grace.drained,
            None => evacuated.is_some() || self.servers.takes_work(server),
        }
    }

    /// What a cold server may get of this host now; `None` if nothing bounds it.
    pub fn cold_server(&self, server: &ServerId, now: Instant) -> Option<&ColdServer> {
        self.cold.get(server).filter(|cold| now < cold.until)
    }
}

/// How long requests may go to a server after the store took the word that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    /// If the server said so itself, or left the list.
    pub drained: Duration,
    /// If the operator evacuates its failure domain.
    pub evacuated: Duration,
}

/// A cold server, and this host's part in what it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdServer {
    /// It is warm from then on.
    pub until: Instant,
    /// Pause between two requests of this host; `None` if others send to it, and this host doesn't.
    pub spacing: Option<Duration>,
}

/// How far what a host knows reaches. Told beside the view, since it changes with each read, also of one that finds nothing new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// No newer configuration than that of the view had been acknowledged before this moment; `None` if nothing is known of it.
    pub config: Option<Instant>,
    /// Everything that the store had taken of the servers before this moment is in the view.
    pub servers: Option<Instant>,
    /// When the control thread last said so. It does at each of its ticks.
    pub updated: Option<Instant>,
}

/// Silence of the control thread, in ten ticks, after which it counts as held up.
const HELD_UP_AFTER: Duration = Duration::from_secs(1);

impl Freshness {
    /// Whether servers of the view may have left so long ago that no request may reach them, and this host alone doesn't know.
    ///
    /// A host that has no time for what it hears goes on using what has left: a request was sent 2.7 s after the store had taken the word
    /// of a server's leaving, where 2 s are allowed. Told to come back, its callers reach another host. While the control thread has
    /// its turns, old news mean that the store is away, for everybody as far as this host can tell, and serving goes on.
    pub fn is_stalled(&self, now: Instant, drain_within: Duration) -> bool {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let silent = since(self.updated).is_some_and(|silent| silent > HELD_UP_AFTER);
        silent && since(self.servers).is_some_and(|age| age > drain_within)
    }
}

/// When the store took the word that a server leaves, at the earliest.
///
/// The time at which this host heard of it is no bound: news that pass several hosts, or a host that is behind, were seen to take 1.4 s,
/// and a server that is still used for a fixed time from then on gets requests after it has ended. The store can't have taken it
/// before the last read that didn't show it was sent, however long the news took from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// Not before this moment.
    Since(Instant),
    /// Nothing is known that would bound it.
    LongAgo,
}

impl Leaving {
    /// The word was not there at `as_of`, if that is known.
    pub fn after(as_of: Option<Instant>) -> Self {
        as_of.map_or(Self::LongAgo, Self::Since)
    }

    /// Of two bounds that both hold, the closer one.
    #[must_use]
    pub fn closer(self, other: Self) -> Self {
        match (self, other) {
            (Self::Since(at), Self::Since(other)) => Self::Since(at.max(other)),
            (Self::LongAgo, bound) | (bound, Self::LongAgo) => bound,
        }
    }

    /// How long ago that is; the longest time if it isn't known.
    pub fn elapsed(self, now: Instant) -> Duration {
        match self {
            Self::Since(at) => now.saturating_duration_since(at),
            Self::LongAgo => Duration::MAX,
        }
    }
}
