//! How many requests this host may send to a second backend server.
//!
//! All hosts together have a budget for each service: a share of the requests of a window of time, and a fixed number besides. The
//! share may be taken of the window itself, of the one that began half a window before it, or of the one before it.
//!
//! A host can't know what the others spend, so each keeps to the share of its own requests and to its part of the fixed number. A sum
//! of bounds is a bound of the sum only if all hosts take the share of the same window, and hosts see load rise and fall at
//! different times. So none of them chooses: each takes the share of the mean of the three windows, which is never above the largest
//! of them, summed over any number of hosts.

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

/// Parts that a window is counted in. A window that begins within a part holds one part of requests less than is known, so what
/// is allowed is low by a twentieth.
const PARTS: u64 = 20;

/// Parts of half a window.
const HALF: u64 = PARTS / 2;

/// Parts that are kept: a window, the one before it, and the two that their ends cut.
const KEPT: u64 = 2 * PARTS + 2;

/// Lives of a process within one window that its part of the fixed number has to do for.
const RESTARTS: f64 = 2.0;

/// This host's share of the budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    /// Hosts among which the fixed number is divided; 0 while that is not known.
    hosts: u32,
    begun: Instant,
    /// In the order of their numbers; parts without any count are left out.
    parts: VecDeque<Part>,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget of which nothing is used at `now`, to be shared among `hosts`, or 0 if their number is not known.
    pub fn new(options: Options, hosts: u32, now: Instant) -> Self {
        Self { options, hosts, begun: now, parts: VecDeque::new() }
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

    /// Repeats that are left now: the least of what each window that holds this moment leaves.
    pub fn left(&self, now: Instant) -> f64 {
        let current = self.number(now);
        let first = current.saturating_sub(PARTS);
        let left = (first..=current).map(|begin| self.left_from(begin));
        left.fold(f64::INFINITY, f64::min)
    }

    /// Repeats that are left for the windows that begin within part `begin`.
    ///
    /// Such a window holds repeats of that part at the most, and all requests of the next one on at the least.
    fn left_from(&self, begin: u64) -> f64 {
        let repeats = self.sum(begin, begin + PARTS + 1, |part| part.repeats);
        let requests = |back: u64| {
            let end = (begin + PARTS).saturating_sub(back);
            self.sum((begin + 1).saturating_sub(back), end, |part| part.requests)
        };
        let mean = (requests(0) + requests(HALF) + requests(PARTS)) / 3.0;
        self.options.ratio * mean + self.fixed() - repeats
    }

    /// Sum over the parts from `first` to before `end`.
    fn sum(&self, first: u64, end: u64, count: impl Fn(&Part) -> u32) -> f64 {
        let within = self.parts.iter().filter(|part| (first..end).contains(&part.number));
        within.map(|part| f64::from(count(part))).sum()
    }

    /// Number of the part that `now` lies in. The first ones are left out, so that windows before the beginning have numbers too.
    fn number(&self, now: Instant) -> u64 {
        let length = self.options.window.as_nanos() / u128::from(PARTS);
        let since = now.saturating_duration_since(self.begun).as_nanos();
        KEPT + (since / length.max(1)) as u64
    }

    fn part(&mut self, now: Instant) -> &mut Part {
        let number = self.number(now);
        while self.parts.front().is_some_and(|part| part.number + KEPT < number) {
            self.parts.pop_front();
        }
        // A clock that is read by several tasks never goes back, but the last part is as good as an earlier one.
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part { number, requests: 0, repeats: 0 });
        }
        self.parts.back_mut().expect("a part was just added if there was none")
    }
}
