//! What the store keeps of crashes, read back late, twice, or after all that it says has been forgotten.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant, SystemTime},
};

use jacinthbeam_crash::{
    Evidence, Exchange, Fact, Fingerprint, Outcome,
    cases::{QUARANTINE_TTL, SUSPICION_TTL},
    evidence::MAX_FACTS_PER_RECORD,
    fingerprint::HeadDigest,
    suspects::MIN_CRASH_SPAN,
};
use jacinthbeam_types::prelude::*;

const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn host(name: &str, life: u64) -> Exchange {
    Exchange::new(name.parse().unwrap(), Incarnation(life))
}

fn request(n: usize) -> Fingerprint {
    Fingerprint::of(HeadDigest::of(&[b"GET", &n.to_be_bytes()]), b"")
}

fn ended(of: usize, under: usize, at: Instant) -> Fact {
    let server = ServerName::into(format!("s{under}").parse().unwrap());
    Fact { request: request(of), outcome: Outcome::Crashed { server, caller: CALLER }, at }
}

fn servers(host: &Exchange, of: usize) -> usize {
    host.suspects().crashed_servers(&request(of), CALLER)
}

/// What a host records that saw so many servers crash under one request, and when the last did.
fn record_of(crashes: usize) -> (Evidence, Instant) {
    let (mut host, now) = (host("a", 1), Instant::now());
    let last = now + MIN_CRASH_SPAN * crashes as u32;
    for n in 1..=crashes {
        host.observe(ended(1, n, now + MIN_CRASH_SPAN * n as u32), last);
    }
    (host.take_due_record(last, SystemTime::UNIX_EPOCH).unwrap(), last)
}

fn later(by: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + by
}

/// Guards against a first crash that only the memory of a host holds.
#[test]
fn the_first_crash_is_recorded() {
    let (record, last) = record_of(1);
    let mut other = host("b", 1);
    assert!(other.merge_record(record, last, later(Duration::ZERO)));
    assert_eq!(servers(&other, 1), 1);
}

/// Guards against a call to the store for evidence that it holds already.
#[test]
fn nothing_new_is_not_recorded() {
    let (mut a, now) = (host("a", 1), Instant::now());
    assert_eq!(a.take_due_record(now, SystemTime::UNIX_EPOCH), None);
    a.observe(ended(1, 1, now), now);
    assert!(a.take_due_record(now, SystemTime::UNIX_EPOCH).is_some());
    a.observe(ended(1, 1, now), now);
    assert_eq!(a.take_due_record(now, SystemTime::UNIX_EPOCH), None);
}

/// Guards against each host of a fleet recording the same crash: one that is told it in an answer leaves it to the host that answered.
#[test]
fn a_crash_is_recorded_by_the_host_that_is_asked() {
    let addr = SocketAddr::new(CALLER, 1);
    let (mut a, mut b, now) = (host("a", 1), host("b", 1), Instant::now());
    a.observe(ended(1, 1, now), now);
    let answer = b.answer(&a.question(addr, now), now);
    assert!(b.take_due_record(now, SystemTime::UNIX_EPOCH).is_some());
    a.take_due_record(now, SystemTime::UNIX_EPOCH);
    a.on_answer(addr, answer, now);
    b.observe(ended(2, 2, now), now);
    let answer = b.answer(&a.question(addr, now), now);
    a.on_answer(addr, answer, now);
    assert_eq!(servers(&a, 2), 1);
    assert_eq!(a.take_due_record(now, SystemTime::UNIX_EPOCH), None);
}

/// Guards against one crash that counts twice, read back by hosts that had recorded it each.
#[test]
fn evidence_that_is_read_twice_counts_once() {
    let (record, last) = record_of(2);
    let mut other = host("b", 1);
    assert!(other.merge_record(record.clone(), last, later(Duration::ZERO)));
    assert!(!other.merge_record(record, last, later(Duration::ZERO)));
    assert_eq!(servers(&other, 1), 2);
}

