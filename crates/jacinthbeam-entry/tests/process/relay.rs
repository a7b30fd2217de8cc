use std::time::{Duration, Instant};

use jacinthbeam_entry::process::control::{
    Source,
    fanout::{Ways, batch, proof_time},
    relay::{MAX_WAIT, Proved, Relay, Wanted},
};
use jacinthbeam_lease::Timing;
use jacinthbeam_peer::message::{Answer, Records};
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot::{self, Receiver, error::TryRecvError};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A host that has read records 0 to 4, with a read started at `started` that reached their end.
fn relay(started: Instant) -> Relay {
    let mut relay = Relay::default();
    (0..5).for_each(|n| relay.tail().push(Offset(n), &[n as u8]));
    relay.proved(proved(started, 5));
    relay
}

fn proved(started: Instant, end: u64) -> Proved {
    Proved { started, end: Offset(end), earliest: Offset(0) }
}

fn ask(relay: &mut Relay, now: Instant, from: u64) -> Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    relay.ask(now, Wanted { from: Offset(from), max_bytes: 1000, wait: MAX_WAIT, reply });
    answer
}

fn records(answer: &mut Receiver<Answer>) -> Records {
    match answer.try_recv() {
        Ok(Answer::Records(records)) => records,
        other => panic!("no records but {other:?}"),
    }
}

fn refusal(answer: &mut Receiver<Answer>) -> String {
    match answer.try_recv() {
        Ok(Answer::Failed { why }) => why,
        other => panic!("no refusal but {other:?}"),
    }
}

#[test]
fn records_that_are_there_are_answered_at_once_with_the_age_of_the_last_proof() {
    let start = Instant::now();
    let answered = records(&mut ask(&mut relay(start), start + ms(170), 3));
    let expected = Records {
        records: vec![(Offset(3), vec![3]), (Offset(4), vec![4])],
        earliest: Offset(0),
        end: Offset(5),
        proof_age: ms(170),
    };
    assert_eq!(answered, expected);
}

#[test]
fn host_that_has_all_records_waits_for_the_end_of_the_next_read() {
    // The read that ends was started before the question arrived, so its proof is older than the question, by just that much. The
    // next one was started after; it counts as no younger than the question.
    let start = Instant::now();
    let mut relay = relay(start);
    let mut first = ask(&mut relay, start + ms(200), 5);
    assert_eq!(first.try_recv(), Err(TryRecvError::Empty));
    relay.proved(proved(start + ms(150), 5));
    relay.read_ended();
    assert_eq!(records(&mut first).proof_age, ms(50));

    let mut second = ask(&mut relay, start + ms(301), 5);
    relay.tail().push(Offset(5), &[5]);
    relay.proved(proved(start + ms(302), 6));
    relay.read_ended();
    let answered = records(&mut second);
    assert_eq!((answered.proof_age, answered.end), (Duration::ZERO, Offset(6)));
    assert_eq!(answered.records, [(Offset(5), vec![5])]);
}

#[test]
fn an_old_proof_never_looks_young_however_long_a_question_waits() {
    // Records are read, but the end of the stream is not reached any more. The proof that goes with them is the old one, with
    // its age; the host that asked can't renew a lease on it that an eviction in the missing records ended.
    let start = Instant::now();
    let mut relay = relay(start);
    let mut waiting = ask(&mut relay, start + ms(1000), 5);
    relay.tail().push(Offset(5), &[5]);
    relay.read_ended();
    let answered = records(&mut waiting);
    assert_eq!((answered.proof_age, answered.end), (ms(1000), Offset(5)));
}

#[test]
fn host_whose_own_read_is_late_refuses_after_the_wait() {
    // The relay is cut from the log and does not know it yet. Whoever reads through it learns so within the
    // wait and reads the log itself.
    let start = Instant::now();
    let mut relay = relay(start);
    let mut waiting = ask(&mut relay, start, 5);
    relay.refuse_late(start + MAX_WAIT - ms(1));
    assert_eq!(waiting.try_recv(), Err(TryRecvError::Empty));
    relay.refuse_late(start + MAX_WAIT);
    assert_eq!(refusal(&mut waiting), "this host's own read of the log is late");
}

#[test]
fn host_that_lags_behind_refuses_after_the_wait() {
    let start = Instant::now();
    let mut relay = relay(start);
    let mut ahead = ask(&mut relay, start, 7);
    relay.read_ended();
    assert_eq!(ahead.try_recv(), Err(TryRecvError::Empty));
    relay.refuse_late(start + MAX_WAIT);
    refusal(&mut ahead);
}

#[test]
fn what_is_not_kept_any_more_or_was_never_proved_is_refused() {
    let now = Instant::now();
    let mut unproved = Relay::default();
    unproved.tail().push(Offset(7), b"record");
    assert_eq!(refusal(&mut ask(&mut unproved, now, 6)), "only records from 7 on are kept here");
    let why = refusal(&mut ask(&mut unproved, now, 7));
    assert_eq!(why, "no read of this host has reached the end of the stream yet");
}

#[test]
fn a_failed_read_refuses_all_that_wait() {
    let now = Instant::now();
    let mut relay = relay(now);
    let mut waiting = [ask(&mut relay, now, 5), ask(&mut relay, now, 5)];
    relay.refuse_all("the log is down");
    waiting.iter_mut().for_each(|answer| assert_eq!(refusal(answer), "the log is down"));
}

#[test]
fn a_relayed_proof_counts_from_before_the_question_by_more_than_its_age() {
    // The age was taken by a clock that may run slow, so its bound on the rate error is added.
    let asked = Instant::now();
    let timing = Timing::default();
    assert_eq!(proof_time(asked, Duration::ZERO, &timing), Some(asked));
    assert_eq!(proof_time(asked, ms(100), &timing), Some(asked - ms(100) - ms(100).mul_f64(0.002)));
    assert_eq!(proof_time(asked, Duration::MAX, &timing), None);
}

#[test]
fn records_with_a_gap_are_not_taken() {
    // A faulty relay leaves a record out. Applied without it, this host would name other owners than its peers do.
    let answer = |offsets: &[u64]| Records {
        records: offsets.iter().map(|n| (Offset(*n), vec![*n as u8])).collect(),
        earliest: Offset(0),
        end: Offset(9),
        proof_age: ms(1),
    };
    for offsets in [&[4, 6][..], &[5], &[3, 4], &[4, 4]] {
        batch(Offset(4), answer(offsets)).unwrap_err();
    }
    let taken = batch(Offset(4), answer(&[4, 5])).unwrap();
    assert_eq!((taken.records.len(), taken.end), (2, Offset(9)));
    assert_eq!(batch(Offset(4), answer(&[])).unwrap().records, []);
}

#[test]
fn a_relay_that_fails_again_and_again_is_left_alone_for_longer() {
    // The log is down or slow for everybody. Asked every two seconds all the same, each relay would cost its readers a wait that
    // they need for reads of their own.
    let start = Instant::now();
    let addr = ([10, 0, 0, 1], 7001).into();
    let mut ways = Ways::default();
    assert!(!ways.avoids(start, addr));
    for seconds in [2, 4, 8, 16, 16] {
        ways.failed(start, addr);
        assert!(ways.avoids(start + ms(seconds * 1000 - 1), addr));
        assert!(!ways.avoids(start + ms(seconds * 1000), addr));
    }
    ways.succeeded(&Source::Relay { host: "entry-1".parse().unwrap(), addr });
    ways.failed(start, addr);
    assert!(!ways.avoids(start + ms(2000), addr));
}
