//! Which requests are quarantined for the servers that crashed under them, and for how long.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use jacinthbeam_crash::{
    Cases, Fact, Fingerprint, Outcome, Source,
    cases::{MAX_CASES, QUARANTINE_TTL, SUSPICION_TTL},
    fingerprint::HeadDigest,
    suspects::MIN_CRASH_SPAN,
};
use jacinthbeam_types::prelude::*;

fn request(n: usize) -> Fingerprint {
    Fingerprint::of(HeadDigest::of(&[b"GET", &n.to_be_bytes()]), b"")
}

fn caller(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, n).into()
}

fn server(n: u32) -> ServerId {
    ServerName::into(format!("s{n}").parse().unwrap())
}

fn crashed(of: usize, by: u8, under: u32, at: Instant) -> Fact {
    let outcome = Outcome::Crashed { server: server(under), caller: caller(by) };
    Fact { request: request(of), outcome, at }
}

fn succeeded(of: usize, by: u8, at: Instant) -> Fact {
    Fact { request: request(of), outcome: Outcome::Succeeded { caller: caller(by) }, at }
}

/// Crashes of so many servers, [`MIN_CRASH_SPAN`] apart.
fn crashes_in_sequence(of: usize, by: u8, servers: u32, from: Instant) -> Vec<Fact> {
    (1..=servers).map(|n| crashed(of, by, n, from + MIN_CRASH_SPAN * n)).collect()
}

/// Merges facts as observed by this host.
fn cases(facts: impl IntoIterator<Item = Fact>, now: Instant) -> Cases {
    let mut cases = Cases::default();
    for fact in facts {
        cases.merge(fact, Source::Observed, now);
    }
    cases
}

fn is_quarantined(cases: &Cases, of: usize, by: u8) -> bool {
    cases.suspects().is_quarantined(&request(of), caller(by))
}

/// Guards against a quarantine after two crashes, none after three, and one of another request.
#[test]
fn third_crashed_server_quarantines() {
    let now = Instant::now();
    let two = cases(crashes_in_sequence(1, 1, 2, now), now);
    assert!(!is_quarantined(&two, 1, 1));
    let three = cases(crashes_in_sequence(1, 1, 3, now), now);
    assert!(is_quarantined(&three, 1, 1));
    assert!(!is_quarantined(&three, 2, 1), "another request is quarantined");
}

/// Guards against one crash that counts several times because it breaks connections of several
/// hosts and several attempts of one request.
#[test]
fn server_counts_once_for_any_number_of_observers() {
    let now = Instant::now();
    let facts = (0..9).map(|n| crashed(1, n % 3, 1, now + MIN_CRASH_SPAN * u32::from(n)));
    let cases = cases(facts, now);
    assert!((0..3).all(|by| !is_quarantined(&cases, 1, by)));
}

/// Guards against the quarantine of a popular request that ran on three servers of a rack which
/// lost power. A request that is the cause crashes another server later, however many it crashed
/// at first.
#[test]
fn simultaneous_crashes_do_not_quarantine() {
    let now = Instant::now();
    let together = (1..40).map(|n| crashed(1, 1, n, now + Duration::from_millis(u64::from(n))));
    let mut cases = cases(together, now);
    assert!(!is_quarantined(&cases, 1, 1));
    cases.merge(
        crashed(1, 1, 40, now + MIN_CRASH_SPAN + Duration::from_millis(1)),
        Source::Observed,
        now,
    );
    assert!(is_quarantined(&cases, 1, 1));
}

/// Guards against incarnations of one server that count as one: the request crashed each of them.
#[test]
fn each_incarnation_of_a_server_counts() {
    let now = Instant::now();
    let lives = [1, 2, 3].map(|born| ServerId::new("s1".parse().unwrap(), Some(Born(born))));
    let facts = lives.map(|server| Fact {
        request: request(1),
        at: now + MIN_CRASH_SPAN * server.born().map_or(0, |born| born.0 as u32),
        outcome: Outcome::Crashed { server, caller: caller(1) },
    });
    assert!(is_quarantined(&cases(facts, now), 1, 1));
}

/// Guards against a caller that gets another caller's request refused by sending the same request
/// to servers that crash. Evidence of one caller applies to that caller only, evidence of two
/// callers to all.
#[test]
fn crashes_under_one_caller_do_not_quarantine_another() {
    let now = Instant::now();
    let mut cases = cases(crashes_in_sequence(1, 1, 5, now), now);
    assert!(is_quarantined(&cases, 1, 1) && !is_quarantined(&cases, 1, 2));
    cases.merge(crashed(1, 2, 6, now), Source::Observed, now);
    assert!(is_quarantined(&cases, 1, 2) && is_quarantined(&cases, 1, 3));
}

