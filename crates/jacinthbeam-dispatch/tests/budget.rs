//! Repeats stay within what all hosts together may send.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use jacinthbeam_dispatch::budget::{Budget, Options};

const ALL: Options = Options { ratio: 0.2, burst: 64.0, window: Duration::from_secs(10) };

/// Every host is restarted at once while all want to repeat everything. A restarted process has forgotten what it used, so
/// without a reserve the twelve of them would use the fixed number twice within one window.
#[test]
fn restarts_of_all_hosts_stay_within_the_budget() {
    let now = Instant::now();
    let mut repeats = 0;
    for _life in 0..2 {
        for _host in 0..12 {
            let mut budget = Budget::new(ALL, 12);
            repeats += (0..100).filter(|_| budget.take(now)).count();
        }
    }
    assert!(repeats <= 64, "{repeats} repeats without a request");
}

/// A process that has just started doesn't know yet among how many the fixed number is divided. If it took all of it, so would
/// the others.
#[test]
fn an_unknown_number_of_hosts_gives_no_fixed_part() {
    let mut budget = Budget::new(ALL, 0);
    let now = Instant::now();
    assert!(!budget.take(now));
    (0..10).for_each(|_| budget.on_request(now));
    assert!(budget.take(now) && budget.take(now) && !budget.take(now));
}

#[test]
fn no_window_holds_more_repeats_than_allowed() {
    arbtest(|u| {
        let begun = Instant::now();
        let mut budget = Budget::new(ALL, 12);
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
