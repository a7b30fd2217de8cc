//! One experiment: a deployment under load, one fault after the other, and the judgement of it.

mod running;
mod stall;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    Deployment, Preset, deployment,
    fault::Kind,
    judge::{self, Promise, ServerRecord, Window},
    load::{Backend, Balancer, Generators, Note, Notes},
    owners::{Follower, Owners, changed},
    report::{Episode, Group, Report, Requests, imbalance},
};

pub use running::Probed;
use running::{Done, Running};
pub use stall::Stalls;
use stall::Watch;

/// Load alone before the first fault, between two faults, and after the last one.
const CALM: Duration = Duration::from_secs(4);

/// What to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Deployment.
    pub preset: Preset,
    /// Seed of the load, the order of the faults and what they hit.
    pub seed: u64,
    /// Faults, each brought about once in a round.
    pub faults: Vec<Kind>,
    /// Requests a second in all.
    pub rate: f64,
    /// Rounds go on until this time has passed; at least one.
    pub lasts: Duration,
}

/// Runs an experiment.
pub async fn run(options: &Options) -> Result<Report, deployment::Error> {
    let folder = options.preset.folder();
    let mut deployment = Deployment::spawn(options.preset.plan(), &folder).await?;
    let follower = Follower::spawn(deployment.log.clone());
    let balancer = Arc::new(balancer(&deployment));
    let notes = Notes::default();
    let load = options.preset.load(options.rate);
    let generators = Generators::spawn(&load, options.seed, &balancer, &notes);
    let started = Instant::now();
    let watch = Watch::spawn();
    tokio::time::sleep(CALM).await;

    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut done = Vec::new();
    while done.is_empty() || started.elapsed() < options.lasts {
        let mut round = options.faults.clone();
        rng.shuffle(&mut round);
        for kind in round {
            let mut running =
                Running { deployment: &mut deployment, follower: &follower, balancer: &balancer };
            done.push(running.fault(kind, &mut rng).await?);
            tokio::time::sleep(CALM).await;
        }
    }
    let calm = Instant::now();
    tokio::time::sleep(CALM).await;
    generators.stop().await;
    let stalls = watch.stop();
    let judged = Judged { started, calm, stalls, owners: follower.owners(), done };
    let report = judged.report(options, &deployment, notes);
    deployment.stop().await;
    Ok(report)
}

/// A balancer in front of all entry hosts.
pub(crate) fn balancer(deployment: &Deployment) -> Balancer {
    let balancer = Balancer::default();
    for (host, entry) in &deployment.entries {
        let domain = entry.identity().cell.failure_domain();
        balancer.add(Backend { host: host.clone(), domain, addr: entry.callers() });
    }
    balancer
}

/// What is judged.
struct Judged {
    stalls: Stalls,
    started: Instant,
    calm: Instant,
    owners: Owners,
    done: Vec<Done>,
}

impl Judged {
    fn report(self, options: &Options, deployment: &Deployment, notes: Notes) -> Report {
        let servers = records(deployment);
        let load_notes = notes.take();
        let mut all = load_notes.clone();
        let probed = self.done.iter().flat_map(|done| &done.groups);
        all.extend(probed.flat_map(|group| group.notes.iter().cloned()));
        let windows: Vec<Window> = self.done.iter().map(|done| done.window.clone()).collect();
        let mut broken = judge::judge(&servers, &all, &windows);
        for done in &self.done {
            if let Some(why) = &done.unserved {
                broken.add(Promise::ServedAgain, || format!("after {}: {why}", done.window.kind));
            }
        }
        let episodes = self.done.iter().map(|done| episode(done, &all)).collect();
        Report {
            deployment: options.preset.to_string(),
            seed: options.seed,
            seconds: self.started.elapsed().as_secs_f64(),
            stalls: self.stalls,
            imbalance: imbalance(&servers, &self.owners, self.calm),
            requests: Requests::of(load_notes.iter()),
            admitted: servers.iter().map(|server| server.runs.len() as u64).sum(),
            refused_by_servers: servers.iter().flat_map(|s| s.summary.refused.values()).sum(),
            episodes,
            broken,
        }
    }
}

/// What all backend servers recorded.
pub(crate) fn records(deployment: &Deployment) -> Vec<ServerRecord> {
    let gone = deployment.gone.iter();
    let present = deployment.servers.values().map(|server| &server.handle);
    let record = |handle: &jacinthbeam_standin::backend::Handle| {
        let service = handle.service();
        let concurrency = deployment.config.services[service].concurrency;
        ServerRecord::of(handle, service, concurrency)
    };
    gone.chain(present).map(record).collect()
}

fn episode(done: &Done, notes: &[Note]) -> Episode {
    let Window { kind, server, hosts, began, ended } = &done.window;
    let during = notes.iter().filter(|note| note.sent <= *ended && note.ended_at >= *began);
    let lost = done.before.values().filter(|owner| *owner == server).count();
    Episode {
        fault: *kind,
        server: server.clone(),
        hosts: hosts.clone(),
        fault_ms: (done.healed - *began).as_millis() as u64,
        served_again_ms: done.served_again.as_millis() as u64,
        groups: done
            .groups
            .iter()
            .map(|group| Group::of(group, *began, done.healed, *ended))
            .collect(),
        changed: changed(&done.before, &done.after),
        slots_of_server: lost,
        requests: Requests::of(during),
    }
}
