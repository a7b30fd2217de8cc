//! Goodput and latency below and above capacity.

mod generate;
mod report;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthbeam::{
    config::{Config, Division},
    types::prelude::*,
};

use crate::{Deployment, Preset, deployment, process, process::ProcessorTime};

use generate::{Generator, Target, Window};
pub use report::{Level, Report, ServiceLevel};

/// Time from the end of one level to the start of the next.
const PAUSE: Duration = Duration::from_secs(2);

/// What to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Deployment.
    pub preset: Preset,
    /// Time that a backend server takes for a request. Long enough that the machine is not what limits.
    pub service_time: Duration,
    /// Multiples of the capacity of the backend servers.
    pub levels: Vec<f64>,
    /// Load at a level before anything is counted.
    pub warm_up: Duration,
    /// How long each level is counted.
    pub lasts: Duration,
    /// Seed of the load.
    pub seed: u64,
}

impl Options {
    /// Levels 0.5, 1, 2 and 5 of a deployment, ten seconds each.
    pub fn new(preset: Preset) -> Self {
        Self {
            preset,
            service_time: Duration::from_millis(100),
            levels: vec![0.5, 1.0, 2.0, 5.0],
            warm_up: Duration::from_secs(3),
            lasts: Duration::from_secs(10),
            seed: 1,
        }
    }
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<Report, deployment::Error> {
    let plan = crate::Plan { service_time: options.service_time, ..options.preset.plan() };
    let deployment = Deployment::spawn(plan, &options.preset.folder()).await?;
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut levels = Vec::new();
    for multiple in &options.levels {
        levels.push(level(&deployment, options, *multiple, &mut rng).await);
        tokio::time::sleep(PAUSE).await;
    }
    deployment.stop().await;
    Ok(Report {
        deployment: options.preset.to_string(),
        service_time: options.service_time,
        levels,
    })
}

async fn level(
    deployment: &Deployment,
    options: &Options,
    multiple: f64,
    rng: &mut fastrand::Rng,
) -> Level {
    let window = Window::starting_in(options.warm_up, options.lasts);
    let hosts: Vec<_> = deployment.entries.values().map(|entry| entry.callers()).collect();
    let pool = Arc::default();
    let running: Vec<_> = deployment
        .config
        .services
        .iter()
        .map(|(service, cfg)| {
            let target = Target {
                service: service.clone(),
                method: if is_read(&deployment.config, service) { "GET" } else { "POST" },
                deadline: cfg.default_deadline,
                hosts: hosts.clone(),
            };
            let rate = capacity(deployment, service, options.service_time) * multiple;
            let generator = Generator::new(target, rate, window, Arc::clone(&pool));
            (service.clone(), rate, tokio::spawn(generator.run(rng.fork())))
        })
        .collect();
    tokio::time::sleep_until(window.from.into()).await;
    let (before, ran_before) = (ProcessorTime::now(), ran(deployment));
    tokio::time::sleep_until(window.until.into()).await;
    let (used, ran_after) = (ProcessorTime::now().since(&before), ran(deployment));

    let mut services = BTreeMap::new();
    for (service, rate, running) in running {
        let counts = running.await.expect("no generator panics");
        let deadline = deployment.config.services[&service].default_deadline;
        let cfg = &deployment.config.services[&service];
        let level = ServiceLevel::new(&counts, rate, deadline, cfg, options.lasts);
        services.insert(service, level);
    }
    Level {
        multiple,
        services,
        ran_a_second: (ran_after - ran_before) as f64 / options.lasts.as_secs_f64(),
        entry_hosts_cores: used.entry_hosts().as_secs_f64() / options.lasts.as_secs_f64(),
        load_average: process::load_average(),
    }
}

/// Requests a second that the backend servers of a service can run.
fn capacity(deployment: &Deployment, service: &ServiceName, service_time: Duration) -> f64 {
    let servers = deployment.servers.values().filter(|server| server.service == *service).count();
    let concurrency = deployment.config.services[service].concurrency;
    servers as f64 * f64::from(concurrency) / service_time.as_secs_f64()
}

/// The largest service of each deployment is read only; the others take orders.
fn is_read(config: &Config, service: &ServiceName) -> bool {
    let slots = |division: &Division| match division {
        Division::Keyed { slots } => *slots,
        Division::Undivided => 0,
    };
    let largest = config.services.iter().max_by_key(|(_, cfg)| slots(&cfg.division));
    largest.is_some_and(|(name, _)| name == service)
}

fn ran(deployment: &Deployment) -> u64 {
    deployment.servers.values().map(|server| server.handle.summary().ran).sum()
}
