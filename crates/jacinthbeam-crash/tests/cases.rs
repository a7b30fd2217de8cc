//! Which requests are refused for the servers that ended under them.

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

fn ended(of: usize, by: u8, under: u32, at: Instant) -> Fact {
    let outcome = Outcome::Crashed { server: server(under), caller: caller(by) };
    Fact { request: request(of), outcome, at }
}

fn served(of: usize, by: u8, at: Instant) -> Fact {
    Fact { request: request(of), outcome: Outcome::Succeeded { caller: caller(by) }, at }
}

/// So many servers ended one after the other.
fn ended_in_turn(of: usize, by: u8, servers: u32, from: Instant) -> Vec<Fact> {
    (1..=servers).map(|n| ended(of, by, n, from + MIN_CRASH_SPAN * n)).collect()
}

/// Facts that were seen here.
fn cases(facts: impl IntoIterator<Item = Fact>, now: Instant) -> Cases {
    let mut cases = Cases::default();
    for fact in facts {
        cases.merge(fact, Source::Observed, now);
    }
    cases
}

fn is_refused(cases: &Cases, of: usize, by: u8) -> bool {
    cases.suspects().is_quarantined(&request(of), caller(by))
}

#[test]
fn the_third_server_is_proof() {
    let now = Instant::now();
    let two = cases(ended_in_turn(1, 1, 2, now), now);
    assert!(!is_refused(&two, 1, 1));
    let three = cases(ended_in_turn(1, 1, 3, now), now);
    assert!(is_refused(&three, 1, 1));
    assert!(!is_refused(&three, 2, 1), "another request is refused");
}

/// A server that ends breaks all connections to it, at several hosts and for several attempts of one request. It is one server.
#[test]
fn a_server_counts_once_however_many_hosts_saw_it_end() {
    let now = Instant::now();
    let facts = (0..9).map(|n| ended(1, n % 3, 1, now + MIN_CRASH_SPAN * u32::from(n)));
    let cases = cases(facts, now);
    assert!((0..3).all(|by| !is_refused(&cases, 1, by)));
}

/// A rack loses power, and a request that many send alike was on three of its servers. It is served on, by others. One that is the cause ends
/// another server later, however many it ended at first.
#[test]
fn servers_that_end_together_are_no_proof() {
    let now = Instant::now();
    let together = (1..40).map(|n| ended(1, 1, n, now + Duration::from_millis(u64::from(n))));
    let mut cases = cases(together, now);
    assert!(!is_refused(&cases, 1, 1));
    cases.merge(
        ended(1, 1, 40, now + MIN_CRASH_SPAN + Duration::from_millis(1)),
        Source::Observed,
        now,
    );
    assert!(is_refused(&cases, 1, 1));
}

/// A server that starts again under its name is another one: the request has ended both.
#[test]
fn lives_of_a_server_count_each() {
    let now = Instant::now();
    let lives = [1, 2, 3].map(|born| ServerId::new("s1".parse().unwrap(), Some(Born(born))));
    let facts = lives.map(|server| Fact {
        request: request(1),
        at: now + MIN_CRASH_SPAN * server.born().map_or(0, |born| born.0 as u32),
        outcome: Outcome::Crashed { server, caller: caller(1) },
    });
    assert!(is_refused(&cases(facts, now), 1, 1));
}

/// One caller sends what another sends too, and lets it meet servers that end. What it shows is held against itself alone; what
/// the attempts of two callers show is a fault of the request.
#[test]
fn one_caller_can_not_have_the_request_of_another_refused() {
    let now = Instant::now();
    let mut cases = cases(ended_in_turn(1, 1, 5, now), now);
    assert!(is_refused(&cases, 1, 1) && !is_refused(&cases, 1, 2));
    cases.merge(ended(1, 2, 6, now), Source::Observed, now);
    assert!(is_refused(&cases, 1, 2) && is_refused(&cases, 1, 3));
}

/// A hot key's reader meets three owners that end one after the other, each for reasons of its own, and is answered in between.
#[test]
fn a_request_that_is_answered_is_cleared_of_what_was_before() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let facts = [ended(1, 1, 1, at(0)), ended(1, 1, 2, at(1)), served(1, 1, at(2))];
    let mut cases = cases(facts, at(2));
    cases.merge(ended(1, 1, 3, at(3)), Source::Observed, at(3));
    assert!(!is_refused(&cases, 1, 1));
    assert!(!cases.merge(ended(1, 1, 1, at(0)), Source::Observed, at(4)), "an old fact comes late");
    for n in [4, 5] {
        cases.merge(ended(1, 1, n, at(n.into())), Source::Observed, at(5));
    }
    assert!(is_refused(&cases, 1, 1), "it is not cleared of what came after");
}

