use jacinthbeam_admission::health::{Judge, Observation, Options, Standing};

use crate::{ms, start};

#[test]
fn a_server_that_fails_rests_and_is_tried_by_one_request() {
    // A server breaks three requests in a row. Callers are sent elsewhere for a while; then one
    // request tries it. While that is out no other follows.
    let now = start();
    let mut judge = Judge::new(Options::default());
    judge.observe(now, Observation::Failed);
    assert_eq!(judge.standing(now), Standing::Doubtful);
    judge.observe(now, Observation::Silent);
    judge.observe(now, Observation::Shed);
    let until = now + ms(500);
    assert_eq!(judge.standing(now), Standing::Resting { until });
    assert!(!judge.trial(now));
    assert!(judge.trial(until));
    assert!(!judge.trial(until));
    judge.observe(until, Observation::Failed);
    assert_eq!(judge.standing(until), Standing::Resting { until: until + ms(1_000) });
    assert!(judge.trial(until + ms(1_000)));
    judge.observe(until + ms(1_020), Observation::Answered(ms(20)));
    assert_eq!(judge.standing(until + ms(1_020)), Standing::Good);
    assert_eq!(judge.latency(), Some(ms(20)));
}

#[test]
fn late_failures_of_one_fault_do_not_prolong_the_rest() {
    // Three requests in progress break, then three more of the same moment are reported. The rest
    // is not doubled for them.
    let now = start();
    let mut judge = Judge::new(Options::default());
    (0..6).for_each(|_| judge.observe(now, Observation::Failed));
    assert_eq!(judge.standing(now), Standing::Resting { until: now + ms(500) });
}

#[test]
fn what_a_server_does_outranks_what_its_health_endpoint_says() {
    // The endpoint says ill while requests are answered, and well while they fail. Callers are sent
    // by the answers.
    let now = start();
    let mut judge = Judge::new(Options::default());
    judge.claims(false);
    assert_eq!(judge.standing(now), Standing::Doubtful);
    judge.observe(now, Observation::Answered(ms(5)));
    assert_eq!(judge.standing(now), Standing::Good);
    assert_eq!(judge.standing(now + ms(5_000)), Standing::Doubtful);
    judge.claims(true);
    (0..3).for_each(|_| judge.observe(now, Observation::Shed));
    assert!(matches!(judge.standing(now), Standing::Resting { .. }));
}
