//! Slow start: how much work all hosts together send to a server that is cold.
//!
//! A cold server takes a bounded number of requests a second from the whole fleet and crashes above it. Hosts can't ask each other before
//! each send, so a few of them, drawn by rendezvous hashing over the server and the hosts, may send to it at a spacing of their
//! own, and the others don't. The shares are sized so that twice as many senders as drawn stay within the bound: hosts whose lists
//! differ draw different senders.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

/// What the operator allows a cold server to get beyond the rate that it reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Factor on its rate.
    pub overrun: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { overrun: 1.5, slack: 8.0 }
    }
}

impl Bounds {
    /// Most requests that a cold server of this rate may get in any second.
    pub fn max_per_second(&self, rate: Rate) -> f64 {
        rate.per_second() * self.overrun + self.slack
    }
}

/// Senders of a cold server in this many views of the list of hosts at a time stay within the bound.
const CONCURRENT_HOST_LISTS: f64 = 2.0;

/// Sends of one host in any second.
const MAX_SENDS_PER_SECOND: f64 = 2.0;

/// Shortest spacing of one host's sends: at most [`SENDS_A_SECOND`] of them lie within any second.
const SHORTEST_SPACING: Duration = Duration::from_millis(550);

/// Spacing that leaves one send in any second.
const SINGLE_SEND_SPACING: Duration = Duration::from_millis(1050);

/// How a fleet shares the work of one cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Hosts that send to it.
    pub senders: usize,
    /// Pause between two sends of one of them.
    pub spacing: Duration,
}

impl Share {
    /// The share for servers that take `rate` while they are cold.
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

/// Whether `host` is one of the `senders` of a server among `hosts`.
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
    // A host that is not on its own list knows too little of the others.
    is_listed && heavier < senders
}

/// Sends of this host to one cold server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    last: Option<Instant>,
}

impl Pacer {
    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Instant, spacing: Duration) -> bool {
        self.last.is_none_or(|last| now.saturating_duration_since(last) >= spacing)
    }

    /// A request is sent.
    pub fn on_send(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
