//! Which requests are sent again to a server that rejected them.

use std::time::{Duration, Instant};

use jacinthbeam_admission::report::StatedLoad;
use jacinthbeam_dispatch::{
    RetryBudget,
    budget::Options,
    retry::{Budget, Decision, MAX_SENDS, Rejection, Streak, TimeLeft, Why, decide, spend_any},
};

const MS: Duration = Duration::from_millis(1);

const RANDOM: Rejection = Rejection { sends: 1, gated: false, stated: None, in_streak: false };

const TIME: TimeLeft = TimeLeft {
    deadline: Duration::from_secs(2),
    objective: Duration::from_millis(500),
    service_time: Duration::from_millis(200),
};

fn stated(running: u32, waiting: u32) -> StatedLoad {
    StatedLoad { running, waiting, slots: 6, cost_percent: None }
}

fn decide_with(rejection: Rejection, time: TimeLeft) -> Decision {
    decide(rejection, time, Budget { left: 9.0, size: 10.0, more_urgent: 0.0 })
}

/// Guards against retries that only lengthen a full queue.
#[test]
fn a_rejection_by_a_full_queue_is_not_retried() {
    let with = |stated| decide_with(Rejection { stated: Some(stated), ..RANDOM }, TIME);
    assert_eq!(with((MS, stated(6, 6))), Decision::Refuse(Why::Queue));
    assert_eq!(with((MS, stated(6, 5))), Decision::Retry);
    assert_eq!(with((MS, stated(4, 0))), Decision::Retry);
    assert_eq!(with((300 * MS, stated(6, 6))), Decision::Retry);
    let gated = Rejection { gated: true, ..RANDOM };
    assert_eq!(decide_with(gated, TIME), Decision::Refuse(Why::Gate));
    let in_streak = Rejection { in_streak: true, ..RANDOM };
    assert_eq!(decide_with(in_streak, TIME), Decision::Refuse(Why::Streak));
}

/// Guards against retries that can't be answered in time, and against a request that is sent over and over.
#[test]
fn a_request_without_time_or_sends_left_is_not_retried() {
    assert_eq!(decide_with(RANDOM, TIME), Decision::Retry);
    let time = TimeLeft { deadline: 199 * MS, ..TIME };
    assert_eq!(decide_with(RANDOM, time), Decision::Refuse(Why::Time));
    let last = Rejection { sends: MAX_SENDS, ..RANDOM };
    assert_eq!(decide_with(last, TIME), Decision::Refuse(Why::Sends));
}

/// Guards against a streak that counts rejections of some time ago, or from before an answer.
#[test]
fn a_streak_is_four_rejections_in_a_row_within_a_second() {
    let begun = Instant::now();
    let mut streak = Streak::default();
    for n in 0..4 {
        assert!(!streak.is_long(begun + n * 250 * MS));
        streak.on_rejected(begun + n * 250 * MS);
    }
    assert!(streak.is_long(begun + 999 * MS) && !streak.is_long(begun + 1000 * MS));
    streak.on_answered();
    (0..3).for_each(|_| streak.on_rejected(begun));
    assert!(!streak.is_long(begun));
}

/// Guards against less urgent requests, and requests that are late in any case, that use up the budget before the urgent ones.
#[test]
fn less_urgent_and_late_requests_leave_a_reserve() {
    let with =
        |left, more_urgent, time| decide(RANDOM, time, Budget { left, size: 10.0, more_urgent });
    assert_eq!(with(1.0, 0.0, TIME), Decision::Retry);
    assert_eq!(with(0.9, 0.0, TIME), Decision::Refuse(Why::Budget));
    assert_eq!(with(5.9, 2.5, TIME), Decision::Refuse(Why::Reserve));
    assert_eq!(with(6.0, 2.5, TIME), Decision::Retry);
    let late = TimeLeft { objective: 199 * MS, ..TIME };
    assert_eq!(with(5.9, 0.0, late), Decision::Refuse(Why::Reserve));
}

