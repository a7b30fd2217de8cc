//! The retries of all hosts together stay within the retry budget.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use jacinthbeam_dispatch::budget::{LOAN_PERIOD, MAX_LOAN, Options, RetryBudget};

const ALL: Options = Options { ratio: 0.2, burst: 64.0, window: Duration::from_secs(10) };

/// Guards against a burst that is used twice: all hosts restart together, each loses the count of what it used, and all retry
/// every request within the same window.
#[test]
fn restarts_of_all_hosts_stay_within_the_budget() {
    let now = Instant::now();
    let mut retries = 0;
    for _life in 0..2 {
        for _host in 0..12 {
            let mut budget = RetryBudget::new(ALL, 12, now);
            retries += (0..100).filter(|_| budget.take(now)).count();
        }
    }
    assert!(retries <= 64, "{retries} retries without a request");
}

/// Guards against a freshly started host that doesn't know the number of hosts yet and uses the whole burst, as all others
/// would.
#[test]
fn an_unknown_number_of_hosts_gives_no_burst() {
    let begun = Instant::now();
    let mut budget = RetryBudget::new(ALL, 0, begun);
    assert!(!budget.take(begun));
    let at = |ms: u64| begun + Duration::from_millis(ms);
    (0..=20_000).step_by(400).for_each(|ms| budget.on_request(at(ms)));
    let now = at(20_000);
    assert!(budget.take(now) && budget.take(now) && !budget.take(now));
}

/// Guards against a window of one host with more retries than its share, for random sequences of requests and retries.
#[test]
fn no_window_holds_more_retries_than_allowed() {
    arbtest(|u| {
        let begun = Instant::now();
        let mut budget = RetryBudget::new(ALL, 12, begun);
        let (mut now, mut requests, mut retries) = (begun, Vec::new(), Vec::new());
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            if u.ratio(3, 4)? {
                budget.on_request(now);
                requests.push(now);
            }
            if u.ratio(1, 2)? && budget.take(now) {
                retries.push(now);
            }
            let within = |at: &&Instant, span: u64| now - **at <= Duration::from_secs(span);
            let sent = retries.iter().filter(|at| within(at, 10)).count();
            // Retries of the last 10 s are bounded by the requests of the last 12 s.
            let requested = requests.iter().filter(|at| within(at, 12)).count();
            assert!(sent as f64 <= 0.2 * requested as f64 + 64.0 / 12.0, "{sent} of {requested}");
        }
        Ok(())
    });
}

/// Guards against a window in which all hosts together exceed the budget, while hosts restart and their loads rise and fall at
/// different times.
///
/// Servers that shed load would then get more requests than agreed with the teams, and shed even more.
#[test]
fn no_window_of_all_hosts_holds_more_retries_than_allowed() {
    arbtest(|u| {
        let mut fleet = Fleet::new(u.arbitrary()?);
        (0..600).for_each(|_| fleet.step());
        fleet.check();
        Ok(())
    })
    .budget_ms(2000);
}

/// Hosts that alternate between phases of retrying as much as the budget allows and phases without retries.
struct Fleet {
    rng: fastrand::Rng,
    now: Instant,
    fails: bool,
    hosts: Vec<(RetryBudget, u32)>,
    /// Requests and retries of all hosts at each step.
    sent: Vec<(Instant, usize, usize)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let hosts = (0..3).map(|_| (RetryBudget::new(ALL, 3, now), 0)).collect();
        Self { rng: fastrand::Rng::with_seed(seed), now, fails: false, hosts, sent: Vec::new() }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(20..300));
        let restart = self.sent.is_empty().then(|| self.rng.usize(0..3));
        if self.rng.u32(0..50) == 0 {
            self.fails = !self.fails;
        }
        let (mut requests, mut retries) = (0, 0);
        for n in 0..self.hosts.len() {
            let (budget, rate) = &mut self.hosts[n];
            if restart == Some(n) {
                *budget = RetryBudget::new(ALL, 3, self.now);
            }
            if self.rng.u32(0..40) == 0 {
                *rate = self.rng.u32(0..100);
            }
            (0..*rate).for_each(|_| budget.on_request(self.now));
            requests += *rate as usize;
            let wanted = if self.fails { *rate } else { 0 };
            retries += (0..wanted).filter(|_| budget.take(self.now)).count();
        }
        self.sent.push((self.now, requests, retries));
    }

    /// Checks every window that begins with a retry. Any other window holds the same retries as one of these, or fewer.
    fn check(&self) {
        for (begin, _, _) in self.sent.iter().filter(|(_, _, retries)| *retries > 0) {
            let within = |at: Instant| at >= *begin && at <= *begin + ALL.window;
            let retries: usize =
                self.sent.iter().filter(|(at, ..)| within(*at)).map(|(.., n)| n).sum();
            let requested = |back: Duration| {
                let of = self.sent.iter().filter(|(at, ..)| within(*at + back));
                of.map(|(_, n, _)| n).sum::<usize>()
            };
            let most =
                [requested(Duration::ZERO), requested(ALL.window / 2), requested(ALL.window)];
            let allowed = ALL.ratio * most.into_iter().max().unwrap_or_default() as f64 + ALL.burst;
            assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
        }
    }
}

