//! Retry budget: how many retries this host may send for a service.
//!
//! All hosts together have one budget for each service: in any window, the retries may amount to a ratio of the requests plus a
//! fixed burst. The requests may be counted in the window itself, in the one that begins half a window earlier, or in the one
//! that begins a whole window earlier, whichever has most.
//!
//! A host doesn't know what the others spend, so each keeps to the ratio of its own requests and to its part of the burst. The
//! limits of all hosts only add up to the fleet's limit if all of them use the same window, but each host sees the load rise and
//! fall at a different time and would choose another one. So each uses the mean of the three windows. Summed over any number of
//! hosts, that mean never exceeds the largest of the three windows of the fleet.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The budget of one service for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Additional retries allowed in each window.
    pub burst: f64,
    /// Length of the window. The limit holds for every window of this length.
    pub window: Duration,
}

/// Buckets that a window is divided into.
///
/// A window may begin in the middle of a bucket, and the requests of that bucket are then not counted. The allowance is lower
/// by a twentieth for it.
const BUCKETS_PER_WINDOW: u64 = 20;

/// Buckets of half a window.
const HALF_WINDOW: u64 = BUCKETS_PER_WINDOW / 2;

/// Buckets that are kept: a window, the one before it, and the two buckets that are cut by their ends.
const RETAINED_BUCKETS: u64 = 2 * BUCKETS_PER_WINDOW + 2;

/// Process starts within one window that a host's part of the burst has to cover.
const STARTS_PER_WINDOW: f64 = 2.0;

/// How long the lender counts a loan after the grant: the borrower's period of use, and a margin for a retry that is sent just before its end.
///
/// The borrower's period begins with its request, so before the grant.
pub const LOAN_PERIOD: Duration = Duration::from_millis(600);

/// Most retries of one loan.
pub const MAX_LOAN: u32 = 8;

/// Share of what is left that one loan may take.
const LOAN_SHARE: f64 = 0.5;

/// This host's share of the budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    /// Hosts that the burst is divided among; 0 while their number is unknown.
    hosts: u32,
    begun: Instant,
    /// Ordered by number. Buckets without any count are left out.
    buckets: VecDeque<Bucket>,
    /// Retries that were lent to other hosts, in the order of the grants.
    loans: VecDeque<Loan>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retries that another host may send between two buckets, both included.
#[derive(Debug, Clone, Copy)]
struct Loan {
    first: u64,
    last: u64,
    retries: u32,
}

impl RetryBudget {
    /// Creates an unused budget at `now`, whose burst is divided among `hosts`; 0 if their number is unknown.
    pub fn new(options: Options, hosts: u32, now: Instant) -> Self {
        Self { options, hosts, begun: now, buckets: VecDeque::new(), loans: VecDeque::new() }
    }

    /// Sets the number of hosts that the burst is divided among.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// This host's part of the burst.
    ///
    /// A restarted process has lost the count of what it used in the current window. If all hosts restart together, they would
    /// use the burst twice, so each uses at most half of its part.
    fn burst_share(&self) -> f64 {
        match self.hosts {
            0 => 0.0,
            hosts => self.options.burst / f64::from(hosts) / STARTS_PER_WINDOW,
        }
    }

    /// Counts a request of a caller. Retries don't count as requests.
    pub fn on_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget. Returns whether there was one left.
    pub fn take(&mut self, now: Instant) -> bool {
        let allowed = self.left(now) >= 1.0;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// Retries that are left now: the minimum over all windows that contain `now`.
    pub fn left(&self, now: Instant) -> f64 {
        let windows = self.windows_of(now, now);
        windows.map(|begin| self.left_in_windows_from(begin)).fold(f64::INFINITY, f64::min)
    }

    /// Retries that would be left now if none had been sent or lent.
    pub fn size(&self, now: Instant) -> f64 {
        let windows = self.windows_of(now, now);
        windows.map(|begin| self.allowed_in_windows_from(begin)).fold(f64::INFINITY, f64::min)
    }

    /// Lends retries to another host, which may send them until [`LOAN_PERIOD`] after `now`. Returns their number: at most `wanted`,
    /// [`MAX_LOAN`], and half of what is left. They count as spent in every window that overlaps that period, since any of them
    /// may be sent in any of these windows.
    pub fn lend(&mut self, wanted: u32, now: Instant) -> u32 {
        let end = now + LOAN_PERIOD;
        // The requests of the past count less in the windows that begin later, so these are checked as well.
        let windows = self.windows_of(now, end);
        let left =
            windows.map(|begin| self.left_in_windows_from(begin)).fold(f64::INFINITY, f64::min);
        let retries = ((left * LOAN_SHARE).max(0.0) as u32).min(wanted).min(MAX_LOAN);
        let (first, last) = (self.bucket_number(now), self.bucket_number(end));
        while self.loans.front().is_some_and(|loan| loan.last + RETAINED_BUCKETS < first) {
            self.loans.pop_front();
        }
        if retries > 0 {
            self.loans.push_back(Loan { first, last, retries });
        }
        retries
    }

    /// Buckets in which the windows begin that contain any moment from `first` to `last`.
    fn windows_of(&self, first: Instant, last: Instant) -> impl Iterator<Item = u64> + use<> {
        self.bucket_number(first).saturating_sub(BUCKETS_PER_WINDOW)..=self.bucket_number(last)
    }

    /// Retries that are left for the windows that begin within bucket `begin`.
    ///
    /// Conservative for a window that begins anywhere in the bucket: all retries of the bucket are counted, and its requests
    /// are not.
    fn left_in_windows_from(&self, begin: u64) -> f64 {
        let end = begin + BUCKETS_PER_WINDOW + 1;
        let retries = self.sum(begin, end, |bucket| bucket.retries);
        let lent = self.loans.iter().filter(|loan| loan.first < end && loan.last >= begin);
        let lent: f64 = lent.map(|loan| f64::from(loan.retries)).sum();
        self.allowed_in_windows_from(begin) - retries - lent
    }

    /// Retries that are allowed in the windows that begin within bucket `begin`.
    fn allowed_in_windows_from(&self, begin: u64) -> f64 {
        let requests = |back: u64| {
            let end = (begin + BUCKETS_PER_WINDOW).saturating_sub(back);
            self.sum((begin + 1).saturating_sub(back), end, |bucket| bucket.requests)
        };
        let mean = (requests(0) + requests(HALF_WINDOW) + requests(BUCKETS_PER_WINDOW)) / 3.0;
        self.options.ratio * mean + self.burst_share()
    }

    /// Sum over the buckets `first..end`.
    fn sum(&self, first: u64, end: u64, count: impl Fn(&Bucket) -> u32) -> f64 {
        let within = self.buckets.iter().filter(|bucket| (first..end).contains(&bucket.number));
        within.map(|bucket| f64::from(count(bucket))).sum()
    }

    /// Number of the bucket that contains `now`. Numbers start at [`RETAINED_BUCKETS`], so that the windows before the start have
    /// numbers too.
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
        // The clock is monotonic. If `now` lay before the last bucket nevertheless, the last one would be used.
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added if there was none")
    }
}
