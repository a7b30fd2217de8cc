//! Exchange of facts between two hosts, with lost answers and restarts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use jacinthbeam_crash::{
    Exchange, Fact, Fingerprint, Outcome, exchange::MAX_FACTS_PER_MESSAGE, fingerprint::HeadDigest,
};
use jacinthbeam_types::prelude::*;

const ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn host(name: &str, life: u64) -> Exchange {
    Exchange::new(name.parse().unwrap(), Incarnation(life))
}

fn request(n: usize) -> Fingerprint {
    Fingerprint::of(HeadDigest::of(&[b"GET", &n.to_be_bytes()]), b"")
}

fn observe_crash(host: &mut Exchange, of: usize, now: Instant) {
    let server = ServerName::into("s1".parse().unwrap());
    let outcome = Outcome::Crashed { server, caller: Ipv4Addr::LOCALHOST.into() };
    host.observe(Fact { request: request(of), outcome, at: now }, now);
}

fn knows(host: &Exchange, of: usize) -> bool {
    host.suspects().get(&request(of)).is_some()
}

/// `a` polls `b` once. Returns the number of facts sent in each direction.
fn poll(a: &mut Exchange, b: &mut Exchange, now: Instant) -> (usize, usize) {
    let question = a.question(ADDR, now);
    let answer = b.answer(&question, now);
    let facts = (question.facts.len(), answer.facts.len());
    a.on_answer(ADDR, answer, now);
    facts
}

/// Guards against facts that are sent back to the host that sent them.
#[test]
fn each_fact_is_sent_once_in_both_directions() {
    let now = Instant::now();
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    observe_crash(&mut a, 1, now);
    observe_crash(&mut b, 2, now);
    assert_eq!(poll(&mut a, &mut b, now), (1, 1));
    assert!([&a, &b].iter().all(|host| knows(host, 1) && knows(host, 2)));
    assert_eq!(poll(&mut a, &mut b, now), (0, 0), "a fact is sent again");
}

/// Guards against crashes that a polled host lacks after its restart: its pollers know of two
/// crashes under a request, and no other host receives these before the third.
#[test]
fn restarted_peer_is_sent_everything() {
    let now = Instant::now();
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    observe_crash(&mut a, 1, now);
    poll(&mut a, &mut b, now);
    let mut again = host("b", 3);
    // The first question is sent before the new incarnation is known.
    poll(&mut a, &mut again, now);
    poll(&mut a, &mut again, now);
    assert!(knows(&again, 1));
}

/// Guards against a position in the log of an earlier incarnation that is applied to the log of a
/// restarted host, which holds other facts.
#[test]
fn restarted_peer_is_read_from_the_start() {
    let now = Instant::now();
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    observe_crash(&mut b, 1, now);
    poll(&mut a, &mut b, now);
    let mut again = host("b", 3);
    observe_crash(&mut again, 2, now);
    poll(&mut a, &mut again, now);
    assert!(knows(&a, 2));
}

/// Guards against facts that are lost or counted twice when an answer is lost, so that the polling
/// host sends again what the other has merged.
#[test]
fn facts_resent_after_a_lost_answer_add_nothing() {
    let now = Instant::now();
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    observe_crash(&mut a, 1, now);
    observe_crash(&mut b, 2, now);
    b.answer(&a.question(ADDR, now), now);
    let end = b.end();
    assert_eq!(poll(&mut a, &mut b, now), (1, 1));
    assert_eq!(b.end(), end);
    assert!(knows(&a, 2) && knows(&b, 1));
}

/// Guards against messages of unlimited size, and against facts beyond the limit that are not sent.
#[test]
fn many_facts_are_sent_in_several_messages() {
    let now = Instant::now();
    let (mut a, mut b) = (host("a", 1), host("b", 2));
    let facts = 2 * MAX_FACTS_PER_MESSAGE + 1;
    (0..facts).for_each(|of| observe_crash(&mut a, of, now));
    let sent: Vec<usize> = (0..4).map(|_| poll(&mut a, &mut b, now).0).collect();
    assert_eq!(sent, [MAX_FACTS_PER_MESSAGE, MAX_FACTS_PER_MESSAGE, 1, 0]);
    assert!((0..facts).all(|of| knows(&b, of)));
}
