//! Slow start: limits the rate at which all hosts together send to a cold server.
//!
//! A cold server handles a bounded number of requests per second from the whole fleet, and crashes above that. Hosts can't
//! coordinate each send. So a few hosts are selected by rendezvous hashing over the server and the hosts. Each of them sends at
//! its own spacing, and the others don't send. Hosts with different host lists select different senders, so the shares are sized
//! for twice the number of selected senders.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

/// By how much the rate limit of a cold server may be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Factor on the rate.
    pub overrun: f64,
    /// Additional requests in any second.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { overrun: 1.5, slack: 8.0 }
    }
}

impl Bounds {
    /// Maximum number of requests that a cold server with this rate may get in any second.
    pub fn max_per_second(&self, rate: Rate) -> f64 {
        rate.per_second() * self.overrun + self.slack
    }
}

/// Number of different host lists in use at a time for which the senders stay within the limit.
const CONCURRENT_HOST_LISTS: f64 = 2.0;

/// Maximum number of sends of one host in any second.
const MAX_SENDS_PER_SECOND: f64 = 2.0;

/// Shortest spacing of one host's sends: at most [`MAX_SENDS_PER_SECOND`] of them lie within any second.
const SHORTEST_SPACING: Duration = Duration::from_millis(550);

/// Spacing at which at most one send lies within any second.
const SINGLE_SEND_SPACING: Duration = Duration::from_millis(1050);

/// How the fleet shares the sends to one cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Number of hosts that send to it.
    pub senders: usize,
    /// Minimum time between two sends of one of them.
    pub spacing: Duration,
}

impl Share {
    /// The share for servers that get `rate` while they are cold.
    pub fn of(rate: Rate, bounds: &Bounds) -> Self {
        let max_per_second = bounds.max_per_second(rate);
        let (sends, shortest) = match max_per_second >= CONCURRENT_HOST_LISTS * MAX_SENDS_PER_SECOND
        {
            true => (MAX_SENDS_PER_SECOND, SHORTEST_SPACING),
            false => (1.0, SINGLE_SEND_SPACING),
        };
        let senders = ((max_per_second / CONCURRENT_HOST_LISTS / sends) as usize).max(1);
        let sustained = (rate.per_second() * bounds.overrun).max(f64::MIN_POSITIVE);
        let spacing = Duration::try_from_secs_f64(senders as f64 / sustained);
        Self { senders, spacing: spacing.unwrap_or(Duration::MAX).max(shortest) }
    }
}

/// Whether `host` is one of the `senders` that are selected among `hosts` for a server.
pub fn is_sender<'a>(
    server: &ServerId,
    host: &HostId,
    hosts: impl Iterator<Item = &'a HostId>,
    senders: usize,
) -> bool {
    let weight = |host: &HostId| KeyHash::of(format!("{server} {host}").as_bytes());
    let own = weight(host);
    let mut is_listed = false;
    let mut heavier = 0;
    for other in hosts {
        is_listed |= other == host;
        heavier += usize::from(weight(other) > own);
    }
    // A host that is missing from its own list doesn't know enough of the fleet to select senders.
    is_listed && heavier < senders
}

/// Paces the sends of this host to one cold server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    last: Option<Instant>,
}

impl Pacer {
    /// Whether a request may be sent at `now`.
    pub fn may_send(&self, now: Instant, spacing: Duration) -> bool {
        self.last.is_none_or(|last| now.saturating_duration_since(last) >= spacing)
    }

    /// Records a send.
    pub fn on_send(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
