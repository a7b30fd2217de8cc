//! The newest records of the control stream, kept for hosts that read through this one.

use std::collections::VecDeque;

use jacinthbeam_types::prelude::*;

/// Most bytes of records kept: two of the largest reads, so that what one read brought is still there when the hosts
/// that wait for it are answered. The newest record is kept in any case.
pub const MAX_BYTES: usize = 8 << 20;

/// Consecutive records up to the last one that was read.
#[derive(Debug, Default)]
pub struct Tail {
    records: VecDeque<Vec<u8>>,
    bytes: usize,
    /// Offset after the last record.
    next: Offset,
}

/// Why records can't be had from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// They were dropped, or never read in full.
    TooOld {
        /// First record that is kept.
        first: Offset,
    },
    /// They have not been read yet.
    Behind {
        /// First record that has not been read.
        next: Offset,
    },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooOld { first } => write!(f, "only records from {first} on are kept here"),
            Self::Behind { next } => write!(f, "only records before {next} were read here"),
        }
    }
}

impl std::error::Error for Error {}

impl Tail {
    /// Takes in a record that was read. A copy is kept, so that the buffer of a whole read is not held by one record of it.
    ///
    /// A record that does not follow the last one starts the tail anew: handed on with a gap, the records would make
    /// the other host fold another history.
    pub fn push(&mut self, offset: Offset, record: &[u8]) {
        if offset != self.next {
            self.restart(offset);
        }
        self.records.push_back(record.to_vec());
        self.bytes += record.len();
        self.next = offset.next();
        while self.bytes > MAX_BYTES && self.records.len() > 1 {
            let dropped = self.records.pop_front();
            self.bytes -= dropped.map_or(0, |record| record.len());
        }
    }

    /// Keeps nothing and goes on at an offset.
    pub fn restart(&mut self, next: Offset) {
        *self = Self { next, ..Self::default() };
    }

    /// Offset after the last record.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset of the first record kept.
    pub fn first(&self) -> Offset {
        Offset(self.next.0 - self.records.len() as u64)
    }

    /// Records from an offset on, at most so many bytes of them, but at least one if there is one.
    pub fn read(&self, from: Offset, max_bytes: usize) -> Result<Vec<(Offset, Vec<u8>)>, Error> {
        if from > self.next {
            return Err(Error::Behind { next: self.next });
        }
        let skipped = from.0.checked_sub(self.first().0);
        let skipped = skipped.ok_or(Error::TooOld { first: self.first() })?;
        let mut read = Vec::new();
        let mut bytes = 0;
        for (offset, record) in (from.0..).zip(self.records.iter().skip(skipped as usize)) {
            bytes += record.len();
            if bytes > max_bytes && !read.is_empty() {
                break;
            }
            read.push((Offset(offset), record.clone()));
        }
        Ok(read)
    }
}
