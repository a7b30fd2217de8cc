//! How many requests this host may send to a second backend server.
//!
//! All hosts together have a budget for each service: a share of the requests of a window of time, and a fixed number besides.
//! A host can't know what the others spend, so each keeps to the share of its own requests and to its part of the fixed number.
//! The sum over all hosts then stays within the budget without a message between them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The budget of all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in each window.
    pub burst: f64,
    /// Length of the window, which may lie anywhere.
    pub window: Duration,
}

/// Parts that a window is counted in. Counts leave the window one part late, so what is allowed is low by a tenth at most.
const PARTS: u32 = 10;

/// Lives of a process within one window that its part of the fixed number has to do for.
const RESTARTS: f64 = 2.0;

/// This host's share of the budget of one service.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    /// Hosts among which the fixed number is divided; 0 while that is not known.
    hosts: u32,
    parts: VecDeque<Part>,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    since: Instant,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// A budget of which nothing is used, to be shared among `hosts`, or 0 if their number is not known.
    pub fn new(options: Options, hosts: u32) -> Self {
        Self { options, hosts, parts: VecDeque::new() }
    }

    /// Changes the number of hosts that share.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// This host's part of the fixed number.
    ///
    /// A process that starts again has forgotten what it used, within the same window. Hosts that all restart together would
    /// use up the fixed number twice, so each takes half of its part at the most.
    fn fixed(&self) -> f64 {
        match self.hosts {
            0 => 0.0,
            hosts => self.options.burst / f64::from(hosts) / RESTARTS,
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Takes one repeat out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let may = self.left(now) >= 1.0;
        if may {
            self.part(now).repeats += 1;
        }
        may
    }

    /// Repeats that are left now.
    pub fn left(&mut self, now: Instant) -> f64 {
        self.part(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        self.options.ratio * f64::from(requests) + self.fixed() - f64::from(repeats)
    }

    fn part(&mut self, now: Instant) -> &mut Part {
        let length = self.options.window / PARTS;
        let keep = self.options.window + length;
        let old = |part: &Part| now.saturating_duration_since(part.since) >= keep;
        while self.parts.front().is_some_and(old) {
            self.parts.pop_front();
        }
        let last = self.parts.back().map(|part| part.since);
        if last.is_none_or(|since| now.saturating_duration_since(since) >= length) {
            self.parts.push_back(Part { since: now, requests: 0, repeats: 0 });
        }
        self.parts.back_mut().expect("a part was just added if there was none")
    }
}
