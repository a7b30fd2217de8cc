//! Whether this host reaches the backend servers, derived from its own connection attempts.
//!
//! Only attempts to connect count, since answers on connections that were open before a network partition say nothing about new
//! ones. One server that can't be reached says more about the server than about this host. When several can't be reached and no
//! connection was established meanwhile, the host probes a few servers that are drawn at random, and counts as partitioned if
//! none of them accepts. It goes on probing, and is reachable again once most of the probed servers accept.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// Servers that can't be reached before this host suspects its own network.
const SUSPICIOUS_SERVERS: usize = 2;

/// Age at which a failed attempt no longer counts.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// Interval between the starts of two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Servers that are probed in one round.
pub const PROBED_SERVERS: usize = 3;

/// Reachability of the backend servers from this host.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    /// Servers that could not be reached since a connection was last established, and when that was last found.
    failed: BTreeMap<ServerId, Instant>,
    /// The last two servers that accepted a connection, latest first.
    connected: Vec<(ServerId, Instant)>,
    /// Since when this host counts as partitioned.
    partitioned_since: Option<Instant>,
    /// When the last round of probes started.
    probed_at: Option<Instant>,
    is_probing: bool,
}

/// Result of a round of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probed {
    /// Servers that were probed.
    pub servers: usize,
    /// Servers that accepted a connection.
    pub reached: usize,
}

impl Reachability {
    /// Records that a server accepted a connection.
    pub fn on_connected(&mut self, server: &ServerId, now: Instant) {
        self.connected.retain(|(other, _)| other != server);
        self.connected.insert(0, (server.clone(), now));
        self.connected.truncate(2);
        self.failed.clear();
    }

    /// Records that a server refused a connection or did not respond.
    pub fn on_unreachable(&mut self, server: &ServerId, now: Instant) {
        self.failed.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_TTL);
        self.failed.insert(server.clone(), now);
    }

    /// Whether this host counts as partitioned from the backend servers.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// Since when this host counts as partitioned.
    pub fn partitioned_since(&self) -> Option<Instant> {
        self.partitioned_since
    }

    /// Servers that could not be reached lately, while no connection was established.
    pub fn unreachable_servers(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < FAILURE_TTL;
        self.failed.values().filter(is_recent).count()
    }

    /// Whether this host may be partitioned.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.is_partitioned() || self.unreachable_servers(now) >= SUSPICIOUS_SERVERS
    }

    /// Whether another server than `server` has accepted a connection since `since`, so that the state of `server` is not that
    /// of the network.
    pub fn has_reached_other(&self, server: &ServerId, since: Instant) -> bool {
        self.connected.iter().any(|(other, at)| other != server && *at >= since)
    }

    /// Starts a round of probes if one is due. Its result must be passed to [`Self::on_probed`].
    pub fn begin_round(&mut self, now: Instant) -> bool {
        let is_recent =
            self.probed_at.is_some_and(|at| now.saturating_duration_since(at) < PROBE_INTERVAL);
        if self.is_probing || is_recent || !self.is_suspected(now) {
            return false;
        }
        self.is_probing = true;
        self.probed_at = Some(now);
        true
    }

    /// Ends a round of probes. Returns whether it changed whether this host counts as partitioned.
    pub fn on_probed(&mut self, probed: Probed, now: Instant) -> bool {
        self.is_probing = false;
        let was_partitioned = self.is_partitioned();
        if was_partitioned && probed.reached * 2 > probed.servers {
            self.partitioned_since = None;
            self.failed.clear();
        } else if !was_partitioned && probed.servers > 0 && probed.reached == 0 {
            self.partitioned_since = Some(now);
        }
        was_partitioned != self.is_partitioned()
    }
}
