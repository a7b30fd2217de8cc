//! A service in memory whose loads are known exactly, and short forms for views.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::OnceLock,
    time::{Duration, Instant},
};

use jacinthbeam_placement::{
    PlannedMove, Policy, Progress, View,
    accept::{Answer, accept},
    policy::Pace,
    rebalance,
    view::{Load, ServerView, SlotView, Standing},
};
use jacinthbeam_types::prelude::*;

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Second `at` of a test; all slots of a view have stood for long at second 10,000.
pub fn at(second: u64) -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + Duration::from_secs(second)
}

pub const NOW: u64 = 10_000;

/// An attended server `s<number>` whose slots have these loads; their ids count up from `number * 1000`.
pub fn server(number: u32, loads: &[f64]) -> (ServerId, ServerView) {
    let slot = |(i, load): (usize, &f64)| {
        (SlotId(number * 1000 + i as u32), SlotView { load: Load(*load), since: Some(at(0)) })
    };
    let view = ServerView {
        cell: name(["kamloops-a", "kelowna-b", "prince-george-c"][number as usize % 3]),
        standing: Standing::Active,
        load: Load(loads.iter().sum()),
        measured: Some(at(NOW)),
        pending: Load(0.0),
        attended: true,
        slots: loads.iter().enumerate().map(slot).collect(),
    };
    (name(&format!("s{number}")), view)
}

/// A server that another host attends.
pub fn other(number: u32, load: f64) -> (ServerId, ServerView) {
    let (id, view) = server(number, &[load]);
    (id, ServerView { attended: false, slots: BTreeMap::new(), ..view })
}

pub fn view(servers: impl IntoIterator<Item = (ServerId, ServerView)>) -> View {
    let servers: BTreeMap<_, _> = servers.into_iter().collect();
    View { active: servers.len(), servers, capacity: Load(3.0) }
}

/// A policy that may move much at once.
pub fn eager() -> Policy {
    let pace = Pace { per_second: Rate(50.0), burst: 50, in_progress: 50, to_one_server: 50 };
    Policy { pace, min_age: Duration::ZERO, ..Policy::default() }
}

pub fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(7)
}

pub fn text(moves: &[PlannedMove]) -> String {
    moves.iter().fold(String::new(), |mut text, planned| {
        writeln!(text, "{planned}").expect("a string takes any text");
        text
    })
}

/// One host that attends all servers of a service and carries out its decisions at once.
pub struct Service {
    pub view: View,
    pub policy: Policy,
    pub progress: Progress,
    pub rng: fastrand::Rng,
}

impl Service {
    /// Decides at `second` and carries out what the gaining side accepts.
    pub fn step(&mut self, second: u64) -> Vec<PlannedMove> {
        let (now, policy) = (at(second), self.policy.clone());
        self.view.servers.values_mut().for_each(|server| server.measured = Some(now));
        let asks = rebalance::ask(&self.view, &policy, now, &mut self.rng);
        let progress = &self.progress;
        let planned = rebalance(&self.view, &asks, &policy, progress, now, &mut self.rng);
        planned.into_iter().filter(|planned| self.carry_out(planned, now)).collect()
    }

    fn carry_out(&mut self, planned: &PlannedMove, now: Instant) -> bool {
        let answer = accept(planned, &self.view, &self.policy, &self.progress, now);
        if answer != Answer::Accepted {
            return false;
        }
        self.progress.begin(planned, &self.policy.pace, now);
        self.progress.end(planned.slot, true, now);
        let from = self.view.servers.get_mut(&planned.from).expect("a known server");
        let mut slot = from.slots.remove(&planned.slot).expect("a slot of the losing server");
        from.load -= slot.load;
        slot.since = Some(now);
        let to = self.view.servers.get_mut(&planned.to).expect("a known server");
        to.load += slot.load;
        to.slots.insert(planned.slot, slot);
        true
    }

    /// Maximum over mean load.
    pub fn imbalance(&self) -> f64 {
        let loads: Vec<f64> = self.view.servers.values().map(|server| server.load.0).collect();
        loads.iter().copied().fold(0.0, f64::max) * loads.len() as f64 / loads.iter().sum::<f64>()
    }
}
