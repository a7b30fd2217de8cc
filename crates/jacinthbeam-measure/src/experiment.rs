//! One experiment: a deployment under load, and one fault after the other.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use jacinthbeam::{config::folder::Snapshot, types::prelude::*};

use crate::{
    Cost, Deployment, Fault, Plan, Spent,
    deployment::Error,
    fault::Target,
    judge,
    load::{self, Ask, Keys, Note, PATIENCE, Told},
    report::{Report, Row},
};

/// Time after a fault in which everything has to be served again: the longest hold and the loss of a granting host.
pub const RECOVERY: Duration = Duration::from_secs(9);

/// How to run an experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// What to start.
    pub plan: Plan,
    /// Requests a second, over all services.
    pub rate: f64,
    /// Time of undisturbed load before the first fault.
    pub calm: Duration,
    /// Faults, in this order.
    pub faults: Vec<Fault>,
    /// What random choices start from.
    pub seed: u64,
}

/// Notes of all requests, shared by the callers.
type Notes = Arc<Mutex<Vec<Note>>>;

/// Runs an experiment. `say` is told what happens.
pub async fn run(
    options: Options,
    files: &Snapshot,
    mut say: impl FnMut(String),
) -> Result<Report, Error> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut deployment = Deployment::spawn(options.plan, files).await?;
    say(format!("{} hosts, {} servers", deployment.hosts.len(), deployment.servers.len()));
    let notes = Notes::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = Callers::new(&deployment, options.rate, rng.fork());
    let load = tokio::spawn(callers.run(notes.clone(), stop.clone()));
    let mut windows = Vec::new();
    let (begun, before) = (Instant::now(), deployment.cost());
    tokio::time::sleep(options.calm).await;
    let cost = since(before, deployment.cost());
    windows.push(("calm".to_owned(), None, begun, Instant::now()));
    for fault in &options.faults {
        let Some(target) = fault.target(&deployment, &mut rng) else {
            say(format!("{fault}: there is nothing that it could strike"));
            continue;
        };
        say(format!("{fault}: {}", describe(&target)));
        let begun = Instant::now();
        fault.strike(&target, &mut deployment).await?;
        tokio::time::sleep(RECOVERY).await;
        windows.push((fault.to_string(), Some(target), begun, Instant::now()));
    }
    stop.store(true, Ordering::SeqCst);
    if load.await.is_err() {
        say("the load ended by a panic".into());
    }
    tokio::time::sleep(PATIENCE + Duration::from_secs(1)).await;
    let runs = deployment.take_runs();
    let calls = deployment.store.calls();
    let notes = std::mem::take(&mut *notes.lock().expect("no holder of the lock panics"));
    let rows: Vec<Row> = windows.iter().map(|window| row(window, &notes)).collect();
    deployment.stop().await;
    let spent = cost.map(|cost| Spent { cost, requests: rows[0].requests });
    Ok(Report { rows, broken: judge::broken(&notes, &runs), runs: runs.len(), calls, spent })
}

fn since(before: Option<Cost>, now: Option<Cost>) -> Option<Cost> {
    Some(now? - before?)
}

type Window = (String, Option<Target>, Instant, Instant);

fn row((name, target, begun, ended): &Window, notes: &[Note]) -> Row {
    let inside: Vec<Note> =
        notes.iter().filter(|note| note.sent >= *begun && note.sent < *ended).cloned().collect();
    let count = |told: Told| inside.iter().filter(|note| note.told == told).count();
    let affected = |note: &Note| match target {
        Some(Target::Server { service, held, .. }) => {
            let key = note.key;
            note.ask.service == *service
                && key.is_some_and(|key| held.iter().any(|range| range.contains(key)))
        }
        _ => true,
    };
    let (p50, p99) = judge::latency(&inside);
    Row {
        name: name.clone(),
        requests: inside.len(),
        ran: count(Told::Ran),
        not_run: count(Told::NotRun),
        may_have_run: count(Told::MayHaveRun),
        nothing: count(Told::Nothing),
        p50,
        p99,
        unavailable: judge::unavailable(&inside, affected, *begun),
        served_again: served_again(&inside, affected, *ended),
    }
}

/// Whether the affected requests of the last second are answered again.
fn served_again(notes: &[Note], affected: impl Fn(&Note) -> bool, ended: Instant) -> bool {
    let late = |note: &&Note| note.sent + Duration::from_secs(1) >= ended && affected(note);
    let last: Vec<&Note> = notes.iter().filter(late).collect();
    let ran = last.iter().filter(|note| note.told == Told::Ran).count();
    last.is_empty() || ran * 2 > last.len()
}

fn describe(target: &Target) -> String {
    match target {
        Target::Host(host) => format!("host {host}"),
        Target::Server { id, held, .. } => {
            let keys: u32 = held.iter().map(|range| range.width()).sum();
            format!("server {id} with {keys} keys")
        }
        Target::Store => "the store".into(),
    }
}

/// Everything that the load needs of a deployment.
struct Callers {
    hosts: Vec<std::net::SocketAddr>,
    routes: Vec<(String, ServiceName, bool, bool)>,
    rate: f64,
    keys: Keys,
    rng: fastrand::Rng,
}

impl Callers {
    fn new(deployment: &Deployment, rate: f64, rng: fastrand::Rng) -> Self {
        let cfg = deployment.state.config();
        let routes = cfg.routes.iter().flat_map(|route| {
            route.target.services().map(move |service| {
                let keyed = cfg.services[service].keyed;
                (route.prefix.clone(), service.clone(), keyed, route.idempotent)
            })
        });
        Self {
            hosts: deployment.hosts.values().map(|host| host.settings.callers).collect(),
            routes: routes.collect(),
            rate,
            keys: Keys::default(),
            rng,
        }
    }

    async fn run(mut self, notes: Notes, stop: Arc<AtomicBool>) {
        let mut next = tokio::time::Instant::now();
        for n in 0_u64.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let Some((prefix, service, keyed, idempotent)) = self.rng.choice(&self.routes).cloned()
            else {
                return;
            };
            let Some(host) = self.rng.choice(&self.hosts).copied() else { return };
            let ask = Ask {
                id: format!("ask-{n}"),
                path: format!("{prefix}{n}"),
                service,
                key: keyed.then(|| self.keys.draw(&mut self.rng)),
                idempotent,
            };
            let notes = notes.clone();
            tokio::spawn(async move {
                let note = load::ask(host, ask).await;
                notes.lock().expect("no holder of the lock panics").push(note);
            });
            // Arrivals at random: the pause between two is exponential.
            next += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / self.rate);
            tokio::time::sleep_until(next).await;
        }
    }
}
