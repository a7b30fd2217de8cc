//! Finds the state in a stream whose first records have expired.
//!
//! A reader starts at any offset that is kept, and pushes one record after the other. At offset 0
//! the state is empty and known at once. Elsewhere the loader waits for all parts of a snapshot
//! that begins no earlier than the reader, and then applies the records which it kept meanwhile.
//! Snapshots of later offsets lead to the same state, so the first complete one will do; a reader
//! that wants to apply as few records as possible starts near the end of the stream, and further
//! back if it reaches the end without a state.

use std::collections::VecDeque;

use jacinthbeam_types::prelude::*;

use crate::{
    Envelope, Record, State, apply,
    snapshot::{self, Sets},
};

/// Bytes of records kept while looking for a snapshot. A snapshot is appended within far fewer than this.
pub const MAX_KEPT: usize = 64 << 20;
/// Counted for each record besides its own bytes.
const OVERHEAD: usize = 64;

/// What came of a record.
#[derive(Debug)]
pub enum Step {
    /// No state yet: no snapshot has come whole.
    Searching,
    /// A snapshot came whole and could not be used; the search goes on.
    Unusable(snapshot::Error),
    /// The state is known now, with all records up to this one applied.
    Loaded(Box<State>),
}

/// A reader without state.
#[derive(Debug)]
pub struct Loader {
    next: Offset,
    kept: VecDeque<Vec<u8>>,
    kept_bytes: usize,
    sets: Sets,
}

impl Loader {
    /// A reader whose first record will be the one at `from`.
    pub fn at(from: Offset) -> Self {
        Self { next: from, kept: VecDeque::new(), kept_bytes: 0, sets: Sets::default() }
    }

    /// The record that has to be pushed next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Takes the next record. After [`Step::Loaded`] the loader is used no more.
    pub fn push(&mut self, offset: Offset, buf: &[u8]) -> Result<Step, apply::Error> {
        if offset != self.next {
            return Err(apply::Error::Gap { next: self.next, came: offset });
        }
        if offset == Offset(0) {
            let mut state = State::new();
            state.apply_bytes(offset, buf)?;
            return Ok(Step::Loaded(Box::new(state)));
        }
        self.next = offset.next();
        let part = match Envelope::decode(buf) {
            Ok(Envelope { record: Record::Snapshot(part), .. }) => Some(part),
            _ => None,
        };
        // A part has no effect when it is applied, so its bytes need not be kept twice.
        self.keep(if part.is_some() { Vec::new() } else { buf.to_vec() });
        let Some(part) = part else { return Ok(Step::Searching) };
        match self.sets.push(part) {
            Ok(Some(state)) => self.catch_up(state),
            Ok(None) => Ok(Step::Searching),
            Err(err) => Ok(Step::Unusable(err)),
        }
    }

    fn keep(&mut self, buf: Vec<u8>) {
        self.kept_bytes += buf.len() + OVERHEAD;
        self.kept.push_back(buf);
        while self.kept_bytes > MAX_KEPT {
            let Some(oldest) = self.kept.pop_front() else { return };
            self.kept_bytes -= oldest.len() + OVERHEAD;
        }
    }

    fn first_kept(&self) -> Offset {
        Offset(self.next.0 - self.kept.len() as u64)
    }

    fn catch_up(&mut self, mut state: State) -> Result<Step, apply::Error> {
        let first = self.first_kept();
        // Records between the snapshot and the first one kept were never seen; they may hold an eviction.
        if state.next < first || state.next > self.next {
            return Ok(Step::Searching);
        }
        let skip = (state.next.0 - first.0) as usize;
        for buf in self.kept.iter().skip(skip) {
            let offset = state.next;
            state.apply_bytes(offset, buf)?;
        }
        Ok(Step::Loaded(Box::new(state)))
    }
}
