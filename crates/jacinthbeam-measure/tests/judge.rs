//! The judge sees what it is there for.

use std::time::{Duration, Instant};

use jacinthbeam::native::request::key_of;
use jacinthbeam_measure::{
    judge::{Promise, broken, latency, unavailable},
    load::{Ask, Keys, Note, Told},
};
use jacinthbeam_standin::backend::Run;

fn note(id: &str, idempotent: bool, told: Told) -> Note {
    let ask = Ask {
        id: id.into(),
        path: "/".into(),
        service: "orders".parse().unwrap(),
        key: None,
        idempotent,
    };
    let now = Instant::now();
    Note { ask, key: None, host: "127.0.0.1:1".parse().unwrap(), sent: now, ended: now, told }
}

fn run(id: &str, server: &str, key: Option<&str>, begun: Instant, lasts: u64) -> Run {
    Run {
        request: id.parse().unwrap(),
        server: server.parse().unwrap(),
        key: key.map(|key| key_of(key.as_bytes())),
        begun,
        ended: begun + Duration::from_millis(lasts),
    }
}

#[test]
fn a_kept_promise_is_not_called_broken() {
    let now = Instant::now();
    let notes =
        [note("a", false, Told::Ran), note("b", false, Told::NotRun), note("c", true, Told::Ran)];
    let runs = [
        run("a", "orders-1", None, now, 5),
        run("c", "orders-1", None, now, 5),
        run("c", "orders-2", None, now, 5),
    ];
    assert!(broken(&notes, &runs).is_empty());
}

#[test]
fn each_broken_promise_is_found() {
    let now = Instant::now();
    let runs = [run("a", "orders-1", None, now, 5), run("a", "orders-2", None, now, 5)];
    let only = |notes: &[Note]| broken(notes, &runs).into_keys().collect::<Vec<_>>();
    assert_eq!(only(&[note("a", false, Told::MayHaveRun)]), [Promise::AtMostOnce]);
    assert_eq!(only(&[note("a", true, Told::NotRun)]), [Promise::NotRunIsTrue]);
    assert_eq!(only(&[note("b", true, Told::Ran)]), [Promise::RanIsTrue]);
}

#[test]
fn two_servers_at_work_for_one_key_are_found() {
    let now = Instant::now();
    let later = now + Duration::from_millis(5);
    let clash = |lasts| {
        let runs =
            [run("a", "tiles-1", Some("k"), now, lasts), run("b", "tiles-2", Some("k"), later, 5)];
        broken(&[], &runs).contains_key(&Promise::OneOwner)
    };
    assert!(clash(6));
    assert!(!clash(5));
}

#[test]
fn the_longest_pause_between_successes_is_the_unavailable_time() {
    let begun = Instant::now();
    let at = |ms, told| {
        let ended = begun + Duration::from_millis(ms);
        Note { ended, ..note("a", true, told) }
    };
    let notes = [
        at(0, Told::Ran),
        at(10, Told::Ran),
        at(50, Told::NotRun),
        at(90, Told::Ran),
        at(95, Told::Ran),
    ];
    assert_eq!(unavailable(&notes, |_| true, begun), Duration::from_millis(80));
    // What is lost from the start on is away until the first success.
    let only = |note: &Note| note.ended > begun + Duration::from_millis(90);
    assert_eq!(unavailable(&notes, only, begun), Duration::from_millis(95));
}

#[test]
fn few_keys_are_asked_for_often() {
    let (keys, mut rng) = (Keys::default(), fastrand::Rng::with_seed(1));
    let drawn: Vec<String> = (0..20_000).map(|_| keys.draw(&mut rng)).collect();
    let first = drawn.iter().filter(|key| *key == "key-0").count();
    assert!((1200..3200).contains(&first), "{first} of 20000");
}

#[test]
fn only_answers_count_for_the_latency() {
    let begun = Instant::now();
    let took = |ms, told| {
        let ended = begun + Duration::from_millis(ms);
        Note { sent: begun, ended, ..note("a", true, told) }
    };
    let mut notes: Vec<Note> = (1..=100).map(|ms| took(ms, Told::Ran)).collect();
    notes.push(took(5000, Told::NotRun));
    let (p50, p99) = latency(&notes);
    assert!((50..=51).contains(&p50.as_millis()) && (98..=100).contains(&p99.as_millis()));
    assert_eq!(latency(&[]), (Duration::ZERO, Duration::ZERO));
}
