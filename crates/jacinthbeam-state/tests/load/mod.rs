//! Readers that start in the middle of the stream.

use jacinthbeam_state::{
    Record, State, apply,
    load::{Loader, Step},
    record::SnapshotPart,
};
use jacinthbeam_types::prelude::*;

use crate::{
    snapshot::{rich, small_parts},
    support::*,
};

/// Reads the stream from an offset to its end.
pub fn load(log: &[Vec<u8>], from: usize) -> Result<Option<State>, apply::Error> {
    let mut loader = Loader::at(Offset(from as u64));
    let mut state: Option<State> = None;
    for (at, buf) in log.iter().enumerate().skip(from) {
        let offset = Offset(at as u64);
        if let Some(state) = &mut state {
            state.apply_bytes(offset, buf)?;
        } else if let Step::Loaded(loaded) = loader.push(offset, buf)? {
            state = Some(*loaded);
        }
    }
    Ok(state)
}

// The first records have expired. A host that starts then reads a snapshot whose parts stand
// between other records: those before its last part, which the snapshot does not contain, count
// too.
#[test]
fn reader_finds_the_snapshot_and_the_records_between_its_parts() {
    let mut session = rich();
    let taken = session.log.len();
    let parts = small_parts(&session.state, 150);
    session.append("t1 answers", keep(&session.state, "t1"));
    for (at, part) in parts.into_iter().enumerate() {
        session.append("snapshot", Record::Snapshot(part));
        if at == 1 {
            session.append("t1 restarted", join(&session.state, "t1", "tilecast", 11));
        }
    }
    session.append("balance", shift(&session.state, &[0], "t1", "t3"));

    let whole = load(&session.log, 0).expect("no gap").expect("a state");
    assert_eq!(whole, session.state);
    let late = load(&session.log, taken - 2).expect("no gap").expect("a state");
    assert_eq!(late, session.state);
    // From here on the first record after the snapshot is missing, so it can't be used.
    assert_eq!(load(&session.log, taken + 1), Ok(None));
}

// A snapshot claims to hold records that are not in the stream yet. Nothing after it could be applied.
#[test]
fn snapshot_of_later_records_than_the_stream_has_is_not_used() {
    let mut session = rich();
    let taken = session.log.len();
    let part = small_parts(&session.state, 1 << 20).remove(0);
    let upto = Offset(taken as u64 + 7);
    session.append("snapshot", Record::Snapshot(SnapshotPart { upto, ..part.clone() }));
    assert_eq!(load(&session.log, taken), Ok(None));
    session.append("snapshot", Record::Snapshot(part));
    assert_eq!(load(&session.log, taken).expect("no gap").as_ref(), Some(&session.state));
}

#[test]
fn gap_while_looking_for_a_snapshot_is_an_error() {
    let session = rich();
    let mut loader = Loader::at(Offset(1));
    let err = loader.push(Offset(2), &session.log[2]);
    assert_eq!(err.err(), Some(apply::Error::Gap { next: Offset(1), came: Offset(2) }));
}

// A record of a newer release stands between the snapshot and the end. What it says is unknown, so
// there is no state to start from; before the snapshot it does no harm.
#[test]
fn newer_record_counts_only_after_the_snapshot() {
    let mut session = rich();
    let newer = vec![jacinthbeam_state::record::codec::VERSION + 1, 0];
    let mut log = session.log.clone();
    log[3] = newer.clone();
    let taken = log.len();
    let part = small_parts(&session.state, 1 << 20).remove(0);
    session.append("snapshot", Record::Snapshot(part));
    log.push(session.log[taken].clone());
    assert_eq!(load(&log, 2).expect("no gap").as_ref(), Some(&session.state));

    log.insert(taken, newer);
    assert!(matches!(load(&log, 2), Err(apply::Error::Newer { .. })));
}
