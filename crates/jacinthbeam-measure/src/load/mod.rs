//! Open-loop load of callers, and what they note of it.

mod balancer;
mod caller;
mod generate;
mod note;
mod probe;
mod zipf;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use jacinthbeam::types::prelude::*;

pub use balancer::{Backend, Balancer};
pub use caller::Sending;
pub use generate::Generators;
pub use note::{Answered, Ended, Kind, Note};
pub use probe::{PROBE_EVERY, Probes, Through};
pub use zipf::Zipf;

/// Load on a deployment.
#[derive(Debug, Clone)]
pub struct Load {
    /// Load of each service.
    pub services: BTreeMap<ServiceName, ServiceLoad>,
    /// Keys of each service.
    pub keys: usize,
    /// Exponent of the Zipf distribution of keys.
    pub zipf: f64,
    /// Share of orders that carry an idempotency key.
    pub keyed: f64,
    /// Share of requests that take [`Load::long_time`] at the backend server.
    pub long: f64,
    /// See [`Load::long`].
    pub long_time: Duration,
    /// Whether the hottest keys change; `None` if the load stays as it is.
    pub shift: Option<Shift>,
}

/// Hottest keys that become cold while others become as hot.
#[derive(Debug, Clone, Copy)]
pub struct Shift {
    /// Time between two changes.
    pub every: Duration,
    /// Ranks whose keys change.
    pub ranks: usize,
}

impl Load {
    /// The key of a rank, this long after the load began. Keys that became cold are not asked for again.
    pub fn key(&self, rank: usize, passed: Duration) -> String {
        let times = |shift: &Shift| (passed.as_secs_f64() / shift.every.as_secs_f64()) as usize;
        let changing = self.shift.filter(|shift| rank < shift.ranks);
        let later = changing.map(|shift| times(&shift)).filter(|times| *times > 0);
        match later {
            Some(times) => format!("k{rank}-{times}"),
            None => format!("k{rank}"),
        }
    }
}

/// Load on one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    /// Requests a second.
    pub rate: f64,
    /// Share of orders among them; the rest are reads.
    pub orders: f64,
}

/// Notes of all callers.
#[derive(Debug, Clone, Default)]
pub struct Notes(Arc<Mutex<Vec<Note>>>);

impl Notes {
    /// Adds a note.
    pub fn push(&self, note: Note) {
        self.0.lock().expect("no holder of the lock panics").push(note);
    }

    /// Takes all notes out.
    pub fn take(&self) -> Vec<Note> {
        std::mem::take(&mut self.0.lock().expect("no holder of the lock panics"))
    }
}
