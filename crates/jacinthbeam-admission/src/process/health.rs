//! Judges a backend server by what it does. What its health and load endpoints say is a hint.

use std::time::{Duration, Instant};

/// What can be tuned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Failures or sheds in a row after which no more is sent for a while.
    pub failures: u32,
    /// First such while; doubled each time a trial fails.
    pub rest: Duration,
    /// Longest such while.
    pub longest_rest: Duration,
    /// How long an own observation ranks above the endpoints.
    pub fresh: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failures: 3,
            rest: Duration::from_millis(500),
            longest_rest: Duration::from_secs(10),
            fresh: Duration::from_secs(5),
        }
    }
}

/// What was seen of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It answered a request, after this time.
    Answered(Duration),
    /// It refused a request for lack of room.
    Shed,
    /// It could not be connected to, broke the connection, or cut the answer.
    Failed,
    /// Nothing came in time.
    Silent,
}

/// How a backend server is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// As usual.
    Good,
    /// Sent to, but other backend servers that could take the request come first.
    Doubtful,
    /// Nothing is sent until then.
    Resting {
        /// When a trial is due.
        until: Instant,
    },
    /// One request is sent to find out; [`Judge::trial`] takes it.
    Trial,
}

/// Standing of one backend server.
#[derive(Debug, Clone)]
pub struct Judge {
    options: Options,
    bad_in_row: u32,
    rests: u32,
    resting_until: Option<Instant>,
    trial: bool,
    seen: Option<Instant>,
    claimed_bad: bool,
    latency: Option<Duration>,
}

impl Judge {
    /// Nothing is known yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            bad_in_row: 0,
            rests: 0,
            resting_until: None,
            trial: false,
            seen: None,
            claimed_bad: false,
            latency: None,
        }
    }

    /// Takes what was seen.
    pub fn observe(&mut self, now: Instant, observation: Observation) {
        self.seen = Some(now);
        match observation {
            Observation::Answered(took) => self.answered(took),
            Observation::Shed | Observation::Failed | Observation::Silent => self.went_wrong(now),
        }
    }

    /// Takes what its health endpoint says.
    pub fn claims(&mut self, healthy: bool) {
        self.claimed_bad = !healthy;
    }

    /// How it is to be treated now.
    pub fn standing(&self, now: Instant) -> Standing {
        match self.resting_until {
            Some(until) if now < until || self.trial => Standing::Resting { until },
            Some(_) => Standing::Trial,
            None if self.bad_in_row > 0 || self.is_claim_heeded(now) => Standing::Doubtful,
            None => Standing::Good,
        }
    }

    /// Takes the trial, if one is due. Only one request is sent until it has been observed.
    pub fn trial(&mut self, now: Instant) -> bool {
        let due = self.standing(now) == Standing::Trial;
        self.trial |= due;
        due
    }

    /// The trial was not sent after all.
    pub fn trial_unused(&mut self) {
        self.trial = false;
    }

    /// Smoothed time of its answers.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    fn answered(&mut self, took: Duration) {
        self.bad_in_row = 0;
        self.rests = 0;
        self.resting_until = None;
        self.trial = false;
        self.latency = Some(self.latency.map_or(took, |old| (old * 7 + took) / 8));
    }

    fn went_wrong(&mut self, now: Instant) {
        self.bad_in_row = self.bad_in_row.saturating_add(1);
        // Failures of requests that were sent before the rest began say nothing new.
        let resting = self.resting_until.is_some_and(|until| now < until);
        if self.bad_in_row < self.options.failures || resting {
            return;
        }
        let rest = self.options.rest.saturating_mul(1 << self.rests.min(16));
        self.resting_until = Some(now + rest.min(self.options.longest_rest));
        self.rests += 1;
        self.trial = false;
    }

    /// A claim counts only while nothing of late contradicts it: a server that answers is not ill,
    /// whatever its endpoint says.
    fn is_claim_heeded(&self, now: Instant) -> bool {
        let fresh = |seen| now.saturating_duration_since(seen) < self.options.fresh;
        self.claimed_bad && !self.seen.is_some_and(fresh)
    }
}