/// Guards against a budget that is too conservative: when servers begin to refuse much after a long steady load, it must allow
/// a retry of every request of a second at once, and about nine tenths of the ratio for as long as that lasts.
#[test]
fn a_steady_load_can_use_nearly_all_of_the_budget() {
    let begun = Instant::now();
    let mut budget = RetryBudget::new(ALL, 12, begun);
    let at = |ms: u64| begun + Duration::from_millis(ms);
    (0..30_000).step_by(10).for_each(|ms| budget.on_request(at(ms)));
    let at_once = (0..1000).filter(|_| budget.take(at(30_000))).count();
    assert!((90..=110).contains(&at_once), "{at_once} at once for 100 requests a second");
    let mut later = 0;
    for ms in (40_000..80_000).step_by(10) {
        budget.on_request(at(ms));
        later += usize::from(budget.take(at(ms)));
    }
    assert!((650..=800).contains(&later), "{later} for 4000 requests");
}

/// Guards against a lender that gives away what it needs itself, or more than one borrower can use in time.
#[test]
fn a_loan_takes_at_most_half_of_what_is_left() {
    let begun = Instant::now();
    let options = Options { ratio: 0.2, burst: 12.0, ..ALL };
    let mut budget = RetryBudget::new(options, 1, begun);
    let lent: Vec<u32> = (0..4).map(|_| budget.lend(100, begun)).collect();
    assert_eq!(lent, [3, 1, 1, 0]);
    assert_eq!((budget.left(begun), budget.size(begun)), (1.0, 6.0));
    let mut large = RetryBudget::new(ALL, 1, begun);
    assert_eq!((large.lend(100, begun), large.lend(3, begun)), (MAX_LOAN, 3));
}

/// Guards against a loan that the borrower uses in a window in which the lender spends it again: it counts in each window that
/// overlaps its period, and in no other.
#[test]
fn a_loan_counts_in_every_window_that_overlaps_its_period() {
    let begun = Instant::now();
    let options = Options { ratio: 0.0, burst: 32.0, ..ALL };
    let mut budget = RetryBudget::new(options, 1, begun);
    assert_eq!(budget.lend(8, begun), 8);
    let left = |after: Duration| budget.left(begun + after);
    assert_eq!(left(ALL.window + LOAN_PERIOD), 8.0);
    assert_eq!(left(ALL.window + LOAN_PERIOD + ALL.window / 10), 16.0);
}

/// Guards against a loan out of the requests of a past load that no window counts any more when the borrower uses it.
#[test]
fn a_loan_is_covered_by_the_requests_of_the_last_window_of_its_period() {
    let begun = Instant::now();
    let mut budget = RetryBudget::new(Options { burst: 0.0, ..ALL }, 1, begun);
    (0..200).for_each(|_| budget.on_request(begun));
    let end = begun + ALL.window - LOAN_PERIOD;
    let now = end + LOAN_PERIOD / 2;
    assert!(budget.left(now) >= 1.0 && budget.left(begun + ALL.window + LOAN_PERIOD) < 1.0);
    assert_eq!(budget.lend(8, now), 0);
}
