//! Snapshots and their parts.

use jacinthbeam_state::{Record, State, record::SnapshotPart, snapshot::Sets};

use jacinthbeam_types::prelude::*;

use crate::{load::load, support::*};

/// A state that has something of everything.
pub fn rich() -> Session {
    let mut session = Session::witnessed();
    session.append("hot", split(&session.state, 16));
    session.append("balance", shift(&session.state, &[1, 8], "t1", "t3"));
    session.append("first division", found("callbell", 8, &[("b1", 5), ("b2", 2)]));
    session.append("t2 is silent", evict(&session.state, "t2", &[101, 102, 103], &[(5, "t3")]));
    session
}

/// The state as parts of a few bytes, so that there are many.
pub fn small_parts(state: &State, size: usize) -> Vec<SnapshotPart> {
    let whole = state.to_snapshot_parts().expect("a small state");
    let [Record::Snapshot(whole)] = &whole[..] else { panic!("one part") };
    let chunks: Vec<_> = whole.bytes.chunks(size).collect();
    let of = chunks.len() as u32;
    let part = |(part, bytes): (usize, &&[u8])| SnapshotPart {
        part: part as u32,
        of,
        bytes: bytes.to_vec(),
        ..whole.clone()
    };
    chunks.iter().enumerate().map(part).collect()
}

#[test]
fn state_reads_back_as_written() {
    let state = rich().state;
    let buf = state.encode().expect("a small state");
    let read = State::decode(state.next, &buf).expect("just written");
    assert_eq!(read, state);
    assert_eq!(read.encode().as_ref(), Ok(&buf));
    let id = name("t3");
    assert!(read.slots_of(&id).eq(state.slots_of(&id)));
}

#[test]
fn cut_and_changed_bytes_are_refused_without_panic() {
    let state = rich().state;
    let buf = state.encode().expect("a small state");
    for len in 0..buf.len() {
        assert!(State::decode(state.next, &buf[..len]).is_err());
    }
    for (at, flip) in (0..buf.len()).flat_map(|at| [1, 2, 3, 0x55].map(|flip| (at, flip))) {
        let mut changed = buf.clone();
        changed[at] ^= flip;
        if let Ok(read) = State::decode(state.next, &changed) {
            go_on(read);
        }
    }
}

/// Changes owners of a state that was read from doubtful bytes.
fn go_on(state: State) {
    check_lists(&state);
    let mut session =
        Session { log: vec![Vec::new(); state.next.0 as usize], state, ..Session::default() };
    if !session.state.services.contains_key(&name::<ServiceName>("tilecast")) {
        return;
    }
    session.append("hot", split(&session.state, 40));
    check_lists(&session.state);
    for server in ["t4", "t5", "t6"] {
        session.append("new host", join(&session.state, server, "tilecast", 50));
        session.append("balance", shift(&session.state, &[0, 2], "t1", server));
        session.append("balance", shift(&session.state, &[1, 5], "t3", server));
        session.append("vacant", reassign(&session.state, &[4, 6, 7], server));
        check_lists(&session.state);
    }
    let owners = owners(&session.state);
    let buf = session.state.encode().expect("a small state");
    let read = State::decode(session.state.next, &buf).expect("just written");
    assert_eq!(crate::support::owners(&read), owners);
}

// Two hosts append a snapshot of the same state at once, and one stops half-way. Parts stand mixed
// in the stream, some twice. A reader needs each part once, whoever wrote it.
#[test]
fn parts_of_two_hosts_fit_together() {
    let state = rich().state;
    let parts = small_parts(&state, 100);
    let mut sets = Sets::default();
    let first_half = &parts[..parts.len() / 2];
    for part in first_half.iter().chain(first_half) {
        assert_eq!(sets.push(part.clone()), Ok(None));
    }
    let mut last = Ok(None);
    for part in parts[parts.len() / 2..].iter().rev() {
        assert_eq!(last, Ok(None));
        last = sets.push(part.clone());
    }
    assert_eq!(last, Ok(Some(state)));
}

// A host stops in the middle of a snapshot and another one appends a snapshot of a later state. The
// parts that are left over must not end up in it.
#[test]
fn half_a_snapshot_does_no_harm_to_the_next_one() {
    let mut session = rich();
    let old = small_parts(&session.state, 100);
    session.append("t1 answers", keep(&session.state, "t1"));
    let new = small_parts(&session.state, 100);
    let mut sets = Sets::default();
    let mut last = Ok(None);
    for (at, part) in new.iter().enumerate() {
        if let Some(old) = old.get(at).filter(|_| at != 1) {
            assert_eq!(sets.push(old.clone()), Ok(None));
        }
        last = sets.push(part.clone());
    }
    assert_eq!(last, Ok(Some(session.state)));
}

#[test]
fn large_state_comes_in_records_of_less_than_half_a_mebibyte() {
    let mut session = rich();
    for file in 0..12 {
        let text = format!("// {}\n{{}}", "x".repeat(100_000));
        session.publish(&format!("5{file}-long.json"), Some(&text));
    }
    let parts = session.state.to_snapshot_parts().expect("a state");
    assert!(parts.len() > 2);
    let (state, mut log) = (session.state.clone(), Session::default().log);
    for part in parts {
        session.append("snapshot", part);
        log.extend(session.log.last().cloned());
    }
    assert!(log.iter().all(|buf| buf.len() < 512 << 10));
    let from = state.next.0 as usize;
    assert_eq!(load(&session.log, from).expect("no gap").expect("a snapshot"), session.state);
}

#[test]
fn damaged_part_drops_its_snapshot_only() {
    let state = rich().state;
    let mut sets = Sets::default();
    let mut parts = small_parts(&state, 1 << 20);
    parts[0].bytes[9] ^= 1;
    assert!(sets.push(parts[0].clone()).is_err());
    assert!(sets.push(SnapshotPart { part: 3, of: 2, ..parts[0].clone() }).is_err());
    assert_eq!(sets.push(small_parts(&state, 1 << 20).remove(0)), Ok(Some(state)));
}

#[test]
fn reader_with_state_ignores_parts_and_can_check_itself_against_them() {
    let mut session = rich();
    let part = small_parts(&session.state, 1 << 20).remove(0);
    let owners = session.owners();
    session.append("snapshot", Record::Snapshot(part.clone()));
    assert_eq!(session.owners(), owners);
    assert_eq!(session.state.agrees_with(&part), Some(true));

    let other = SnapshotPart { checksum: part.checksum ^ 1, ..part.clone() };
    assert_eq!(session.state.agrees_with(&other), Some(false));
    session.append("t1 answers", keep(&session.state, "t1"));
    assert_eq!(session.state.agrees_with(&part), None);
}
