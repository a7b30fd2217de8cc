//! Whether a failed attempt is followed by another one, and when.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

pub use crate::process::budget::{self, Budget};

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Longest delay before the first retry; doubled for each further one.
    pub base: Duration,
    /// Longest delay of all.
    pub most: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(20), most: Duration::from_millis(500) }
    }
}

impl Backoff {
    /// Delay before the next attempt after `attempts` failed ones: between half and all of the doubled base.
    ///
    /// The jitter keeps callers that failed together from coming back together.
    pub fn delay(&self, attempts: u32, rng: &mut fastrand::Rng) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let longest = self.base.saturating_mul(1 << doublings).min(self.most);
        longest.mul_f64(0.5 + rng.f64() / 2.0)
    }
}

/// What happened to one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    count: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Counts a failed attempt.
    pub fn failed(&mut self, refusal: &Refusal) {
        self.count += 1;
        self.may_have_run |= refusal.verdict != Verdict::NotRun;
    }

    /// Failed attempts so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The refusal with the verdict that holds for all attempts.
    ///
    /// A last attempt that was not run proves nothing of the earlier ones: a caller told `not-run`
    /// for it alone would be told wrong.
    fn settle(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.verdict == Verdict::NotRun {
            refusal.verdict = Verdict::MayHaveRun;
        }
        refusal
    }
}

/// The failed attempt that is to be judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// How it failed.
    pub refusal: Refusal,
    /// Whether a repeat is harmless, by the method or the caller's word.
    pub idempotent: bool,
    /// Whether anything was sent, to an attendant or a backend server. An attempt judged on this
    /// host alone costs nobody anything and no token.
    pub left_host: bool,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Try again after this delay, by a fresh look at who owns the key.
    Retry {
        /// Delay from now.
        after: Duration,
    },
    /// Answer the caller with this, at once.
    GiveUp(Refusal),
}

/// Decides on a retry. Call [`Attempts::failed`] with the same refusal first.
pub fn decide(
    failure: Failure,
    attempts: &Attempts,
    budget: &mut Budget,
    now: Instant,
    deadline: Instant,
    backoff: &Backoff,
    rng: &mut fastrand::Rng,
) -> Decision {
    let delay = backoff.delay(attempts.count(), rng);
    let hint = failure.refusal.retry_after.unwrap_or_default();
    let after = delay.max(hint);
    // A retry that could only start at the deadline would hold the answer back for nothing.
    let in_time = now + after < deadline;
    if !is_harmless(&failure) || !may_help(failure.refusal.reason) || !in_time {
        return give_up(failure, attempts, delay);
    }
    if failure.left_host && !budget.spend() {
        return give_up(failure, attempts, delay);
    }
    Decision::Retry { after }
}

fn give_up(failure: Failure, attempts: &Attempts, delay: Duration) -> Decision {
    let mut refusal = attempts.settle(failure.refusal);
    if refusal.retry_after.is_none() && may_help(refusal.reason) {
        refusal.retry_after = Some(delay);
    }
    Decision::GiveUp(refusal)
}

fn is_harmless(failure: &Failure) -> bool {
    failure.idempotent || failure.refusal.verdict == Verdict::NotRun
}

/// Whether another attempt may end otherwise.
fn may_help(reason: Reason) -> bool {
    match reason {
        Reason::NoOwner
        | Reason::Moving
        | Reason::NotAttendant
        | Reason::NoLease
        | Reason::Unreachable
        | Reason::RefusedByServer
        | Reason::ConnectionLost
        | Reason::AnswerCut
        | Reason::NoCopy
        | Reason::Stopping => true,
        // An overloaded backend server is not helped by a repeat; the caller gets its hint instead.
        Reason::Overloaded
        | Reason::BadRequest
        | Reason::UnknownService
        | Reason::NoConfiguration
        | Reason::DeadlinePassed
        | Reason::Cancelled
        | Reason::KeyReused
        | Reason::InProgress
        | Reason::MemoryLost
        | Reason::PeerProtocol => false,
    }
}
