//! What the traffic threads share.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Instant,
};

use arc_swap::ArcSwap;
use jacinthbeam_admission::{
    fair::Teams,
    retry::{self, Attempts, Backoff, Budget, Decision, Failure},
};
use jacinthbeam_peer::Client;
use jacinthbeam_types::prelude::*;

use super::{Identity, identity::RequestIds, memory, metrics::Metrics, usage::Usage};
use crate::version::{Version, route::Hints, unreachable::Unreachable};

/// Bounds of what one request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a caller's request in bytes. Default 16 KiB.
    pub head: usize,
    /// Longest body of a request with an idempotency key, which is held whole, in bytes. Default 1 MiB.
    pub held_body: usize,
    /// Longest answer that is remembered for a repeat, in bytes. Default 64 KiB.
    pub kept_answer: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head: 16 << 10, held_body: 1 << 20, kept_answer: 64 << 10 }
    }
}

/// Everything that a request may need, on any traffic thread.
#[derive(Debug)]
pub struct Traffic {
    /// Who this process is.
    pub me: Identity,
    /// The view of control state in force.
    pub version: Arc<ArcSwap<Version>>,
    /// Connections to other entry hosts, for requests only.
    pub peers: Client,
    /// Attendants in other cells.
    pub hints: Hints,
    /// Hosts that could not be reached of late.
    pub unreachable: Unreachable,
    /// Numbers of requests.
    pub ids: RequestIds,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Memory of requests with an idempotency key.
    pub memory: memory::Shared,
    /// Counts for the log.
    pub usage: Usage,
    /// Room for each team.
    pub teams: Mutex<Teams>,
    /// Retry budget of each service.
    pub budgets: Mutex<BTreeMap<ServiceName, Budget>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds.
    pub limits: Limits,
}

impl Traffic {
    /// Counts a new request in its service's retry budget.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, Budget::request);
    }

    /// Whether and when a request is tried again.
    pub fn decide(
        &self,
        service: &ServiceName,
        failure: Failure,
        attempts: &Attempts,
        deadline: Instant,
    ) -> Decision {
        let now = self.clock.now();
        let mut rng = fastrand::Rng::new();
        let backoff = Backoff::default();
        self.with_budget(service, |budget| {
            retry::decide(failure, attempts, budget, now, deadline, &backoff, &mut rng)
        })
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        if let Some(budget) = budgets.get_mut(service) {
            return f(budget);
        }
        f(budgets.entry(service.clone()).or_insert_with(|| Budget::new(Default::default())))
    }
}
