use std::time::{Duration, Instant};

use jacinthbeam_admission::retry::{Attempts, Backoff, Budget, Decision, Failure, budget, decide};
use jacinthbeam_types::prelude::*;

struct Case {
    attempts: Attempts,
    budget: Budget,
    now: Instant,
    rng: fastrand::Rng,
}

impl Case {
    fn new() -> Self {
        let budget = Budget::new(budget::Options::default());
        let rng = fastrand::Rng::with_seed(1);
        Self { attempts: Attempts::default(), budget, now: Instant::now(), rng }
    }

    fn fail(&mut self, refusal: Refusal, idempotent: bool, left: u64) -> Decision {
        self.attempts.failed(&refusal);
        let failure = Failure { refusal, idempotent, left_host: true };
        let deadline = self.now + Duration::from_millis(left);
        let backoff = Backoff::default();
        decide(
            failure,
            &self.attempts,
            &mut self.budget,
            self.now,
            deadline,
            &backoff,
            &mut self.rng,
        )
    }
}

fn is_retry(decision: &Decision) -> bool {
    matches!(decision, Decision::Retry { .. })
}

#[test]
fn an_order_that_may_have_run_is_not_sent_again() {
    // A brine order was written when the connection broke. Nobody knows whether it ran, so a second
    // attempt could send a second truck.
    let mut case = Case::new();
    let refusal = Refusal::may_have_run(Reason::ConnectionLost);
    let Decision::GiveUp(answer) = case.fail(refusal.clone(), false, 5_000) else {
        panic!("sent again")
    };
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
    assert!(is_retry(&Case::new().fail(refusal, true, 5_000)));
    assert!(is_retry(&Case::new().fail(Refusal::not_run(Reason::ConnectionLost), false, 5_000)));
}

#[test]
fn the_verdict_of_the_last_attempt_does_not_hide_an_earlier_one() {
    // The first attempt at a page may have run, the second was refused before it ran. The caller
    // must not be told not-run.
    let mut case = Case::new();
    assert!(is_retry(&case.fail(Refusal::may_have_run(Reason::AnswerCut), true, 5_000)));
    let Decision::GiveUp(answer) = case.fail(Refusal::not_run(Reason::Overloaded), true, 5_000)
    else {
        panic!("an overloaded server is not asked again")
    };
    assert_eq!((answer.verdict, answer.reason), (Verdict::MayHaveRun, Reason::Overloaded));
}

#[test]
fn a_request_without_budget_or_time_is_answered_at_once_with_a_hint() {
    // An outage fails every request. When the budget is spent, callers get their refusal at once
    // and no retry storm builds up; the same holds for a retry that could only start at the
    // deadline.
    let mut case = Case::new();
    let refusal = Refusal::not_run(Reason::ConnectionLost);
    assert!(is_retry(&case.fail(refusal.clone(), false, 5_000)));
    assert!(is_retry(&case.fail(refusal.clone(), false, 5_000)));
    let Decision::GiveUp(answer) = case.fail(refusal.clone(), false, 5_000) else {
        panic!("no budget")
    };
    assert!(answer.retry_after.is_some());
    let Decision::GiveUp(late) = Case::new().fail(refusal, false, 9) else { panic!("no time") };
    assert_eq!(late.verdict, Verdict::NotRun);
    assert!(late.retry_after.is_some());
}

#[test]
fn an_attempt_that_never_left_the_host_costs_no_budget() {
    // A slot moves and this host knows of no owner. It looks again after a while; nobody else is
    // asked anything.
    let mut case = Case::new();
    for _ in 0..10 {
        let refusal = Refusal::not_run(Reason::NoOwner);
        case.attempts.failed(&refusal);
        let failure = Failure { refusal, idempotent: false, left_host: false };
        let deadline = case.now + Duration::from_secs(9);
        let backoff = Backoff::default();
        let decision = decide(
            failure,
            &case.attempts,
            &mut case.budget,
            case.now,
            deadline,
            &backoff,
            &mut case.rng,
        );
        assert!(is_retry(&decision));
    }
    assert_eq!(case.budget.tokens(), 2_000);
}

#[test]
fn delays_double_up_to_a_limit_and_spread() {
    let mut rng = fastrand::Rng::with_seed(3);
    let backoff = Backoff::default();
    for attempts in 1..40 {
        let longest = Duration::from_millis(20 << (attempts - 1).min(5)).min(backoff.most);
        let delay = backoff.delay(attempts, &mut rng);
        assert!(delay >= longest / 2 && delay <= longest, "{attempts}: {delay:?}");
    }
    let many: std::collections::BTreeSet<_> = (0..50).map(|_| backoff.delay(3, &mut rng)).collect();
    assert!(many.len() > 40, "callers that failed together do not come back together");
    let hint = Refusal::not_run(Reason::Stopping).retry_after(Duration::from_secs(1));
    let decision = Case::new().fail(hint, false, 5_000);
    assert_eq!(decision, Decision::Retry { after: Duration::from_secs(1) });
}
