use std::fmt::Write;

use jacinthbeam_admission::usage::{
    Batch, BatchId, Count, Counter, DecodeError, FLUSH_COUNTS, Fold, MAX_GAPS, MAX_LIVES, Pace,
    Record, decode, encode, flush_every,
};
use jacinthbeam_types::prelude::*;

use crate::{check, ms, service, start, team};

fn batch(incarnation: u64, sequence: u64, count: u64) -> Record {
    let id = BatchId { incarnation: Incarnation(incarnation), sequence };
    let (team, service) = (team("roads"), service("brinedesk"));
    Record::Batch(Batch { id, counts: vec![Count { team, service, verdict: Verdict::Ran, count }] })
}

fn ran(fold: &Fold) -> u64 {
    let totals = fold.totals().expect("the fold is complete");
    totals.values().flat_map(|services| services.values()).map(|totals| totals.ran).sum()
}

#[test]
fn a_batch_whose_append_got_no_answer_is_sent_again_unchanged_and_counted_once() {
    // The log writes a batch but its answer is lost. More requests run meanwhile. The batch is sent
    // again as it was, the log holds it twice, and the team is charged once for each request.
    let mut counter = Counter::new(Incarnation(9));
    let (roads, brine, calls) = (team("roads"), service("brinedesk"), service("callbell"));
    let mut text = String::new();
    let mut log: Vec<Record> = Vec::new();
    let mut append = |counter: &mut Counter, answered: bool| {
        let batch = counter.take_batch().expect("there are counts").clone();
        let counts: Vec<_> = batch
            .counts
            .iter()
            .map(|c| format!("{} {} {} {}", c.team, c.service, c.verdict, c.count))
            .collect();
        writeln!(text, "append {}: {}", batch.id, counts.join(", ")).expect("a string takes all");
        if answered {
            counter.acknowledged(batch.id);
        }
        log.push(Record::Batch(batch));
    };
    counter.count(&roads, &brine, Verdict::Ran);
    counter.count(&roads, &brine, Verdict::NotRun);
    counter.count(&roads, &calls, Verdict::MayHaveRun);
    append(&mut counter, false);
    counter.count(&roads, &brine, Verdict::Ran);
    assert_eq!(counter.at_risk(), 3);
    append(&mut counter, true);
    append(&mut counter, true);
    assert_eq!(counter.take_batch(), None);
    let mut fold = Fold::open(Offset(0));
    for (at, record) in log.iter().enumerate() {
        fold.apply(Offset(at as u64), record);
    }
    writeln!(text, "totals: {:?}", fold.totals()).expect("a string takes all");
    insta::assert_snapshot!(text);
}

#[test]
fn totals_outlive_the_retention_of_the_log() {
    // The log drops its oldest records. A reader that starts now takes the totals from a snapshot.
    // Two hosts append one at the same time, one of them late; the totals are those of a reader
    // that saw everything.
    let mut records = vec![batch(1, 1, 10), batch(2, 1, 5), batch(1, 2, 20)];
    let mut all = Fold::open(Offset(0));
    let feed = |fold: &mut Fold, records: &[Record]| {
        let from = fold.next().0 as usize;
        (from..records.len()).for_each(|at| fold.apply(Offset(at as u64), &records[at]));
    };
    feed(&mut all, &records);
    let snapshot = all.snapshot().expect("it saw everything");
    records.extend([
        batch(2, 2, 7),
        batch(1, 2, 20),
        snapshot.clone(),
        batch(1, 3, 1),
        snapshot,
        batch(3, 1, 2),
    ]);
    feed(&mut all, &records);
    let mut late = Fold::open(Offset(3));
    feed(&mut late, &records[..5]);
    assert_eq!(late.totals(), None, "older batches are missing");
    assert_eq!(late.snapshot(), None);
    feed(&mut late, &records);
    assert_eq!(ran(&late), 45);
    assert_eq!(late.totals(), all.totals());
    let mut too_late = Fold::open(Offset(4));
    feed(&mut too_late, &records);
    assert_eq!(too_late.totals(), None, "the batch at offset 3 is missing");
}

