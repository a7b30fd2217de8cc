//! A consistent snapshot of the routing state, and how fresh it is.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::Classes;
use jacinthbeam_crash::{Suspects, probe::Rank};
use jacinthbeam_dispatch::subset::Position;
use jacinthbeam_range::Map;
use jacinthbeam_route::{Config, Servers};
use jacinthbeam_types::prelude::*;

/// Snapshot of the configuration, the backend servers and the owners of keys, as known to this host. Replaced as a whole on each
/// change.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration; `None` until the first one was read.
    pub config: Option<Arc<Config>>,
    /// The list of backend servers.
    pub servers: Arc<Servers>,
    /// Servers that are draining or were removed from the list.
    pub leaving: Arc<BTreeMap<ServerId, Leaving>>,
    /// Evacuated failure domains, and since when. Their servers are listed as draining.
    pub evacuated: Arc<BTreeMap<FailureDomain, Leaving>>,
    /// Cold servers whose service limits their rate.
    pub cold: Arc<BTreeMap<ServerId, ColdServer>>,
    /// Ownership map of each keyed service.
    pub maps: BTreeMap<ServiceName, Arc<Map>>,
    /// Number of hosts that share the retry budget; 0 while it is unknown.
    pub hosts: u32,
    /// Position of this host among the hosts of its failure domain, for its preferred subset of servers.
    pub subset_position: Position,
    /// Rank of this host among all hosts, for probes of requests on probation.
    pub rank: Rank,
    /// Requests under which servers have crashed.
    pub suspects: Arc<Suspects>,
    /// Services without keys whose hosts exchange their load, with the ranks of their routes.
    pub load_shared: Arc<BTreeMap<ServiceName, Classes>>,
    /// Services with keys whose routes have more than one rank, with these ranks.
    pub mixed_ranks: Arc<BTreeMap<ServiceName, BTreeSet<u32>>>,
}

impl View {
    /// Whether a request may still be sent to `server`, given the grace period of draining and evacuated servers.
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

    /// Slow start of a server at `now`; `None` if the server is not rate-limited.
    pub fn cold_server(&self, server: &ServerId, now: Instant) -> Option<&ColdServer> {
        self.cold.get(server).filter(|cold| now < cold.until)
    }
}

/// How long requests may be sent to a server after the store recorded that it is draining or evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    /// Grace period of a server that is draining or was removed from the list.
    pub drained: Duration,
    /// Grace period of a server whose failure domain the operator evacuates.
    pub evacuated: Duration,
}

/// Slow start of a cold server, as it applies to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdServer {
    /// When the server is warm.
    pub until: Instant,
    /// Minimum time between two requests of this host; `None` if this host is not one of its senders.
    pub spacing: Option<Duration>,
}

/// How fresh the state of a host is. Published separately from the [`View`], since it changes with each read of the store, even if
/// the state doesn't.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The view has the newest configuration of those that were acknowledged before this moment; `None` if unknown.
    pub config: Option<Instant>,
    /// The view has every change of the servers that the store recorded before this moment; `None` if unknown.
    pub servers: Option<Instant>,
    /// When the control thread last published this. It does so at each of its ticks.
    pub updated: Option<Instant>,
}

/// Time without an update by the control thread after which it counts as stalled: ten of its ticks.
const STALLED_AFTER: Duration = Duration::from_secs(1);

impl Freshness {
    /// Whether the control thread is stalled for so long that servers of the view may have passed `drain_within`.
    ///
    /// A host without CPU time for updates continues to use servers that have left: a request was sent 2.7 s after the store
    /// had recorded that its server was draining, where 2 s are allowed. Callers of a stalled host are refused and retry at
    /// another one. If the control thread runs but the server list is stale, the store is unavailable, presumably for all hosts,
    /// and the host continues to serve.
    pub fn is_stalled(&self, now: Instant, drain_within: Duration) -> bool {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let is_silent = since(self.updated).is_some_and(|silence| silence > STALLED_AFTER);
        is_silent && since(self.servers).is_some_and(|age| age > drain_within)
    }
}

/// Earliest time at which the store can have recorded that a server is leaving, which means that it drains, was removed or is
/// evacuated.
///
/// The time at which this host received the record is no such bound. Updates that are relayed by several hosts, or by a slow
/// one, took up to 1.4 s, and with a fixed grace period from then on a server would get requests after its exit. But the store
/// can't have recorded it before the start of the last read that didn't contain it, however long the update took from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// Not before this moment.
    Since(Instant),
    /// No lower bound is known.
    Unbounded,
}

impl Leaving {
    /// Bound from a read of the store at `as_of` that didn't contain the record; `None` if there is none.
    pub fn after(as_of: Option<Instant>) -> Self {
        as_of.map_or(Self::Unbounded, Self::Since)
    }

    /// The later, that is tighter, of two lower bounds that both hold.
    #[must_use]
    pub fn tighter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Since(at), Self::Since(other)) => Self::Since(at.max(other)),
            (Self::Unbounded, bound) | (bound, Self::Unbounded) => bound,
        }
    }

    /// Time since the bound; [`Duration::MAX`] if there is none.
    pub fn elapsed(self, now: Instant) -> Duration {
        match self {
            Self::Since(at) => now.saturating_duration_since(at),
            Self::Unbounded => Duration::MAX,
        }
    }
}
