//! Records of evidence in the store, read back late, twice, or after they have expired.

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

fn crashed(of: usize, under: usize, at: Instant) -> Fact {
    let server = ServerName::into(format!("s{under}").parse().unwrap());
    Fact { request: request(of), outcome: Outcome::Crashed { server, caller: CALLER }, at }
}

fn crashed_servers(host: &Exchange, of: usize) -> usize {
    host.suspects().crashed_servers(&request(of), CALLER)
}

/// The record of a host that observed so many crashes under one request, and the time of the last.
fn record_of(crashes: usize) -> (Evidence, Instant) {
    let (mut host, now) = (host("a", 1), Instant::now());
    let last = now + MIN_CRASH_SPAN * crashes as u32;
    for n in 1..=crashes {
        host.observe(crashed(1, n, now + MIN_CRASH_SPAN * n as u32), last);
    }
    (host.take_due_record(last, SystemTime::UNIX_EPOCH).unwrap(), last)
}

fn later(by: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + by
}

/// Guards against a first crash that is only in the memory of a host.
#[test]
fn first_crash_is_recorded() {
    let (record, last) = record_of(1);
    let mut other = host("b", 1);
    assert!(other.merge_record(record, last, later(Duration::ZERO)));
    assert_eq!(crashed_servers(&other, 1), 1);
}

/// Guards against a write of evidence that the store holds already.
#[test]
fn known_crash_is_not_recorded_again() {
    let (mut a, now) = (host("a", 1), Instant::now());
    assert_eq!(a.take_due_record(now, SystemTime::UNIX_EPOCH), None);
    a.observe(crashed(1, 1, now), now);
    assert!(a.take_due_record(now, SystemTime::UNIX_EPOCH).is_some());
    a.observe(crashed(1, 1, now), now);
    assert_eq!(a.take_due_record(now, SystemTime::UNIX_EPOCH), None);
}

/// Guards against the same crash being recorded by each host of a fleet: a host that receives it in
/// an answer leaves the record to the host that answered.
#[test]
fn crash_is_recorded_by_the_polled_host() {
    let addr = SocketAddr::new(CALLER, 1);
    let (mut a, mut b, now) = (host("a", 1), host("b", 1), Instant::now());
    a.observe(crashed(1, 1, now), now);
    let answer = b.answer(&a.question(addr, now), now);
    assert!(b.take_due_record(now, SystemTime::UNIX_EPOCH).is_some());
    a.take_due_record(now, SystemTime::UNIX_EPOCH);
    a.on_answer(addr, answer, now);
    b.observe(crashed(2, 2, now), now);
    let answer = b.answer(&a.question(addr, now), now);
    a.on_answer(addr, answer, now);
    assert_eq!(crashed_servers(&a, 2), 1);
    assert_eq!(a.take_due_record(now, SystemTime::UNIX_EPOCH), None);
}

/// Guards against a crash that counts twice when it is read from the records of two hosts.
#[test]
fn evidence_read_twice_counts_once() {
    let (record, last) = record_of(2);
    let mut other = host("b", 1);
    assert!(other.merge_record(record.clone(), last, later(Duration::ZERO)));
    assert!(!other.merge_record(record, last, later(Duration::ZERO)));
    assert_eq!(crashed_servers(&other, 1), 2);
}

/// Guards against evidence that is lost when a restarted host overwrites its record.
#[test]
fn record_includes_the_evidence_of_an_earlier_incarnation() {
    let (record, last) = record_of(2);
    let mut again = host("a", 2);
    again.merge_record(record, last, later(Duration::ZERO));
    again.observe(crashed(7, 7, last), last);
    let record = again.take_due_record(last, SystemTime::UNIX_EPOCH).unwrap();
    let mut other = host("b", 1);
    other.merge_record(record, last, later(Duration::ZERO));
    assert_eq!((crashed_servers(&other, 1), crashed_servers(&other, 7)), (2, 1));
}

/// Guards against the quarantine of an ordinary request, after a restart, for crashes before its
/// last success.
#[test]
fn recorded_success_clears_crashes_recorded_by_another_host() {
    let (record, last) = record_of(3);
    let mut b = host("b", 1);
    b.merge_record(record.clone(), last, later(Duration::ZERO));
    let at = last + Duration::from_secs(1);
    b.observe(Fact { request: request(1), outcome: Outcome::Succeeded { caller: CALLER }, at }, at);
    let with_success = b.take_due_record(at, later(Duration::from_secs(1))).unwrap();
    for order in [[record.clone(), with_success.clone()], [with_success, record]] {
        let mut a = host("a", 2);
        for record in order {
            a.merge_record(record, at, later(Duration::from_secs(1)));
        }
        assert_eq!(crashed_servers(&a, 1), 0);
    }
}

/// Guards against suspicion that outlasts its time to live because it was read back.
#[test]
fn old_evidence_expires_when_read() {
    for (crashes, ttl) in [(2, SUSPICION_TTL), (3, QUARANTINE_TTL)] {
        let (record, last) = record_of(crashes);
        for (since, counted) in [(ttl - Duration::from_secs(1), crashes), (ttl, 0)] {
            let mut other = host("b", 1);
            other.merge_record(record.clone(), last + since, later(since));
            let now = last + since;
            other.expire(now);
            assert_eq!(crashed_servers(&other, 1), counted, "{crashes} crashes, after {since:?}");
        }
    }
}

/// Guards against a quarantined request that is sent again by a host which started more than ten
/// minutes after the last crash.
#[test]
fn host_that_starts_late_receives_the_quarantine() {
    let (mut a, now) = (host("a", 1), Instant::now());
    let addr = SocketAddr::new(CALLER, 1);
    for n in 1..=3 {
        a.observe(crashed(1, n, now + MIN_CRASH_SPAN * n as u32), now + MIN_CRASH_SPAN * 3);
    }
    let now = now + SUSPICION_TTL * 2;
    a.expire(now);
    let mut late = host("b", 1);
    late.on_answer(addr, a.answer(&late.question(addr, now), now), now);
    assert!(late.suspects().is_quarantined(&request(1), CALLER));
}

/// Guards against a record that grows with the fleet, and against one that omits the request that
/// caused the crashes.
///
/// Load pattern: all servers of a failure domain crash at the same time.
#[test]
fn record_is_bounded_and_keeps_the_strongest_facts() {
    let (mut host, now) = (host("a", 1), Instant::now());
    for n in 1..=2 {
        host.observe(crashed(0, n, now), now);
    }
    for of in 1..=2 * MAX_FACTS_PER_RECORD {
        host.observe(crashed(of, 1000 + of, now + MIN_CRASH_SPAN), now + MIN_CRASH_SPAN);
    }
    let record = host.take_due_record(now + MIN_CRASH_SPAN, SystemTime::UNIX_EPOCH).unwrap();
    assert_eq!(record.facts.len(), MAX_FACTS_PER_RECORD);
    assert_eq!(record.facts.iter().filter(|fact| fact.request == request(0)).count(), 2);
}

/// Guards against a record that can't be read back, and against other bytes that are read as one.
#[test]
fn record_survives_encoding() {
    let (record, _) = record_of(3);
    assert_eq!(Evidence::from_bytes(&record.to_bytes()).unwrap(), record);
    assert!(Evidence::from_bytes(b"no record").is_err());
}