#[test]
fn usage_folded_under_repeats_and_reordering_is_the_sum() {
    // Batches of several processes reach the log repeated and crossed, snapshots fall in between,
    // and a reader starts anywhere before one of them. The total is the sum of what was counted,
    // once.
    check(|u| {
        let mut records: Vec<Record> = Vec::new();
        let mut sum = 0;
        for incarnation in 1..=3 {
            for sequence in 1..=u.int_in_range(0..=8)? {
                let count = u.int_in_range(1..=50)?;
                sum += count;
                for _ in 0..u.int_in_range(1..=3)? {
                    let at = u.int_in_range(0..=records.len())?;
                    records.insert(at, batch(incarnation, sequence, count));
                }
            }
        }
        let mut all = Fold::open(Offset(0));
        let mut log: Vec<Record> = Vec::new();
        let mut kept = None;
        let early = u.int_in_range(0..=records.len())? as u64;
        for record in records {
            log.push(decode(&encode(&record)).expect("it was just encoded"));
            all.apply(Offset(log.len() as u64 - 1), &record);
            if u.ratio(1, 4)? {
                kept = all.snapshot();
            }
            if u.ratio(1, 4)?
                && let Some(snapshot) = &kept
            {
                log.push(snapshot.clone());
                all.apply(Offset(log.len() as u64 - 1), snapshot);
            }
        }
        log.extend(all.snapshot());
        assert_eq!(ran(&all), sum);
        let mut late = Fold::open(Offset(early));
        for at in early..log.len() as u64 {
            late.apply(Offset(at), &log[at as usize]);
            late.apply(Offset(at), &log[at as usize]);
        }
        assert_eq!(ran(&late), sum);
        Ok(())
    });
}

#[test]
fn what_is_kept_of_each_process_life_is_bounded() {
    // Processes come and go for years. The fold keeps the last lives only, and a snapshot still
    // fits into one record of the log.
    let mut fold = Fold::open(Offset(0));
    let lives = MAX_LIVES as u64 + 100;
    (0..lives).for_each(|life| fold.apply(Offset(life), &batch(u64::MAX - life, 1, 1)));
    (0..200).for_each(|n| fold.apply(Offset(lives + n), &batch(1, 2 + 2 * n, 1)));
    let Some(Record::Snapshot(snapshot)) = fold.snapshot() else { panic!("the fold is complete") };
    assert_eq!(snapshot.lives.len(), MAX_LIVES);
    assert!(snapshot.lives.iter().all(|life| life.above.len() <= MAX_GAPS));
    let bytes = encode(&Record::Snapshot(snapshot)).len();
    assert!(bytes < 1 << 19, "{bytes} bytes");
    assert_eq!(ran(&fold), lives + 200);
}

#[test]
fn bytes_that_are_no_record_get_a_clear_error() {
    assert_eq!(decode(&[]), Err(DecodeError::Empty));
    assert_eq!(decode(&[9, 1, 2]), Err(DecodeError::Version(9)));
    assert!(matches!(decode(&[1, 200, 3]), Err(DecodeError::Garbage(_))));
    let mut long = encode(&batch(1, 1, 1));
    long.push(0);
    assert!(matches!(decode(&long), Err(DecodeError::Garbage(_))));
    check(|u| {
        drop(decode(u.bytes(u.len().min(200))?));
        Ok(())
    });
}

#[test]
fn batches_and_snapshots_come_at_a_pace_that_the_log_can_bear() {
    // Twelve hosts append once a second, a thousand every twenty seconds; a burst is sent at once.
    // Of several hosts one appends a snapshot.
    assert_eq!(flush_every(12), ms(1_000));
    assert_eq!(flush_every(1_000), ms(20_000));
    let mut counter = Counter::new(Incarnation(1));
    (1..FLUSH_COUNTS)
        .for_each(|_| counter.count(&team("roads"), &service("tilecast"), Verdict::Ran));
    assert!(!counter.is_due());
    counter.count(&team("roads"), &service("tilecast"), Verdict::Ran);
    assert!(counter.is_due());
    let now = start();
    let mut rng = fastrand::Rng::with_seed(5);
    let mut paces: Vec<_> = (0..4).map(|_| Pace::new(now, ms(1_000), &mut rng)).collect();
    let mut fold = Fold::open(Offset(0));
    fold.apply(Offset(0), &batch(1, 1, 1));
    let mut appended = 0;
    for at in (0..2_000).step_by(10) {
        for pace in &mut paces {
            if pace.is_due(now + ms(at), &fold) {
                let snapshot = fold.snapshot().expect("the fold is complete");
                fold.apply(fold.next(), &snapshot);
                appended += 1;
            }
        }
    }
    assert!((2..=4).contains(&appended), "{appended}");
}
