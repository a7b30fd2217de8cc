//! What the handle and the connections of a backend server share.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use jacinthbeam_native::format::backend::GrantState;
use jacinthbeam_types::prelude::*;
use tokio::sync::{Semaphore, watch};

use super::{Options, fence::Fence, holding::Holdings, run::Runs};
use crate::net::Server;

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) server: Arc<Server>,
    pub(super) options: Options,
    /// Places for [`Options::concurrency`].
    pub(super) places: Semaphore,
    /// Whether requests wait right before their effect.
    pub(super) hold: watch::Sender<bool>,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) fence: Fence,
    /// Start of the present life.
    pub(super) started: Instant,
    /// Between a kill and a restart.
    pub(super) dead: bool,
    /// Requests left that are slowed by the cold start.
    pub(super) cold: u32,
    /// Tokens of the requests that were admitted and have not ended.
    pub(super) running: BTreeMap<u64, Option<Token>>,
    pub(super) next_run: u64,
    pub(super) runs: Runs,
    pub(super) holdings: Holdings,
    pub(super) faults: Faults,
}

/// Faults that are switched on at present.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) shed: bool,
    pub(super) draining: bool,
    pub(super) late: Duration,
    pub(super) answers_to_cut: u32,
    pub(super) health: Option<String>,
    pub(super) load: Option<String>,
}

/// A number that no two lives share.
pub(super) fn draw_incarnation() -> Incarnation {
    Incarnation(fastrand::u64(1..))
}

impl Shared {
    pub(super) fn new(options: Options) -> Arc<Self> {
        let state = State {
            fence: Fence::new(options.incarnation),
            started: options.clock.now(),
            dead: false,
            cold: options.cold_start.requests,
            running: BTreeMap::new(),
            next_run: 0,
            runs: Runs::default(),
            holdings: Holdings::default(),
            faults: Faults::default(),
        };
        Arc::new(Self {
            server: Server::new(options.connections as usize),
            places: Semaphore::new(options.concurrency as usize),
            options,
            hold: watch::Sender::new(false),
            state: Mutex::new(state),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The server's own clock in microseconds.
    pub(super) fn clock(&self, state: &State) -> u64 {
        let elapsed = self.options.clock.now().saturating_duration_since(state.started);
        let shown = self.options.clock_offset + elapsed.mul_f64(self.options.clock_rate);
        shown.as_micros() as u64
    }

    /// When the server's own clock shows this many microseconds.
    pub(super) fn instant(&self, state: &State, shown: u64) -> Instant {
        let elapsed = Duration::from_micros(shown).saturating_sub(self.options.clock_offset);
        state.started + elapsed.div_f64(self.options.clock_rate)
    }

    pub(super) fn grant_state(&self, state: &State) -> GrantState {
        let fence = &state.fence;
        let older = |token: &&Option<Token>| token.is_some_and(|token| token < fence.token);
        GrantState {
            server: self.options.server.clone(),
            incarnation: fence.incarnation,
            token: fence.token,
            slots: fence.slots.clone(),
            until: fence.until,
            based_on: fence.based_on,
            clock: self.clock(state),
            running: state.running.len() as u32,
            running_older: state.running.values().filter(older).count() as u32,
            draining: state.faults.draining,
        }
    }

    /// Forgets everything that a process forgets when it dies.
    pub(super) fn forget_life(&self, dead: bool) -> Incarnation {
        let incarnation = draw_incarnation();
        let mut state = self.lock();
        state.holdings.ended(self.options.clock.now());
        state.fence = Fence::new(incarnation);
        state.started = self.options.clock.now();
        state.dead = dead;
        state.cold = self.options.cold_start.requests;
        state.running.clear();
        state.faults.draining = false;
        incarnation
    }
}
