//! Experiment: how even the load of the owners stays while hot keys change, and what that costs.

mod moves;
mod report;
mod sample;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam::{
    config::{Config, Division, Policy, folder::Snapshot},
    types::prelude::*,
};

use crate::{
    Deployment, Plan, Preset, deployment,
    experiment::{balancer, records},
    judge,
    load::{Generators, Load, Notes, ServiceLoad, Shift},
    owners::Follower,
    process,
    statistic::quantile,
};

use moves::{Moves, Records};
pub use report::{Report, ServiceReport, Spread};
use sample::Sampler;

/// Keys of each service that change together.
const CHANGING: usize = 5;

/// What to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Deployment.
    pub preset: Preset,
    /// Policy of every service, in place of the configured ones.
    pub policy: Option<Policy>,
    /// Seed of the load.
    pub seed: u64,
    /// Load before anything is sampled, so that the windows of measurement are full.
    pub warm_up: Duration,
    /// How long the load lasts after the warm-up.
    pub lasts: Duration,
    /// Requests a second in all.
    pub rate: f64,
    /// Share of the backend servers' capacity that the load takes.
    pub used: f64,
    /// Keys of each service.
    pub keys: usize,
    /// Time between two changes of the hottest keys.
    pub change_every: Duration,
    /// Time that a moved slot stays, and that a split key must be cool, in place of the configured ones. Short, so that a
    /// minute shows what else takes a quarter of an hour.
    pub stay: Duration,
}

impl Options {
    /// A minute of 600 requests a second, 55 % of capacity, with hot keys that change every 20 seconds.
    pub fn new(preset: Preset) -> Self {
        Self {
            preset,
            policy: None,
            seed: 1,
            warm_up: Duration::from_secs(12),
            lasts: Duration::from_secs(60),
            rate: 600.0,
            used: 0.55,
            keys: 20_000,
            change_every: Duration::from_secs(20),
            stay: Duration::from_secs(5),
        }
    }

    /// The deployment's folder with one more file for what this experiment sets.
    fn folder(&self) -> Result<Snapshot, deployment::Error> {
        let mut folder = self.preset.folder();
        let services = checked(&folder)?.services;
        let balance = |(name, service): (&ServiceName, &jacinthbeam::config::Service)| {
            let policy = self.policy.unwrap_or(service.balance.policy);
            let stay = self.stay.as_millis();
            let hot = r#"{ "split_above": 0.3, "merge_below": 0.15, "cool_for_ms": "#;
            format!(
                r#""{name}": {{ "balance": {{ "policy": "{policy}", "min_stay_ms": {stay}, "hot_key": {hot}{stay} }} }} }}"#
            )
        };
        let balances: Vec<String> = services.iter().map(balance).collect();
        let text = format!(r#"{{ "services": {{ {} }} }}"#, balances.join(", "));
        let name = "90-experiment.json".parse().expect("it is a proper name");
        folder.files.insert(name, text);
        Ok(folder)
    }
}

fn checked(folder: &Snapshot) -> Result<Config, deployment::Error> {
    let problems = |problems: Vec<_>| {
        let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
        deployment::Error::Publish(texts.join("\n"))
    };
    Ok(folder.check().map_err(problems)?.config)
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<Report, deployment::Error> {
    let folder = options.folder()?;
    let config = checked(&folder)?;
    let plan = Plan { network: false, ..options.preset.plan() };
    let capacities = capacities(&config, &plan);
    let service_time =
        Duration::from_secs_f64(capacities.values().sum::<f64>() * options.used / options.rate);
    let plan = Plan { service_time, ..plan };
    let load = load(options, &capacities, service_time);

    let deployment = Deployment::spawn(plan, &folder).await?;
    let follower = Follower::spawn(deployment.log.clone());
    let balancer = Arc::new(balancer(&deployment));
    let notes = Notes::default();
    let generators = Generators::spawn(&load, options.seed, &balancer, &notes);
    let began = Instant::now();
    tokio::time::sleep(options.warm_up).await;
    let warm = Instant::now();
    let mut sampler = Sampler::new(&load, &config, began);
    while warm.elapsed() < options.lasts {
        sampler.sample(&follower.state(), Instant::now());
        tokio::time::sleep(sample::EVERY).await;
    }
    generators.stop().await;

    let servers = records(&deployment);
    let notes = notes.take();
    let moves = Moves::of(&servers, began);
    let log = Records::of(&deployment.log);
    let owning = sampler.owning();
    let services = config.services.keys().filter(|service| owning.contains_key(*service));
    let report = Report {
        deployment: options.preset.to_string(),
        policy: options.policy.map(|policy| policy.to_string()),
        seed: options.seed,
        service_time,
        lasted: began.elapsed(),
        load_average: process::load_average(),
        services: services
            .map(|service| {
                let run = sample::run_spread(&servers, service, owning[service], warm);
                (service.clone(), sampler.report(service, run, &moves, &log))
            })
            .collect(),
        moves: moves.report(&servers, &notes, service_time),
        log: log.counts,
        requests: crate::report::Requests::of(notes.iter()),
        latency_ms: {
            let took: Vec<f64> = notes.iter().filter(|note| note.is_success()).map(took).collect();
            [0.5, 0.99, 1.0].map(|part| quantile(&took, part))
        },
        broken: judge::judge(&servers, &notes, &[]),
    };
    deployment.stop().await;
    Ok(report)
}

fn took(note: &crate::load::Note) -> f64 {
    crate::statistic::millis(note.ended_at - note.sent)
}

/// Requests that all servers of each keyed service run at once.
fn capacities(config: &Config, plan: &Plan) -> BTreeMap<ServiceName, f64> {
    let keyed = config
        .services
        .iter()
        .filter(|(_, service)| matches!(service.division, Division::Keyed { .. }));
    let capacity = |service: &jacinthbeam::config::Service| {
        plan.servers_of(&service.division) as f64 * f64::from(service.concurrency)
    };
    keyed.map(|(name, service)| (name.clone(), capacity(service))).collect()
}

/// The deployment's mix of reads and orders, each service at the same share of its capacity.
fn load(
    options: &Options,
    capacities: &BTreeMap<ServiceName, f64>,
    service_time: Duration,
) -> Load {
    let usual = options.preset.load(options.rate);
    let service = |(name, capacity): (&ServiceName, &f64)| {
        let rate = capacity * options.used / service_time.as_secs_f64();
        let orders = usual.services.get(name).map_or(0.0, |service| service.orders);
        (name.clone(), ServiceLoad { rate, orders })
    };
    Load {
        services: capacities.iter().map(service).collect(),
        keys: options.keys,
        long: 0.0,
        shift: Some(Shift { every: options.change_every, ranks: CHANGING }),
        ..usual
    }
}
