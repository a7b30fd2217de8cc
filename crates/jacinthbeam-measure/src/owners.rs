//! Owners of slots, read from the platform's log.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use jacinthbeam::{
    state::{CONTROL, State},
    types::prelude::*,
};
use jacinthbeam_standin::log;
use tokio::task::AbortHandle;

/// Time between two looks at the log. Short against any retention, so that no record is missed.
const EVERY: Duration = Duration::from_millis(100);

/// Owner of each slot that has one.
pub type Owners = BTreeMap<(ServiceName, SlotId), ServerId>;

/// A fold of the control stream that is read without a connection, so that no fault hides a record.
#[derive(Debug)]
pub struct Follower {
    state: Arc<Mutex<State>>,
    task: AbortHandle,
}

impl Follower {
    /// Follows the log until it is dropped.
    pub fn spawn(log: Arc<log::Handle>) -> Self {
        let state = Arc::new(Mutex::new(State::new()));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            let mut tick = tokio::time::interval(EVERY);
            loop {
                tick.tick().await;
                catch_up(&mut lock(&shared), &log);
            }
        });
        Self { state, task: task.abort_handle() }
    }

    /// The fold as of the last look.
    pub fn state(&self) -> State {
        lock(&self.state).clone()
    }

    /// Owners of all slots of keyed services.
    pub fn owners(&self) -> Owners {
        let state = self.state();
        let mut owners = Owners::new();
        for (service, division) in &state.services {
            let owned = division.owners().filter_map(|(slot, owner)| Some((slot, owner?)));
            owners.extend(owned.map(|(slot, owner)| ((service.clone(), slot), owner.clone())));
        }
        owners
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

fn catch_up(state: &mut State, log: &log::Handle) {
    for (offset, buf) in log.records(CONTROL) {
        if offset < state.next {
            continue;
        }
        if let Err(err) = state.apply_bytes(offset, &buf) {
            ::log::error!("measure: record {offset} of the log is not understood: {err}");
        }
    }
}

/// Number of slots that have another owner than before, or lost theirs.
pub fn changed(before: &Owners, after: &Owners) -> usize {
    before.iter().filter(|(slot, owner)| after.get(*slot) != Some(*owner)).count()
}