/// Guards against requests whose key has moved, which are refused in the first seconds, when the budget is small, for a reserve.
#[test]
fn a_retry_that_is_likely_to_succeed_leaves_no_reserve() {
    let with = |left| spend_any(Budget { left, size: 1.9, more_urgent: 2.5 });
    assert_eq!(with(1.0), Decision::Retry);
    assert_eq!(with(0.9), Decision::Refuse(Why::Budget));
}

/// Guards against a reserve for a rank with hardly any requests: a test route of rank 0 kept the orders of rank 1 from half of the budget.
#[test]
fn the_reserve_is_as_large_as_the_more_urgent_requests_need() {
    let with = |left, more_urgent| decide(RANDOM, TIME, Budget { left, size: 10.0, more_urgent });
    assert_eq!(with(1.3, 0.05), Decision::Retry);
    assert_eq!(with(1.2, 0.05), Decision::Refuse(Why::Reserve));
}

/// One rank of [`serve`]: requests and how many of them were served.
#[derive(Debug, Default, Clone, Copy)]
struct Rank {
    requests: u32,
    served: u32,
}

/// Serves 100 requests a second for 60 s, of two ranks alternately, with 40 servers that reject a share of everything at random
/// after the first 10 s, with which the counts begin. Returns the ranks and the number of retries.
fn serve(seed: u64, rejected: f64, is_full: bool) -> ([Rank; 2], u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let begun = Instant::now();
    let options = Options { ratio: 0.2, burst: 0.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::new(options, 1, begun);
    let mut streaks = [Streak::default(); 40];
    let (mut counts, mut retries) = ([Rank::default(); 2], 0);
    for n in 0..6000 {
        let now = begun + n * 10 * MS;
        budget.on_request(now);
        if n < 1000 {
            continue;
        }
        let count = &mut counts[n as usize % 2];
        count.requests += 1;
        let server = rng.usize(0..streaks.len());
        for sends in 1.. {
            if rng.f64() >= rejected {
                streaks[server].on_answered();
                count.served += 1;
                break;
            }
            streaks[server].on_rejected(now);
            let stated = Some((MS, if is_full { stated(6, 6) } else { stated(3, 0) }));
            let in_streak = streaks[server].is_long(now);
            let rejection = Rejection { sends, stated, in_streak, ..RANDOM };
            let (left, size) = (budget.left(now), budget.size(now));
            // Half of the requests are urgent: 2.5 for each retry that is allowed.
            let budget_now = Budget { left, size, more_urgent: f64::from(n % 2) * 2.5 };
            if decide(rejection, TIME, budget_now) != Decision::Retry {
                break;
            }
            assert!(budget.take(now));
            retries += 1;
        }
    }
    (counts, retries)
}

/// Guards against a keyed service of which each server rejects 55 % of everything at random, for which only 2 to 5 % of the
/// rejected requests were retried although the budget allows a fifth of all requests.
#[test]
fn random_rejections_are_retried_as_far_as_the_budget_allows() {
    for seed in 0..8 {
        let ([urgent, other], retries) = serve(seed, 0.55, false);
        let requests = f64::from(urgent.requests + other.requests);
        let served = f64::from(urgent.served + other.served) / requests;
        let share = |rank: Rank| f64::from(rank.served) / f64::from(rank.requests);
        let used = f64::from(retries) / requests;
        println!(
            "{seed}: retries {used:.3} served {served:.3} urgent {:.3} other {:.3}",
            share(urgent),
            share(other)
        );
        // Callers get at least nine tenths of what the budget could serve of the rejected requests.
        assert!((0.17..=0.2).contains(&used), "{used} retries for each request with seed {seed}");
        assert!(served >= 0.45 + 0.9 * 0.2 * 0.45 - 0.02, "{served} served with seed {seed}");
        assert!(share(urgent) >= share(other) + 0.1, "{urgent:?} {other:?} with seed {seed}");
    }
}

/// Guards against retries that double the load of servers whose queues are full.
#[test]
fn full_servers_get_no_retries() {
    assert_eq!(serve(1, 0.55, true).1, 0);
}
