//! Time from the append of a change of configuration until it is in force on every host.

use std::{
    fmt,
    time::{Duration, Instant},
};

use jacinthbeam::{
    config::{
        change::{Base, Change, FileChange},
        file::{ContentHash, FileName},
    },
    entry,
    platform::log,
    state::{CONTROL, Envelope, Record, RecordId},
    types::prelude::*,
};
use serde::Serialize;

use crate::{
    Deployment, Preset, deployment, process,
    statistic::{millis, quantile},
};

/// File that is changed.
const FILE: &str = "90-bench.json";
/// Time between two looks at a host.
const LOOK_EVERY: Duration = Duration::from_millis(2);
/// Longest wait for a change to be in force.
const PATIENCE: Duration = Duration::from_secs(20);
/// Bound of one append.
const APPEND: Duration = Duration::from_secs(5);

/// What to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// Deployment.
    pub preset: Preset,
    /// Changes.
    pub changes: u32,
    /// Time between the end of one change and the next.
    pub pause: Duration,
}

/// What the experiment found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Entry hosts.
    pub hosts: usize,
    /// For each change, milliseconds until the last host had it in force.
    pub last_ms: Vec<f64>,
    /// The same for each host alone.
    pub each_ms: Vec<f64>,
    /// Milliseconds of each append.
    pub append_ms: Vec<f64>,
    /// Load average of the machine before and after.
    pub load: (f64, f64),
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<Report, deployment::Error> {
    let deployment = Deployment::spawn(options.preset.plan(), &options.preset.folder()).await?;
    let client = log::Client::open(deployment.log.addr(), APPEND);
    let load_before = process::load_average();
    let mut report = Report {
        deployment: options.preset.to_string(),
        hosts: deployment.entries.len(),
        last_ms: Vec::new(),
        each_ms: Vec::new(),
        append_ms: Vec::new(),
        load: (0.0, 0.0),
    };
    let mut publisher = Publisher::new(&deployment).await?;
    for number in 0..options.changes {
        tokio::time::sleep(options.pause).await;
        let before = publisher.base.seen;
        let buf = publisher.next(number)?;
        let started = Instant::now();
        let (appended, in_force) = tokio::join!(
            async { (client.append(CONTROL, buf).await, started.elapsed()) },
            in_force(&deployment, before, started)
        );
        let (appended, took) = appended;
        let offset = appended.map_err(|err| deployment::Error::Publish(err.to_string()))?;
        publisher.accepted(offset);
        let in_force: Vec<f64> = in_force?.into_iter().map(millis).collect();
        report.append_ms.push(millis(took));
        report.last_ms.push(in_force.iter().copied().fold(0.0, f64::max));
        report.each_ms.extend(in_force);
    }
    report.load = (load_before, process::load_average());
    deployment.stop().await;
    Ok(report)
}

/// Author of changes of one file.
#[derive(Debug)]
pub(crate) struct Publisher {
    service: ServiceName,
    file: FileName,
    base: Base,
    hash: Option<ContentHash>,
}

impl Publisher {
    /// Nothing of the file is in force yet.
    pub(crate) async fn new(deployment: &Deployment) -> Result<Self, deployment::Error> {
        let none = || deployment::Error::NotReady("no host or no service".into());
        let service = deployment.config.services.keys().next().ok_or_else(none)?;
        let entry = deployment.entries.values().next().ok_or_else(none)?;
        let version = entry.dump().await.and_then(|dump| dump.config_version);
        Ok(Self {
            service: service.clone(),
            file: FILE.parse().expect("a proper name"),
            base: Base { hash: None, seen: version },
            hash: None,
        })
    }

    /// The next change, as it is appended.
    pub(crate) fn next(&mut self, number: u32) -> Result<Vec<u8>, deployment::Error> {
        let queue = 100 + number;
        let text = format!(r#"{{ "services": {{ "{}": {{ "queue": {queue} }} }} }}"#, self.service);
        self.hash = Some(ContentHash::of(&text));
        let file = FileChange { name: self.file.clone(), base: self.base, text: Some(text) };
        let envelope = Envelope {
            id: RecordId { incarnation: Incarnation(0), sequence: 1 + u64::from(number) },
            why: "measured".into(),
            record: Record::Config(Change { files: vec![file] }),
        };
        envelope.encode().map_err(|err| deployment::Error::Publish(err.to_string()))
    }

    /// The last change stands in the log.
    pub(crate) fn accepted(&mut self, offset: Offset) {
        self.base = Base { hash: self.hash, seen: Some(ConfigVersion(offset.0)) };
    }
}

/// Time until each host has a newer version in force than `before`.
async fn in_force(
    deployment: &Deployment,
    before: Option<ConfigVersion>,
    started: Instant,
) -> Result<Vec<Duration>, deployment::Error> {
    let looks = deployment.entries.values().map(|entry| look(entry, before, started));
    futures_util::future::join_all(looks).await.into_iter().collect()
}

/// A dump tells what is in force: the control thread gives traffic a version before it handles the next event.
async fn look(
    entry: &entry::Handle,
    before: Option<ConfigVersion>,
    started: Instant,
) -> Result<Duration, deployment::Error> {
    loop {
        let dump = entry.dump().await;
        if dump.is_some_and(|dump| dump.config_version > before) {
            return Ok(started.elapsed());
        }
        if started.elapsed() > PATIENCE {
            let host = &entry.identity().host;
            return Err(deployment::Error::NotReady(format!("{host} has an old configuration")));
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = |f: &mut fmt::Formatter<'_>, what: &str, values: &[f64]| {
            let [p50, p99, most] = [0.5, 0.99, 1.0].map(|part| quantile(values, part));
            writeln!(f, "{what:22} p50 {p50:6.1} ms  p99 {p99:6.1} ms  max {most:6.1} ms")
        };
        writeln!(
            f,
            "{}: {} changes, {} hosts, load average {:.1} to {:.1}",
            self.deployment,
            self.last_ms.len(),
            self.hosts,
            self.load.0,
            self.load.1
        )?;
        line(f, "append answered", &self.append_ms)?;
        line(f, "in force on one host", &self.each_ms)?;
        line(f, "in force on the last", &self.last_ms)
    }
}
