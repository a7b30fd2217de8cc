use std::time::{Duration, Instant};

use jacinthbeam_admission::silence::{Options, Silences, Watch};

#[test]
fn one_silent_connection_takes_all_opened_before_out_of_use() {
    // Something on the way forgets all connections. One request hangs on one of them and is given
    // up after a bounded wait; the next ones use new connections at once, and do not find out the
    // others one by one.
    let options = Options::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut silences = Silences::default();
    let (mut caught, idle) = (Watch::new(start), Watch::new(start));
    caught.sent(at(100));
    assert!(silences.may_reuse(at(100), &idle, &options));
    assert!(!caught.is_suspect(at(1_099), &options));
    assert_eq!(caught.suspect_at(&options), Some(at(1_100)));
    assert!(caught.is_suspect(at(1_100), &options));
    silences.seen(at(1_100));
    assert!(!silences.may_reuse(at(1_101), &idle, &options));
    assert!(silences.may_reuse(at(1_101), &Watch::new(at(1_101)), &options));
}

#[test]
fn a_connection_is_reused_only_while_fresh_and_owed_nothing() {
    // An abandoned answer would be read by the next request on the connection; one that idles for
    // long may be forgotten on the way.
    let options = Options::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let silences = Silences::default();
    let mut watch = Watch::new(start);
    watch.sent(at(10));
    watch.heard(at(20), true);
    assert!(!silences.may_reuse(at(30), &watch, &options));
    watch.heard(at(40), false);
    assert!(silences.may_reuse(at(10_039), &watch, &options));
    assert!(!silences.may_reuse(at(10_040), &watch, &options));
    assert_eq!(watch.opened(), start);
}
