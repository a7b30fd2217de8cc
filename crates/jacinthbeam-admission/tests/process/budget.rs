use jacinthbeam_admission::budget::{Budget, Options};

#[test]
fn retries_stay_within_a_tenth_of_the_requests_through_a_fault() {
    // Every attempt of a thousand requests fails, and each caller's request is tried again whenever
    // the budget allows it.
    let mut budget = Budget::new(Options::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.request();
        retries += (0..3).filter(|_| budget.spend()).count();
    }
    assert_eq!(retries, 82);
}

#[test]
fn a_quiet_time_saves_up_no_more_than_the_burst() {
    let mut budget = Budget::new(Options::default());
    (0..10_000).for_each(|_| budget.request());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 10);
    assert_eq!(budget.tokens(), 0);
}
