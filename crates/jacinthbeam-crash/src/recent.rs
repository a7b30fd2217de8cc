//! Answers of the last seconds, for evidence that arrives after them.
//!
//! A host clears a request that it answers only if it knows that servers have crashed under it. An update that is late finds the
//! answer here, and the answer counts from when it was given.

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

/// How long an answer is kept: hosts in touch observe a crash within this time.
pub const RETENTION: Duration = Duration::from_secs(3);

/// Answers that are kept.
const MAX_SUCCESSES: usize = 4096;

#[derive(Debug)]
struct Success {
    head: HeadDigest,
    body: Bytes,
    caller: IpAddr,
    at: Instant,
}

/// Requests that this host answered lately.
#[derive(Debug, Default)]
pub struct RecentSuccesses {
    successes: VecDeque<Success>,
}

impl RecentSuccesses {
    /// A request of `caller` ran to a good end.
    pub fn add(&mut self, head: HeadDigest, body: Bytes, caller: IpAddr, at: Instant) {
        let is_old = |success: &Success| at.saturating_duration_since(success.at) >= RETENTION;
        while self.successes.len() >= MAX_SUCCESSES || self.successes.front().is_some_and(is_old) {
            self.successes.pop_front();
        }
        self.successes.push_back(Success { head, body, caller, at });
    }

    /// What these answers say of requests that servers are known to have crashed under.
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
