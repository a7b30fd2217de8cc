//! Until when a lease may be renewed: the last proof that no eviction of the backend server stands.

use std::{collections::BTreeMap, time::Instant};

use jacinthbeam_config::CutOff;
use jacinthbeam_state::State;
use jacinthbeam_types::prelude::*;

use crate::witness::{Vouch, Witness};

/// Most witnesses whose word is kept; those of a few sets that follow each other.
const MAX_WORDS: usize = 32;

/// What this host knows of the log and of the witnesses of its cell.
#[derive(Debug, Clone, Default)]
pub struct Proofs {
    log: Option<LogRead>,
    words: BTreeMap<Incarnation, Word>,
}

/// A read of the control stream that reached its end.
#[derive(Debug, Clone, Copy)]
struct LogRead {
    started: Instant,
    end: Offset,
}

#[derive(Debug, Clone)]
struct Word {
    started: Instant,
    vouch: Vouch,
}

impl Proofs {
    /// Knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a read of the control stream that reached its end: no record stands before `end` that
    /// was not read.
    ///
    /// `started` is the local time just before the request was sent; for a read through another host, less
    /// the age of the proof that this host states. A long poll proves the time of its start only, so it must
    /// be short against the lease.
    pub fn log_read(&mut self, started: Instant, end: Offset) {
        if self.log.is_none_or(|log| log.started < started) {
            self.log = Some(LogRead { started, end });
        }
    }

    /// Notes the word of a witness in an answer to a heartbeat; `started` is the local time just before the
    /// heartbeat was sent.
    pub fn vouched(&mut self, witness: Incarnation, started: Instant, vouch: Vouch) {
        if self.words.get(&witness).is_some_and(|word| word.started >= started) {
            return;
        }
        self.words.insert(witness, Word { started, vouch });
        if self.words.len() > MAX_WORDS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.words.iter().min_by_key(|(_, word)| word.started);
        if let Some(witness) = oldest.map(|(witness, _)| *witness) {
            self.words.remove(&witness);
        }
    }

    /// When the last read of the log was started whose records are all in this fold.
    pub fn log(&self, state: &State) -> Option<Instant> {
        self.log.filter(|log| log.end <= state.next).map(|log| log.started)
    }

    /// The proof time of a backend server of this host's cell; `None` if nothing proves that its lease may be
    /// renewed.
    ///
    /// `own` is this host as a witness. It speaks for `now`, so it must know of every promise that was given.
    pub fn proof(
        &self,
        now: Instant,
        state: &State,
        server: &ServerId,
        cut_off: CutOff,
        own: &Witness,
    ) -> Option<Instant> {
        let witnesses = match cut_off {
            CutOff::Hold => self.witnesses(now, state, server, own),
            CutOff::Yield => None,
        };
        self.log(state).max(witnesses)
    }

    /// Whether some witness has promised silence for the server at its present epoch, as far as
    /// this host knows.
    pub fn promised(&self, state: &State, server: &ServerId, own: &Witness) -> bool {
        let names = |vouch: &Vouch| vouch.names(state, server);
        own.vouch(state).as_ref().is_some_and(names)
            || self.words.values().any(|word| names(&word.vouch))
    }

    /// The `r`-th newest time at which a member of the set gave its word.
    fn witnesses(
        &self,
        now: Instant,
        state: &State,
        server: &ServerId,
        own: &Witness,
    ) -> Option<Instant> {
        let known = state.servers.get(server)?;
        let set = state.cells.get(&known.cell)?;
        let word = |incarnation: Incarnation| {
            if incarnation == own.incarnation() {
                return own
                    .vouch(state)
                    .filter(|vouch| vouch.holds(state, set, server))
                    .map(|_| now);
            }
            let word = self.words.get(&incarnation)?;
            word.vouch.holds(state, set, server).then_some(word.started)
        };
        let words = set.members.iter().filter_map(|member| word(member.incarnation));
        let mut words: Vec<Instant> = words.collect();
        words.sort_unstable_by(|a, b| b.cmp(a));
        words.get(set.renewal_quorum().checked_sub(1)?).copied()
    }
}
