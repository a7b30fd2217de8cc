//! Repeats stay within what all hosts together may send.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use jacinthbeam_dispatch::budget::{Options, RetryBudget};

const ALL: Options = Options { ratio: 0.2, burst: 64.0, window: Duration::from_secs(10) };

/// Every host is restarted at once while all want to repeat everything. A restarted process has forgotten what it used, so
/// without a reserve the twelve of them would use the fixed number twice within one window.
#[test]
fn restarts_of_all_hosts_stay_within_the_budget() {
    let now = Instant::now();
    let mut repeats = 0;
    for _life in 0..2 {
        for _host in 0..12 {
            let mut budget = RetryBudget::new(ALL, 12, now);
            repeats += (0..100).filter(|_| budget.take(now)).count();
        }
    }
    assert!(repeats <= 64, "{repeats} repeats without a request");
}

/// A process that has just started doesn't know yet among how many the fixed number is divided. If it took all of it, so would
/// the others.
#[test]
fn an_unknown_number_of_hosts_gives_no_fixed_part() {
    let begun = Instant::now();
    let mut budget = RetryBudget::new(ALL, 0, begun);
    assert!(!budget.take(begun));
    let at = |ms: u64| begun + Duration::from_millis(ms);
    (0..=20_000).step_by(400).for_each(|ms| budget.on_request(at(ms)));
    let now = at(20_000);
    assert!(budget.take(now) && budget.take(now) && !budget.take(now));
}

#[test]
fn no_window_holds_more_repeats_than_allowed() {
    arbtest(|u| {
        let begun = Instant::now();
        let mut budget = RetryBudget::new(ALL, 12, begun);
        let (mut now, mut requests, mut repeats) = (begun, Vec::new(), Vec::new());
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            if u.ratio(3, 4)? {
                budget.on_request(now);
                requests.push(now);
            }
            if u.ratio(1, 2)? && budget.take(now) {
                repeats.push(now);
            }
            let within = |at: &&Instant, span: u64| now - **at <= Duration::from_secs(span);
            let sent = repeats.iter().filter(|at| within(at, 10)).count();
            // Requests are counted in the window or the one before it, whichever has more.
            let asked = requests.iter().filter(|at| within(at, 12)).count();
            assert!(sent as f64 <= 0.2 * asked as f64 + 64.0 / 12.0, "{sent} of {asked}");
        }
        Ok(())
    });
}

/// A deployment in which every request that can be repeated is. Hosts restart and forget, and see their load rise and fall at
/// different times; no window of all of them together may hold more repeats than allowed.
///
/// What a caller would see of a breach: servers that shed get more arrivals than all teams agreed on, and shed more.
#[test]
fn no_window_of_all_hosts_holds_more_repeats_than_allowed() {
    arbtest(|u| {
        let mut fleet = Fleet::new(u.arbitrary()?);
        (0..600).for_each(|_| fleet.step());
        fleet.check();
        Ok(())
    })
    .budget_ms(2000);
}

/// Hosts that at times repeat all they may, and at times nothing.
struct Fleet {
    rng: fastrand::Rng,
    now: Instant,
    fails: bool,
    hosts: Vec<(RetryBudget, u32)>,
    /// Requests and repeats of all hosts at each moment.
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
        let (mut requests, mut repeats) = (0, 0);
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
            repeats += (0..wanted).filter(|_| budget.take(self.now)).count();
        }
        self.sent.push((self.now, requests, repeats));
    }

    /// Looks at each window that begins with a repeat; any other holds the same repeats as one of these.
    fn check(&self) {
        for (begin, _, _) in self.sent.iter().filter(|(_, _, repeats)| *repeats > 0) {
            let within = |at: Instant| at >= *begin && at <= *begin + ALL.window;
            let repeats: usize =
                self.sent.iter().filter(|(at, ..)| within(*at)).map(|(.., n)| n).sum();
            let asked = |back: Duration| {
                let of = self.sent.iter().filter(|(at, ..)| within(*at + back));
                of.map(|(_, n, _)| n).sum::<usize>()
            };
            let most = [asked(Duration::ZERO), asked(ALL.window / 2), asked(ALL.window)];
            let allowed = ALL.ratio * most.into_iter().max().unwrap_or_default() as f64 + ALL.burst;
            assert!(repeats as f64 <= allowed, "{repeats} repeats, {allowed} allowed");
        }
    }
}

/// The load has been steady for long, then servers begin to refuse much. The budget must carry the repeats of a second at once, and
/// nine tenths of its share for as long as it lasts.
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
