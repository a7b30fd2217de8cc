//! One experiment: a deployment under load, one fault after the other, and the judgement of it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam::types::prelude::*;

use crate::{
    Deployment, Preset, deployment,
    fault::{Injected, Kind},
    judge::{self, Promise, ServerRecord, Window, unavailable},
    load::{Backend, Balancer, Generators, Notes, Probes},
    owners::{Follower, Owners, changed},
    report::{Episode, Report, Requests, imbalance},
};

/// Load alone before the first fault, between two faults, and after the last one.
const CALM: Duration = Duration::from_secs(4);
/// Probes alone before a fault.
const BEFORE: Duration = Duration::from_millis(500);
/// Longest time in which everything must be served again after a fault was healed.
const SETTLE: Duration = Duration::from_secs(30);
/// Probes after everything is served again.
const AFTER: Duration = Duration::from_secs(1);
/// Keys of one fault whose unavailable time is measured.
const PROBED: usize = 8;

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
    let judged = Judged { started, calm, owners: follower.owners(), done };
    let report = judged.report(options, &deployment, notes);
    deployment.stop().await;
    Ok(report)
}

fn balancer(deployment: &Deployment) -> Balancer {
    let balancer = Balancer::default();
    for (host, entry) in &deployment.entries {
        let domain = entry.identity().cell.failure_domain();
        balancer.add(Backend { host: host.clone(), domain, addr: entry.callers() });
    }
    balancer
}

/// What a fault is brought about in.
struct Running<'a> {
    deployment: &'a mut Deployment,
    follower: &'a Follower,
    balancer: &'a Arc<Balancer>,
}

/// One fault that is over.
#[derive(Debug)]
struct Done {
    window: Window,
    /// When it was healed; the window ends when everything is served again.
    healed: Instant,
    probes: Vec<crate::load::Note>,
    before: Owners,
    after: Owners,
    /// What was not served again in time.
    unserved: Option<String>,
}

impl Running<'_> {
    async fn fault(
        &mut self,
        kind: Kind,
        rng: &mut fastrand::Rng,
    ) -> Result<Done, deployment::Error> {
        let (server, host) = self.pick(rng).await?;
        let keys = self.keys(kind, &server, &host).await;
        let before = self.follower.owners();
        let probes = Probes::spawn(&keys, self.balancer, |_| true);
        tokio::time::sleep(BEFORE).await;
        log::info!("measure: {kind}: {server}, attended by {host}");
        let injected = Injected::inject(kind, &server, &host, self.deployment, self.balancer).await;
        tokio::time::sleep(kind.lasts()).await;
        let healed = Instant::now();
        injected.heal(self.deployment, self.balancer)?;
        log::info!("measure: {kind}: healed");
        let unserved = self.deployment.until_served(SETTLE).await.err();
        tokio::time::sleep(AFTER).await;
        let window = Window { kind, server, host, began: injected.at, ended: Instant::now() };
        let probes = probes.stop().await;
        let after = self.follower.owners();
        let unserved = unserved.map(|err| err.to_string());
        Ok(Done { window, healed, probes, before, after, unserved })
    }

    /// A backend server that owns slots, and its attendant.
    async fn pick(&self, rng: &mut fastrand::Rng) -> Result<(ServerId, HostId), deployment::Error> {
        let owners = self.follower.owners();
        let mut owning: Vec<&ServerId> = owners.values().collect();
        owning.sort();
        owning.dedup();
        owning.retain(|server| self.deployment.servers.contains_key(*server));
        rng.shuffle(&mut owning);
        for server in owning {
            if let Some(host) = self.deployment.attendant_of(server).await {
                return Ok((server.clone(), host));
            }
        }
        Err(deployment::Error::NotReady("no backend server is attended".into()))
    }

    /// Keys that the fault is about.
    async fn keys(
        &self,
        kind: Kind,
        server: &ServerId,
        host: &HostId,
    ) -> Vec<(ServiceName, String)> {
        let attended = match self.deployment.entries.get(host) {
            Some(entry) => entry.dump().await,
            None => None,
        };
        let attends = |id: &ServerId| {
            attended.as_ref().is_some_and(|dump| {
                dump.backend_servers.get(id).is_some_and(|server| server.admission.is_some())
            })
        };
        let about = |id: &ServerId| match kind {
            Kind::KillAttendant | Kind::Stop => attends(id),
            Kind::LogDown | Kind::LogSlow => true,
            _ => id == server,
        };
        let state = self.follower.state();
        let candidates = (0..20_000).flat_map(|number| {
            state.services.keys().map(move |service| (service, format!("probe{number}")))
        });
        let owned = candidates.filter(|(service, key)| {
            let division = &state.services[*service];
            let slot = division.slot_of(KeyHash::of(key.as_bytes()));
            division.owner(slot).is_some_and(|owner| about(&owner.server))
        });
        owned.take(PROBED).map(|(service, key)| (service.clone(), key)).collect()
    }
}

/// What is judged.
struct Judged {
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
        all.extend(self.done.iter().flat_map(|done| done.probes.iter().cloned()));
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
            imbalance: imbalance(&servers, &self.owners, self.calm),
            requests: Requests::of(load_notes.iter()),
            admitted: servers.iter().map(|server| server.runs.len() as u64).sum(),
            refused_by_servers: servers.iter().flat_map(|s| s.summary.refused.values()).sum(),
            episodes,
            broken,
        }
    }
}

fn records(deployment: &Deployment) -> Vec<ServerRecord> {
    let gone = deployment.gone.iter();
    let present = deployment.servers.values().map(|server| &server.handle);
    let record = |handle: &jacinthbeam_standin::backend::Handle| {
        let service = handle.service();
        let concurrency = deployment.config.services[service].concurrency;
        ServerRecord::of(handle, service, concurrency)
    };
    gone.chain(present).map(record).collect()
}

fn episode(done: &Done, notes: &[crate::load::Note]) -> Episode {
    let Window { kind, server, host, began, ended } = &done.window;
    let during = notes.iter().filter(|note| note.sent <= *ended && note.ended_at >= *began);
    let lost = done.before.values().filter(|owner| *owner == server).count();
    Episode {
        fault: *kind,
        server: server.clone(),
        host: host.clone(),
        fault_ms: (done.healed - *began).as_millis() as u64,
        served_again_ms: (*ended - done.healed).saturating_sub(AFTER).as_millis() as u64,
        unavailable_ms: unavailable(&done.probes, *began, *ended)
            .into_iter()
            .map(|unavailable| unavailable.time.as_millis() as u64)
            .collect(),
        changed: changed(&done.before, &done.after),
        slots_of_server: lost,
        requests: Requests::of(during),
    }
}
