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
const MOST_ANSWERS: usize = 4096;

#[derive(Debug)]
struct Answer {
    head: HeadDigest,
    body: Bytes,
    caller: IpAddr,
    at: Instant,
}

/// Requests that this host answered lately.
#[derive(Debug, Default)]
pub struct RecentSuccesses {
    of: VecDeque<Answer>,
}

impl RecentSuccesses {
    /// A request of `caller` ran to a good end.
    pub fn add(&mut self, head: HeadDigest, body: Bytes, caller: IpAddr, at: Instant) {
        let is_old = |answer: &Answer| at.saturating_duration_since(answer.at) >= RETENTION;
        while self.of.len() >= MOST_ANSWERS || self.of.front().is_some_and(is_old) {
            self.of.pop_front();
        }
        self.of.push_back(Answer { head, body, caller, at });
    }

    /// What these answers say of requests that servers are known to have crashed under.
    pub fn facts_for(&self, suspects: &Suspects) -> Vec<Fact> {
        let of_suspect = |answer: &&Answer| suspects.contains_head(answer.head);
        let facts = self.of.iter().filter(of_suspect).filter_map(|answer| {
            let request = Fingerprint::of(answer.head, &answer.body);
            let suspect = suspects.get(&request)?;
            let counts =
                answer.at >= suspect.first_crash && suspect.callers.contains(&answer.caller);
            let outcome = Outcome::Succeeded { caller: answer.caller };
            counts.then_some(Fact { request, outcome, at: answer.at })
        });
        facts.collect()
    }
}
