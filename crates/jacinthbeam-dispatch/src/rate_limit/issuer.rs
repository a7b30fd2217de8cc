//! Permits to send to a server that states a rate limit.
//!
//! A fixed division of the limit among all hosts would refuse nearly everything in a large fleet, where each host sends a server a request in
//! minutes: its part of the limit is spent by the first of them, and lies idle at the others. So the limit is counted in few places: for each
//! server, [`ISSUERS`] hosts are selected by rendezvous hashing, and each of them issues permits for its part of the limit to whoever asks.
//! Hosts with different host lists may select other issuers; the burst of an issuer is small enough that one additional issuer does no harm.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::{KnownLimit, Statement};

/// Number of hosts that issue permits for a server. If one of them is lost, the other continues.
pub const ISSUERS: usize = 2;

/// Permits that an issuer may issue in a single moment after an idle time.
const BURST: f64 = 1.5;

/// Bounds of the wait after a denial. The upper one bounds how long a host misses that the limit was raised or withdrawn.
const MIN_WAIT: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time without any request after which a server is forgotten. Its bucket is full by then, as that of a server that is not known.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The hosts out of `hosts` that issue permits for a server, in the order of their weights.
pub fn select<'a>(server: &ServerId, hosts: impl Iterator<Item = &'a HostId>) -> Vec<HostId> {
    let weight = |host: &HostId| KeyHash::of(format!("{server} {host}").as_bytes());
    let mut selected: Vec<(KeyHash, &HostId)> = Vec::with_capacity(ISSUERS + 1);
    for host in hosts {
        selected.push((weight(host), host));
        selected.sort_by(|a, b| b.cmp(a));
        selected.truncate(ISSUERS);
    }
    selected.into_iter().map(|(_, host)| host.clone()).collect()
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Whether one request may be sent.
    pub granted: bool,
    /// Time until the next permit can be issued.
    pub wait: Duration,
    /// The newest statement that the issuer knows.
    pub statement: Statement,
}

/// Issues this host's part of the permits for the servers that it is selected for.
#[derive(Debug)]
pub struct PermitIssuer {
    started: Instant,
    buckets: BTreeMap<ServerId, Bucket>,
}

/// A token bucket, filled at the issuer's part of the server's limit.
#[derive(Debug)]
struct Bucket {
    limit: KnownLimit,
    tokens: f64,
    filled_at: Instant,
}

impl PermitIssuer {
    /// Creates the issuer of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { started: now, buckets: BTreeMap::new() }
    }

    /// Applies a statement about a server that this process issues permits for.
    pub fn apply(&mut self, server: &ServerId, statement: Statement) {
        if let Some(bucket) = self.buckets.get_mut(server) {
            bucket.limit.apply(statement);
        }
    }

    /// Decides on a request for a permit of a host that knows `statement`. `issuers` is the number of hosts that issue permits for the server.
    pub fn request(
        &mut self,
        server: &ServerId,
        statement: Statement,
        issuers: usize,
        now: Instant,
    ) -> Decision {
        // As if it had existed since the start of the process: what the process before it has issued is not known.
        let new = Bucket { limit: KnownLimit::default(), tokens: 0.0, filled_at: self.started };
        let bucket = self.buckets.entry(server.clone()).or_insert(new);
        bucket.limit.apply(statement);
        let statement = bucket.limit.newest().unwrap_or(statement);
        let Some(rate) = statement.rate else {
            return Decision { granted: true, wait: Duration::ZERO, statement };
        };
        let (granted, wait) = bucket.take(rate.max(Rate::PROBE), issuers, now);
        Decision { granted, wait, statement }
    }

    /// Forgets servers that no host has asked for lately.
    pub fn expire(&mut self, now: Instant) {
        let is_used =
            |bucket: &Bucket| now.saturating_duration_since(bucket.filled_at) < IDLE_TIMEOUT;
        self.buckets.retain(|_, bucket| is_used(bucket));
    }
}

impl Bucket {
    /// Takes a token if there is one. Returns whether there was, and the time until there is another.
    fn take(&mut self, rate: Rate, issuers: usize, now: Instant) -> (bool, Duration) {
        let per_second = rate.per_second() / issuers.max(1) as f64;
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * per_second).min(BURST);
        self.filled_at = now.max(self.filled_at);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / per_second).unwrap_or(MAX_WAIT);
        (granted, wait.clamp(MIN_WAIT, MAX_WAIT))
    }
}