/// Guards against a record that is lost when its host starts again and writes another in its place.
#[test]
fn a_record_holds_what_an_earlier_life_recorded() {
    let (record, last) = record_of(2);
    let mut again = host("a", 2);
    again.merge_record(record, last, later(Duration::ZERO));
    again.observe(ended(7, 7, last), last);
    let record = again.take_due_record(last, SystemTime::UNIX_EPOCH).unwrap();
    let mut other = host("b", 1);
    other.merge_record(record, last, later(Duration::ZERO));
    assert_eq!((servers(&other, 1), servers(&other, 7)), (2, 1));
}

/// Guards against an ordinary request that is refused after a restart for crashes before an answer to it.
#[test]
fn evidence_of_an_answer_clears_what_another_host_recorded() {
    let (record, last) = record_of(3);
    let mut b = host("b", 1);
    b.merge_record(record.clone(), last, later(Duration::ZERO));
    let at = last + Duration::from_secs(1);
    b.observe(Fact { request: request(1), outcome: Outcome::Succeeded { caller: CALLER }, at }, at);
    let answered = b.take_due_record(at, later(Duration::from_secs(1))).unwrap();
    for order in [[record.clone(), answered.clone()], [answered, record]] {
        let mut a = host("a", 2);
        for record in order {
            a.merge_record(record, at, later(Duration::from_secs(1)));
        }
        assert_eq!(servers(&a, 1), 0);
    }
}

/// Guards against doubt that outlasts its time because it was read back.
#[test]
fn old_evidence_is_forgotten_when_it_is_read() {
    for (crashes, kept) in [(2, SUSPICION_TTL), (3, QUARANTINE_TTL)] {
        let (record, last) = record_of(crashes);
        for (since, counted) in [(kept - Duration::from_secs(1), crashes), (kept, 0)] {
            let mut other = host("b", 1);
            other.merge_record(record.clone(), last + since, later(since));
            let now = last + since;
            other.expire(now);
            assert_eq!(servers(&other, 1), counted, "{crashes} crashes, after {since:?}");
        }
    }
}

/// Guards against a request that is sent again to a host that started more than ten minutes after the last crash.
#[test]
fn a_host_that_starts_late_is_told_what_is_refused() {
    let (mut a, now) = (host("a", 1), Instant::now());
    let addr = SocketAddr::new(CALLER, 1);
    for n in 1..=3 {
        a.observe(ended(1, n, now + MIN_CRASH_SPAN * n as u32), now + MIN_CRASH_SPAN * 3);
    }
    let now = now + SUSPICION_TTL * 2;
    a.expire(now);
    let mut late = host("b", 1);
    late.on_answer(addr, a.answer(&late.question(addr, now), now), now);
    assert!(late.suspects().is_quarantined(&request(1), CALLER));
}

/// Load pattern: all servers of a failure domain crash at once. Guards against a record that grows with the fleet, and one that leaves out
/// the request that is to blame.
#[test]
fn a_record_is_bounded_and_keeps_what_weighs_most() {
    let (mut host, now) = (host("a", 1), Instant::now());
    for n in 1..=2 {
        host.observe(ended(0, n, now), now);
    }
    for of in 1..=2 * MAX_FACTS_PER_RECORD {
        host.observe(ended(of, 1000 + of, now + MIN_CRASH_SPAN), now + MIN_CRASH_SPAN);
    }
    let record = host.take_due_record(now + MIN_CRASH_SPAN, SystemTime::UNIX_EPOCH).unwrap();
    assert_eq!(record.facts.len(), MAX_FACTS_PER_RECORD);
    assert_eq!(record.facts.iter().filter(|fact| fact.request == request(0)).count(), 2);
}

#[test]
fn evidence_is_read_as_it_was_written() {
    let (record, _) = record_of(3);
    assert_eq!(Evidence::from_bytes(&record.to_bytes()).unwrap(), record);
    assert!(Evidence::from_bytes(b"no record").is_err());
}
