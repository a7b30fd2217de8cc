//! Successful requests of the last seconds, for evidence of crashes that arrives after them.
//!
//! A host reports a success only for requests that it knows servers to have crashed under. If it
//! receives that evidence late, the success is found here and counts from the time of the response.

use std::{
    collections::VecDeque,
    net::IpAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::{
    cases::{Fact, Outcome},
    fingerprint::{Fingerprint, HeadDigest},
    suspects::Suspects,
};

/// How long a success is kept: the maximum delay of the evidence of a crash for which an earlier
/// success is still found. Connected hosts receive the evidence within this time.
pub const RETENTION: Duration = Duration::from_secs(3);

/// Maximum number of successes that are kept.
const MAX_SUCCESSES: usize = 4096;

/// Maximum size of their bodies in all.
const MAX_BODY_BYTES: usize = 4 << 20;

#[derive(Debug)]
struct Success {
    head: HeadDigest,
    body: Bytes,
    caller: IpAddr,
    at: Instant,
}

/// Requests that recently succeeded at this host.
#[derive(Debug, Default)]
pub struct RecentSuccesses {
    successes: VecDeque<Success>,
    body_bytes: usize,
}

impl RecentSuccesses {
    /// Adds a successful request of `caller`.
    pub fn add(&mut self, head: HeadDigest, body: Bytes, caller: IpAddr, at: Instant) {
        let is_old = |success: &Success| at.saturating_duration_since(success.at) >= RETENTION;
        if body.len() > MAX_BODY_BYTES {
            return;
        }
        while self.successes.len() >= MAX_SUCCESSES
            || self.body_bytes + body.len() > MAX_BODY_BYTES
            || self.successes.front().is_some_and(is_old)
        {
            let dropped = self.successes.pop_front().map_or(0, |success| success.body.len());
            self.body_bytes -= dropped;
        }
        self.body_bytes += body.len();
        self.successes.push_back(Success { head, body, caller, at });
    }

    /// Successes of suspect requests, as facts that clear the crashes before them.
    pub fn facts_for(&self, suspects: &Suspects) -> Vec<Fact> {
        let may_be_suspect = |success: &&Success| suspects.contains_head(success.head);
        let facts = self.successes.iter().filter(may_be_suspect).filter_map(|success| {
            let request = Fingerprint::of(success.head, &success.body);
            let suspect = suspects.get(&request)?;
            let counts =
                success.at >= suspect.first_crash && suspect.callers.contains(&success.caller);
            let outcome = Outcome::Succeeded { caller: success.caller };
            counts.then_some(Fact { request, outcome, at: success.at })
        });
        facts.collect()
    }
}
