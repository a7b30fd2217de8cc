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
const BUCKETS_PER_WINDOW: u64 = 20;

/// Parts of half a window.
const HALF_WINDOW: u64 = BUCKETS_PER_WINDOW / 2;

/// Parts that are kept: a window, the one before it, and the two that their ends cut.
const RETAINED_BUCKETS: u64 = 2 * BUCKETS_PER_WINDOW + 2;

/// Lives of a process within one window that its part of the fixed number has to do for.
const STARTS_PER_WINDOW: f64 = 2.0;

/// This host's share of the budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    /// Hosts among which the fixed number is divided; 0 while that is not known.
    hosts: u32,
    begun: Instant,
    /// In the order of their numbers; parts without any count are left out.
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// A budget of which nothing is used at `now`, to be shared among `hosts`, or 0 if their number is not known.
    pub fn new(options: Options, hosts: u32, now: Instant) -> Self {
        Self { options, hosts, begun: now, buckets: VecDeque::new() }
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
            hosts => self.options.burst / f64::from(hosts) / STARTS_PER_WINDOW,
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let allowed = self.left(now) >= 1.0;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// Repeats that are left now: the least of what each window that holds this moment leaves.
    pub fn left(&self, now: Instant) -> f64 {
        let current = self.bucket_number(now);
        let first = current.saturating_sub(BUCKETS_PER_WINDOW);
        let left = (first..=current).map(|begin| self.left_in_windows_from(begin));
        left.fold(f64::INFINITY, f64::min)
    }

    /// Repeats that are left for the windows that begin within part `begin`.
    ///
    /// Such a window holds repeats of that part at the most, and all requests of the next one on at the least.
    fn left_in_windows_from(&self, begin: u64) -> f64 {
        let retries = self.sum(begin, begin + BUCKETS_PER_WINDOW + 1, |bucket| bucket.retries);
        let requests = |back: u64| {
            let end = (begin + BUCKETS_PER_WINDOW).saturating_sub(back);
            self.sum((begin + 1).saturating_sub(back), end, |bucket| bucket.requests)
        };
        let mean = (requests(0) + requests(HALF_WINDOW) + requests(BUCKETS_PER_WINDOW)) / 3.0;
        self.options.ratio * mean + self.fixed() - retries
    }

    /// Sum over the parts from `first` to before `end`.
    fn sum(&self, first: u64, end: u64, count: impl Fn(&Bucket) -> u32) -> f64 {
        let within = self.buckets.iter().filter(|bucket| (first..end).contains(&bucket.number));
        within.map(|bucket| f64::from(count(bucket))).sum()
    }

    /// Number of the part that `now` lies in. The first ones are left out, so that windows before the beginning have numbers too.
    fn bucket_number(&self, now: Instant) -> u64 {
        let length = self.options.window.as_nanos() / u128::from(BUCKETS_PER_WINDOW);
        let since = now.saturating_duration_since(self.begun).as_nanos();
        RETAINED_BUCKETS + (since / length.max(1)) as u64
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = self.bucket_number(now);
        while self.buckets.front().is_some_and(|bucket| bucket.number + RETAINED_BUCKETS < number) {
            self.buckets.pop_front();
        }
        // A clock that is read by several tasks never goes back, but the last part is as good as an earlier one.
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added if there was none")
    }
}