/// Another caller reads the same path and is answered, again and again. That says nothing of the caller under whose attempts servers end.
#[test]
fn the_answer_to_one_caller_clears_no_other() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let facts = (1..4).flat_map(|n| [ended(1, 1, n, at(2 * u64::from(n))), served(1, 2, at(7))]);
    let mut cases = cases(facts, at(8));
    assert!(is_refused(&cases, 1, 1) && !is_refused(&cases, 1, 2));
    cases.merge(
        Fact { request: request(1), outcome: Outcome::Allowed, at: at(9) },
        Source::Observed,
        at(9),
    );
    assert!(!is_refused(&cases, 1, 1), "an operator lets it through for all");
}

#[test]
fn doubt_and_refusal_end() {
    let now = Instant::now();
    let mut cases = cases([ended(1, 1, 1, now)], now);
    let times = [now - MIN_CRASH_SPAN, now, now];
    for (n, at) in (1..).zip(times) {
        cases.merge(ended(2, 1, n, at), Source::Observed, now);
    }
    assert!(cases.expire(now + SUSPICION_TTL));
    assert!(cases.suspects().get(&request(1)).is_none());
    assert!(is_refused(&cases, 2, 1));
    assert!(!cases.expire(now + QUARANTINE_TTL - Duration::from_secs(1)));
    assert!(cases.expire(now + QUARANTINE_TTL) && cases.suspects().is_empty());
    let old = ended(1, 1, 1, now);
    assert!(
        !cases.merge(old, Source::Observed, now + SUSPICION_TTL),
        "what is forgotten comes back"
    );
}

/// A failure domain loses its power, and thousands of requests were running there. The memory is bounded, and the request that is refused stays.
#[test]
fn a_refused_request_outlasts_any_number_of_doubted_ones() {
    let now = Instant::now();
    let mut cases = cases(ended_in_turn(0, 1, 3, now), now);
    for of in 1..2 * MAX_CASES {
        cases.merge(ended(of, 1, 9, now + Duration::from_secs(10)), Source::Observed, now);
    }
    assert!(is_refused(&cases, 0, 1));
    assert_eq!(cases.suspects().iter().count(), MAX_CASES);
}

#[test]
fn only_a_known_head_has_a_body_digested() {
    let now = Instant::now();
    let head = |n: usize| HeadDigest::of(&[b"GET", &n.to_be_bytes()]);
    let suspects = cases([ended(1, 1, 1, now)], now).suspects();
    assert!(suspects.contains_head(head(1)) && !suspects.contains_head(head(2)));
    assert!(suspects.get(&Fingerprint::of(head(1), b"another body")).is_none());
}

/// Guards against a crash that counts again after it was cleared, told by a host that makes it seem later than the success.
#[test]
fn a_crash_that_was_cleared_does_not_come_back() {
    let now = Instant::now();
    let mut cases =
        cases([ended(1, 1, 1, now), served(1, 1, now + MIN_CRASH_SPAN)], now + MIN_CRASH_SPAN);
    assert!(cases.suspects().is_empty());
    assert!(!cases.merge(
        ended(1, 1, 1, now + MIN_CRASH_SPAN * 2),
        Source::Observed,
        now + MIN_CRASH_SPAN * 2
    ));
    assert!(cases.merge(
        ended(1, 1, 2, now + MIN_CRASH_SPAN * 2),
        Source::Observed,
        now + MIN_CRASH_SPAN * 2
    ));
    assert_eq!(cases.servers(&request(1)), 1);
}

/// Guards against a success that counts as another one since it seems a little later, and against one that clears nothing for that reason.
#[test]
fn a_success_that_seems_later_adds_what_it_clears() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut cases = cases([ended(1, 1, 1, now), served(1, 1, later(1))], later(1));
    assert!(!cases.merge(served(1, 1, later(20)), Source::Observed, later(20)));
    assert!(cases.merge(ended(1, 1, 2, later(30)), Source::Observed, later(30)));
    assert!(cases.merge(served(1, 1, later(40)), Source::Observed, later(40)));
    assert!(cases.suspects().is_empty());
}