/// Guards against the quarantine of a request for a hot key whose owners crash one after the other
/// for other reasons, and which succeeds in between.
#[test]
fn success_clears_earlier_crashes() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let facts = [crashed(1, 1, 1, at(0)), crashed(1, 1, 2, at(1)), succeeded(1, 1, at(2))];
    let mut cases = cases(facts, at(2));
    cases.merge(crashed(1, 1, 3, at(3)), Source::Observed, at(3));
    assert!(!is_quarantined(&cases, 1, 1));
    assert!(
        !cases.merge(crashed(1, 1, 1, at(0)), Source::Observed, at(4)),
        "a crash from before the success is new"
    );
    for n in [4, 5] {
        cases.merge(crashed(1, 1, n, at(n.into())), Source::Observed, at(5));
    }
    assert!(is_quarantined(&cases, 1, 1), "later crashes are cleared too");
}

/// Guards against successes of one caller that clear crashes under another caller's attempts of the
/// same request.
#[test]
fn success_of_one_caller_does_not_clear_another() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let facts =
        (1..4).flat_map(|n| [crashed(1, 1, n, at(2 * u64::from(n))), succeeded(1, 2, at(7))]);
    let mut cases = cases(facts, at(8));
    assert!(is_quarantined(&cases, 1, 1) && !is_quarantined(&cases, 1, 2));
    cases.merge(
        Fact { request: request(1), outcome: Outcome::Allowed, at: at(9) },
        Source::Observed,
        at(9),
    );
    assert!(!is_quarantined(&cases, 1, 1), "an operator allows it for all callers");
}

/// Guards against evidence that outlasts its time to live, and against an expired crash that is
/// merged again.
#[test]
fn suspicion_and_quarantine_expire() {
    let now = Instant::now();
    let mut cases = cases([crashed(1, 1, 1, now)], now);
    let times = [now - MIN_CRASH_SPAN, now, now];
    for (n, at) in (1..).zip(times) {
        cases.merge(crashed(2, 1, n, at), Source::Observed, now);
    }
    assert!(cases.expire(now + SUSPICION_TTL));
    assert!(cases.suspects().get(&request(1)).is_none());
    assert!(is_quarantined(&cases, 2, 1));
    assert!(!cases.expire(now + QUARANTINE_TTL - Duration::from_secs(1)));
    assert!(cases.expire(now + QUARANTINE_TTL) && cases.suspects().is_empty());
    let old = crashed(1, 1, 1, now);
    assert!(!cases.merge(old, Source::Observed, now + SUSPICION_TTL), "an expired crash is new");
}

/// Guards against memory that grows without bound, and against the eviction of a quarantined
/// request, when a failure domain loses power while it runs thousands of requests.
#[test]
fn quarantined_request_outlasts_any_number_of_suspects() {
    let now = Instant::now();
    let mut cases = cases(crashes_in_sequence(0, 1, 3, now), now);
    for of in 1..2 * MAX_CASES {
        cases.merge(crashed(of, 1, 9, now + Duration::from_secs(10)), Source::Observed, now);
    }
    assert!(is_quarantined(&cases, 0, 1));
    assert_eq!(cases.suspects().iter().count(), MAX_CASES);
}

/// Guards against digests of bodies, which may be long, for requests whose head is not suspect.
#[test]
fn contains_head_matches_only_suspect_heads() {
    let now = Instant::now();
    let head = |n: usize| HeadDigest::of(&[b"GET", &n.to_be_bytes()]);
    let suspects = cases([crashed(1, 1, 1, now)], now).suspects();
    assert!(suspects.contains_head(head(1)) && !suspects.contains_head(head(2)));
    assert!(suspects.get(&Fingerprint::of(head(1), b"another body")).is_none());
}

/// Guards against a cleared crash that counts again because another host sends it with a time after
/// the success.
#[test]
fn cleared_crash_does_not_count_again() {
    let now = Instant::now();
    let mut cases =
        cases([crashed(1, 1, 1, now), succeeded(1, 1, now + MIN_CRASH_SPAN)], now + MIN_CRASH_SPAN);
    assert!(cases.suspects().is_empty());
    assert!(!cases.merge(
        crashed(1, 1, 1, now + MIN_CRASH_SPAN * 2),
        Source::Observed,
        now + MIN_CRASH_SPAN * 2
    ));
    assert!(cases.merge(
        crashed(1, 1, 2, now + MIN_CRASH_SPAN * 2),
        Source::Observed,
        now + MIN_CRASH_SPAN * 2
    ));
    assert_eq!(cases.servers(&request(1)), 1);
}

/// Guards against a success that is new because it looks slightly more recent, and against one that
/// is dropped for that reason although it clears a crash.
#[test]
fn more_recent_success_is_new_only_if_it_clears_a_crash() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut cases = cases([crashed(1, 1, 1, now), succeeded(1, 1, later(1))], later(1));
    assert!(!cases.merge(succeeded(1, 1, later(20)), Source::Observed, later(20)));
    assert!(cases.merge(crashed(1, 1, 2, later(30)), Source::Observed, later(30)));
    assert!(cases.merge(succeeded(1, 1, later(40)), Source::Observed, later(40)));
    assert!(cases.suspects().is_empty());
}
