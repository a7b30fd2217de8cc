//! Record of what a backend server did with requests.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use jacinthbeam_native::format::backend::RefusedBecause;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Runs that are remembered; older ones are dropped, their counts stay.
const MAX_RUNS: usize = 1_000_000;

/// One request that was admitted.
#[derive(Debug, Clone)]
pub struct Run {
    /// From the request's header; `None` if it was absent or malformed.
    pub request: Option<RequestId>,
    /// The caller's key.
    pub key: String,
    /// Path and query of the request.
    pub path: String,
    /// Slot of the key.
    pub slot: Option<SlotId>,
    /// Token that the request was sent under.
    pub token: Option<Token>,
    /// When it was admitted.
    pub at_start: Instant,
    /// When it took effect; `None` if it did not.
    pub at_effect: Option<Instant>,
    /// When its outcome was known. For a request that ran, the time of its effect.
    pub at_end: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// How an admitted request ended. Only [`Outcome::Ran`] had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Ran,
    /// It was refused right before its effect.
    Aborted(RefusedBecause),
    /// Its connection was closed before its effect.
    Cancelled,
    /// The server died before its effect.
    Lost,
}

/// Counts since the stand-in was spawned, across restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that took effect.
    pub ran: u64,
    /// Requests refused right before their effect.
    pub aborted: u64,
    /// Requests whose connection was closed before their effect.
    pub cancelled: u64,
    /// Requests that a restart ended before their effect.
    pub lost: u64,
    /// Requests refused on arrival or right before their effect, by text of the reason.
    pub refused: BTreeMap<String, u64>,
    /// Most requests that were admitted and had not ended at one time.
    pub max_running: u32,
    /// Connections open now, silent ones not counted.
    pub connections: u64,
    /// Connections closed on arrival because there were too many.
    pub excess_connections: u64,
}

/// Runs and their counts.
#[derive(Debug, Default)]
pub(super) struct Runs {
    pub(super) list: VecDeque<Run>,
    pub(super) counts: Summary,
}

impl Runs {
    pub(super) fn ended(&mut self, run: Run) {
        match run.outcome {
            Outcome::Ran => self.counts.ran += 1,
            Outcome::Cancelled => self.counts.cancelled += 1,
            Outcome::Lost => self.counts.lost += 1,
            Outcome::Aborted(because) => {
                self.counts.aborted += 1;
                self.refused(because);
            }
        }
        if self.list.len() == MAX_RUNS {
            self.list.pop_front();
        }
        self.list.push_back(run);
    }

    pub(super) fn refused(&mut self, because: RefusedBecause) {
        *self.counts.refused.entry(because.as_str().to_owned()).or_default() += 1;
    }

    pub(super) fn running(&mut self, running: usize) {
        self.counts.max_running = self.counts.max_running.max(running as u32);
    }
}
