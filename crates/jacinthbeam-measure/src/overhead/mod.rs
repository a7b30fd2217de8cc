//! What the router costs: the same stand-ins called directly and through it, side by side in one run.

mod memory;
mod path;
mod phase;
mod report;

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam::{config::folder::Snapshot, types::prelude::*};

use crate::{Deployment, Plan, deployment, owners::Follower, process};

pub use memory::Memory;
pub use path::Path;
pub use phase::Phase;
pub use report::Report;

/// Service that is called.
const SERVICE: &str = "bench";
/// Failure domain of the host that is asked.
const NEAR: &str = "near";
/// The other failure domain.
const FAR: &str = "far";
/// Slots, for six backend servers.
const SLOTS: u32 = 600;
/// Open requests that each backend server takes, so that nothing waits.
const CONCURRENCY: u32 = 1024;

/// What to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long each path is called in each round.
    pub phase: Duration,
    /// Rounds; each calls every path once.
    pub rounds: usize,
    /// Numbers of callers that wait for one answer at a time.
    pub callers: Vec<usize>,
    /// Numbers of open requests at which memory is read.
    pub open: Vec<usize>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            phase: Duration::from_secs(2),
            rounds: 3,
            callers: vec![1, 16, 64],
            open: vec![100, 200, 300, 400],
        }
    }
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<Report, deployment::Error> {
    let deployment = Deployment::spawn(plan(), &folder()).await?;
    let follower = Follower::spawn(deployment.log.clone());
    let paths = path::find(&deployment, &follower).await?;
    let load_before = process::load_average();
    let mut phases: BTreeMap<(usize, Path), Phase> = BTreeMap::new();
    for callers in &options.callers {
        for _ in 0..options.rounds {
            for (path, route) in &paths {
                let phase = phase::run(route, *callers, options.phase).await;
                phases.entry((*callers, *path)).or_default().add(phase);
            }
        }
    }
    let memory = memory::run(&deployment, &paths, &options.open).await?;
    let load = (load_before, process::load_average());
    deployment.stop().await;
    Ok(Report { phases, memory, load })
}

fn plan() -> Plan {
    let domain = |name: &str| -> FailureDomain { name.parse().expect("the names here are proper") };
    Plan {
        entry_hosts: BTreeMap::from([(domain(NEAR), 1), (domain(FAR), 1)]),
        service_time: Duration::ZERO,
        ..Plan::new([NEAR, FAR, "none"])
    }
}

fn folder() -> Snapshot {
    let text = format!(
        r#"{{ "services": {{ "{SERVICE}": {{
            "team": "bench",
            "division": {{ "keyed": {{ "slots": {SLOTS} }} }},
            "concurrency": {CONCURRENCY},
            "connections": 4096,
            "default_deadline_ms": 60000,
            "max_deadline_ms": 60000
        }} }} }}"#
    );
    let name = "bench.json".parse().expect("a proper name");
    Snapshot { files: BTreeMap::from([(name, text)]) }
}
