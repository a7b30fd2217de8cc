//! Applies records in the order of the stream.

mod config;
mod evict;
mod found;
mod join;
mod moves;
mod slots;
mod split;
mod witnesses;

use std::{fmt, sync::Arc};

use jacinthbeam_types::prelude::*;

use crate::{
    Change, Envelope, Outcome, Record, State, Why,
    recent::Entry,
    record::codec::{self, VERSION},
};

/// Why a reader must not go on from here. The state is unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The record is not the next one; some are missing in between, or it was applied before.
    Gap {
        /// Offset that has to come next.
        next: Offset,
        /// Offset that came.
        came: Offset,
    },
    /// The record was written by a newer release, which may give it a meaning that this one does not know.
    ///
    /// Passing over it would lead to another state than that of newer readers, and so to two owners
    /// of a key. The state up to here stays true, but nothing newer can be read: this host has no
    /// proof from the log any more.
    Newer {
        /// Where it stands.
        offset: Offset,
        /// Its format.
        version: u8,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { next, came } => {
                write!(f, "record {next} of the control stream has to come next, {came} came")
            }
            Self::Newer { offset, version } => write!(
                f,
                "record {offset} of the control stream has format {version}, this release reads up to {VERSION}; update this host"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl State {
    /// Applies the bytes of the next record.
    ///
    /// Bytes that no release could have written are void for every reader. A record of a newer
    /// release is an error.
    pub fn apply_bytes(&mut self, offset: Offset, buf: &[u8]) -> Result<Outcome, Error> {
        self.check_next(offset)?;
        match Envelope::decode(buf) {
            Ok(envelope) => self.apply(offset, &envelope),
            Err(codec::Error::Newer(version)) => Err(Error::Newer { offset, version }),
            Err(err) => {
                self.next = offset.next();
                Ok(Outcome::Void(Why::Garbage(err.to_string())))
            }
        }
    }

    /// Applies the next record.
    pub fn apply(&mut self, offset: Offset, envelope: &Envelope) -> Result<Outcome, Error> {
        self.check_next(offset)?;
        let outcome = self.apply_record(offset, &envelope.record).unwrap_or_else(Outcome::Void);
        self.next = offset.next();
        if outcome.is_applied() && !matches!(envelope.record, Record::Snapshot(_)) {
            self.changed = self.next;
            self.remember(offset, envelope, outcome.changes());
        }
        Ok(outcome)
    }

    fn check_next(&self, came: Offset) -> Result<(), Error> {
        if came == self.next { Ok(()) } else { Err(Error::Gap { next: self.next, came }) }
    }

    fn apply_record(&mut self, at: Offset, record: &Record) -> Result<Outcome, Why> {
        match record {
            Record::Config(change) => self.apply_config(at, change),
            Record::Found { service, base, slots, servers, owners } => {
                self.apply_found(at, service, *base, *slots, servers, owners)
            }
            Record::Join { server, service, cell, incarnation, base } => {
                self.apply_join(at, server, service, cell, *incarnation, *base)
            }
            Record::Move { service, slots, from, to } => {
                self.apply_move(at, service, slots, from, to)
            }
            Record::Release { service, slots, from } => {
                self.apply_release(at, service, slots, from)
            }
            Record::Reassign { service, server, slots } => {
                self.apply_reassign(at, service, server, slots)
            }
            Record::Evict { server, server_epoch, witness_epoch, promised, to } => {
                self.apply_evict(at, server, *server_epoch, *witness_epoch, promised, to)
            }
            Record::Keep { server, server_epoch } => self.apply_keep(at, server, *server_epoch),
            Record::Leave { server, server_epoch } => self.apply_leave(server, *server_epoch),
            Record::Split { service, key, slot, base } => {
                self.apply_split(at, service, *key, *slot, *base)
            }
            Record::Merge { service, key, base, parent_base } => {
                self.apply_merge(at, service, *key, *base, *parent_base)
            }
            Record::Witnesses { cell, base, members, retired } => {
                self.apply_witnesses(at, cell, *base, members, retired)
            }
            Record::Snapshot(part) => {
                let (upto, part, of) = (part.upto, part.part, part.of);
                Ok(Outcome::one(Change::SnapshotPart { upto, part, of }))
            }
        }
    }

    fn remember(&mut self, offset: Offset, envelope: &Envelope, changes: &[Change]) {
        let mut about: Vec<_> = changes.iter().flat_map(Change::servers).collect();
        about.sort_unstable();
        about.dedup();
        if about.is_empty() {
            return;
        }
        let why = envelope.why.clone();
        let entry = Arc::new(Entry { offset, id: envelope.id, why, changes: changes.to_vec() });
        for server in about {
            if let Some(place) = self.servers.place(server) {
                self.recent.push(place, &entry);
            }
        }
    }
}
