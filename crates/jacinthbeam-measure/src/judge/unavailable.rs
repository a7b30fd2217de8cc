//! Unavailable time of keys.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam::types::prelude::*;

use crate::load::{Note, PROBE_EVERY};

/// Gaps between answers up to this much beyond the pace of the probes count as served: a busy machine makes such gaps
/// without any fault.
pub const TOLERANCE: Duration = Duration::from_millis(150);

/// Unavailable time of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unavailable {
    /// The key, with its service.
    pub key: (ServiceName, String),
    /// Time without a success, beyond the pace of the probes.
    pub time: Duration,
    /// Requests that failed.
    pub failed: usize,
}

/// Unavailable time of each probed key between two times.
///
/// It is the time between successive successful answers, where that is longer than the pace of the probes and
/// `TOLERANCE` together. So a request that waits until its key is served again counts as unavailable for as long as it waits.
pub fn unavailable(notes: &[Note], began: Instant, ended: Instant) -> Vec<Unavailable> {
    let mut by_key: BTreeMap<(ServiceName, String), Vec<&Note>> = BTreeMap::new();
    for note in notes {
        by_key.entry((note.service.clone(), note.key.clone())).or_default().push(note);
    }
    let of_key = |(key, notes): ((ServiceName, String), Vec<&Note>)| {
        let failed = notes.iter().filter(|note| !note.is_success() && note.ended_at >= began);
        Unavailable { failed: failed.count(), time: gaps(&notes, began, ended), key }
    };
    by_key.into_iter().map(of_key).collect()
}

fn gaps(notes: &[&Note], began: Instant, ended: Instant) -> Duration {
    let answered = notes.iter().filter(|note| note.is_success()).map(|note| note.ended_at);
    let mut times: Vec<Instant> = answered.filter(|at| *at >= began && *at <= ended).collect();
    times.push(began);
    times.push(ended);
    times.sort();
    let gap = |pair: &[Instant]| pair[1] - pair[0];
    let counted = |gap: &Duration| *gap > PROBE_EVERY + TOLERANCE;
    times.windows(2).map(gap).filter(counted).map(|gap| gap - PROBE_EVERY).sum()
}
