//! Load of each owner over time.
//!
//! The generator's distribution is known, so the load that the owners of a moment are offered is exact: what remains is
//! what the policy is to blame for, not the chance of arrivals.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam::{
    config::Config,
    state::{Division, State},
    types::prelude::*,
};
use jacinthbeam_standin::backend::Outcome;

use super::{
    moves::{Moves, Records},
    report::{ServiceReport, Spread},
};
use crate::{
    judge::ServerRecord,
    load::{Load, Zipf},
    statistic::quantile,
};

/// Time between two samples.
pub(super) const EVERY: Duration = Duration::from_millis(500);
/// Window over which what was run is counted.
const RUN_WINDOW: Duration = Duration::from_secs(10);

/// Samples of all services.
pub(super) struct Sampler<'a> {
    load: &'a Load,
    config: &'a Config,
    shares: Vec<f64>,
    began: Instant,
    change: u32,
    keys: Vec<KeyHash>,
    services: BTreeMap<ServiceName, Service>,
}

#[derive(Default)]
struct Service {
    division: Option<Arc<Division>>,
    max_by_mean: Vec<f64>,
    hottest: f64,
    owning: usize,
    overfilled: u64,
}

impl<'a> Sampler<'a> {
    pub fn new(load: &'a Load, config: &'a Config, began: Instant) -> Self {
        let zipf = Zipf::new(load.keys, load.zipf);
        Self {
            load,
            config,
            shares: (0..load.keys).map(|rank| zipf.share(rank)).collect(),
            began,
            change: u32::MAX,
            keys: Vec::new(),
            services: BTreeMap::new(),
        }
    }

    /// Looks at who owns what now.
    pub fn sample(&mut self, state: &State, now: Instant) {
        self.name_keys(now);
        for name in self.load.services.keys() {
            let Some(division) = state.services.get(name) else { continue };
            let loads = self.loads(division);
            let mean = 1.0 / loads.len().max(1) as f64;
            let max = loads.values().copied().fold(0.0, f64::max);
            let known = self.services.get(name).and_then(|service| service.division.clone());
            let before = known.map(|division| self.loads(&division)).unwrap_or_default();
            let line = mean * self.config.services[name].balance.start_above;
            let was = |server: &ServerId| before.get(server).copied().unwrap_or_default();
            let filled = |(server, load): &(&ServerId, &f64)| {
                **load > line && was(server) <= line && was(server) > 0.0
            };
            let overfilled = loads.iter().filter(filled).count() as u64;
            let service = self.services.entry(name.clone()).or_default();
            service.max_by_mean.push(max / mean);
            service.hottest = self.shares.first().copied().unwrap_or_default() / mean;
            service.owning = loads.len();
            service.overfilled += overfilled;
            service.division = Some(division.clone());
        }
    }

    /// Number of servers that own slots of each service.
    pub fn owning(&self) -> BTreeMap<ServiceName, usize> {
        self.services.iter().map(|(name, service)| (name.clone(), service.owning)).collect()
    }

    pub fn report(
        &self,
        name: &ServiceName,
        run: Spread,
        moves: &Moves,
        log: &Records,
    ) -> ServiceReport {
        let service = &self.services[name];
        ServiceReport {
            policy: self.config.services[name].balance.policy.to_string(),
            servers: service.owning,
            offered: Spread::of(&service.max_by_mean),
            run,
            hottest_by_mean: service.hottest,
            moved: moves.of_service(name),
            split: log.split(name),
            merged: log.merged(name),
            overfilled: service.overfilled,
        }
    }

    /// Names the keys of all ranks anew when the hottest have changed.
    fn name_keys(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.began);
        let every = self.load.shift.map_or(Duration::MAX, |shift| shift.every);
        let change = (passed.as_secs_f64() / every.as_secs_f64()) as u32;
        if change != self.change {
            self.change = change;
            let key = |rank| KeyHash::of(self.load.key(rank, passed).as_bytes());
            self.keys = (0..self.load.keys).map(key).collect();
        }
    }

    /// Share of a service's load that each owner is offered.
    fn loads(&self, division: &Division) -> BTreeMap<ServerId, f64> {
        let mut slots: BTreeMap<SlotId, f64> = BTreeMap::new();
        for (key, share) in self.keys.iter().zip(&self.shares) {
            *slots.entry(division.slot_of(*key)).or_default() += share;
        }
        let mut loads = BTreeMap::new();
        for (slot, owner) in division.owners() {
            let Some(owner) = owner else { continue };
            *loads.entry(owner.clone()).or_default() +=
                slots.get(&slot).copied().unwrap_or_default();
        }
        loads
    }
}

/// Maximum over mean of the requests that the servers of a service ran, window by window.
pub(super) fn run_spread(
    servers: &[ServerRecord],
    service: &ServiceName,
    owning: usize,
    since: Instant,
) -> Spread {
    let mut windows: BTreeMap<u64, BTreeMap<&ServerId, u64>> = BTreeMap::new();
    for server in servers.iter().filter(|server| server.service == *service) {
        let ran = server.runs.iter().filter(|run| run.outcome == Outcome::Ran);
        for run in ran.filter(|run| run.at_start >= since) {
            let window = (run.at_start - since).as_secs() / RUN_WINDOW.as_secs();
            *windows.entry(window).or_default().entry(&server.id).or_default() += 1;
        }
    }
    let max_by_mean = |loads: &BTreeMap<&ServerId, u64>| {
        let max = loads.values().max().copied().unwrap_or_default();
        max as f64 * owning as f64 / loads.values().sum::<u64>().max(1) as f64
    };
    // The last window is cut short.
    windows.pop_last();
    Spread::of(&windows.values().map(max_by_mean).collect::<Vec<_>>())
}

impl Spread {
    fn of(values: &[f64]) -> Self {
        let [median, most, max] = [0.5, 0.95, 1.0].map(|part| quantile(values, part));
        Self { median, most, max }
    }
}
