use jacinthbeam_entry::process::control::tail::{Error, MAX_BYTES, Tail};
use jacinthbeam_types::prelude::*;

/// Records 10 to 14, each of two bytes.
fn tail() -> Tail {
    let mut tail = Tail::default();
    (10..15).for_each(|n| tail.push(Offset(n), &[n as u8; 2]));
    tail
}

fn offsets(tail: &Tail, from: u64, max_bytes: usize) -> Result<Vec<u64>, Error> {
    let read = tail.read(Offset(from), max_bytes)?;
    assert!(read.iter().all(|(offset, record)| *record == [offset.0 as u8; 2]));
    Ok(read.iter().map(|(offset, _)| offset.0).collect())
}

#[test]
fn records_are_read_in_order_from_any_that_is_kept() {
    assert_eq!(offsets(&tail(), 10, 99), Ok(vec![10, 11, 12, 13, 14]));
    assert_eq!(offsets(&tail(), 13, 99), Ok(vec![13, 14]));
    assert_eq!(offsets(&tail(), 15, 99), Ok(vec![]));
    assert_eq!(offsets(&tail(), 9, 99), Err(Error::TooOld { first: Offset(10) }));
    assert_eq!(offsets(&tail(), 16, 99), Err(Error::Behind { next: Offset(15) }));
}

#[test]
fn an_answer_is_bounded_but_has_one_record() {
    assert_eq!(offsets(&tail(), 11, 5), Ok(vec![11, 12]));
    assert_eq!(offsets(&tail(), 11, 0), Ok(vec![11]));
}

#[test]
fn a_gap_starts_the_tail_anew() {
    // The host took over the state of a peer and so skipped records. Handed on as if nothing were missing, the others would fold
    // another history and name other owners.
    let mut tail = tail();
    tail.push(Offset(20), &[20; 2]);
    assert_eq!(offsets(&tail, 14, 99), Err(Error::TooOld { first: Offset(20) }));
    assert_eq!(offsets(&tail, 20, 99), Ok(vec![20]));
    tail.restart(Offset(30));
    assert_eq!(offsets(&tail, 20, 99), Err(Error::TooOld { first: Offset(30) }));
    assert_eq!(offsets(&tail, 30, 99), Ok(vec![]));
}

#[test]
fn memory_is_bounded_and_the_newest_record_is_kept() {
    let mut tail = Tail::default();
    let half = vec![0; MAX_BYTES / 2];
    (0..5).for_each(|n| tail.push(Offset(n), &half));
    assert_eq!((tail.first(), tail.next()), (Offset(3), Offset(5)));
    tail.push(Offset(5), &vec![0; MAX_BYTES + 1]);
    assert_eq!((tail.first(), tail.next()), (Offset(5), Offset(6)));
    assert_eq!(tail.read(Offset(5), 1).unwrap().len(), 1);
}
