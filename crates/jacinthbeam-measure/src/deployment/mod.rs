//! A store, backend servers and hosts on loopback.

mod host;

use std::{
    collections::BTreeMap,
    fmt, fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam::{
    config::{change::Change, change::FileChange, fold::Outcome, fold::State, folder::Snapshot},
    host::{Settings, Sockets, operators, process, spawn},
    native::{self, STORE_LAYOUT},
    store::{Call, Client},
    types::prelude::*,
};
use jacinthbeam_standin::{backend, serve};

use crate::Cost;

pub use host::Host;
use host::Running;

/// Any free port of the loopback interface.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Partitions of a topic in the stand-in store.
const PARTITIONS: u32 = 12;

/// Longest wait until a new deployment serves every key.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Names of the failure domains.
    pub domains: Vec<FailureDomain>,
    /// Hosts in each of them.
    pub hosts: u32,
    /// Backend servers of each service in each of them.
    pub servers: u32,
    /// Requests that a backend server works on at a time.
    pub slots: u32,
    /// Time that one request takes there.
    pub work: Duration,
    /// Runs each host as a process of its own: this program with these arguments, then `--settings FILE`. Else hosts are threads.
    pub program: Option<(PathBuf, Vec<String>)>,
}

impl Plan {
    /// Three failure domains with two hosts and two servers of each service.
    pub fn new(domains: Vec<FailureDomain>) -> Self {
        Self {
            domains,
            hosts: 2,
            servers: 2,
            slots: 3,
            work: Duration::from_millis(20),
            program: None,
        }
    }
}

/// Why a deployment can't be started.
#[derive(Debug)]
pub enum Error {
    /// The configuration is wrong.
    Config(String),
    /// A stand-in or a file can't be started or written.
    Io(io::Error),
    /// A host can't be started.
    Host(String),
    /// Not every key was served in time.
    NotReady(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(why) => write!(f, "the configuration can't be used: {why}"),
            Self::Io(err) => write!(f, "the deployment can't be started: {err}"),
            Self::Host(why) => write!(f, "a host can't be started: {why}"),
            Self::NotReady(what) => {
                write!(f, "the deployment is not ready after {READY_WITHIN:?}: {what}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// A running deployment. What it started ends with it.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub store: serve::Handle,
    /// The configuration in force.
    pub state: State,
    /// Backend servers that run.
    pub servers: Vec<backend::Handle>,
    /// Hosts, by name.
    pub hosts: BTreeMap<HostId, Host>,
    plan: Plan,
    lives: u32,
    /// What servers ran that have ended.
    runs: Vec<backend::Run>,
    /// Settings and logs of hosts that are processes.
    folder: Option<PathBuf>,
}

impl Deployment {
    /// Starts everything, and waits until each host serves and knows the owner of every key, which has confirmed it.
    pub async fn spawn(plan: Plan, files: &Snapshot) -> Result<Self, Error> {
        let state = accept(files)?;
        let store = serve::spawn(LOOPBACK, PARTITIONS).await?;
        let folder = plan.program.as_ref().map(|_| {
            std::env::temp_dir().join(format!(
                "jacinthbeam-{}-{}",
                std::process::id(),
                store.addr().port()
            ))
        });
        if let Some(folder) = &folder {
            fs::create_dir_all(folder)?;
        }
        let mut deployment = Self {
            store,
            state,
            servers: Vec::new(),
            hosts: BTreeMap::new(),
            plan,
            lives: 0,
            runs: Vec::new(),
            folder,
        };
        deployment.publish().await?;
        deployment.spawn_servers().await?;
        for domain in deployment.plan.domains.clone() {
            for n in 1..=deployment.plan.hosts {
                deployment.spawn_host(&format!("{domain}-{n}"), &domain)?;
            }
        }
        deployment.await_ready().await?;
        Ok(deployment)
    }

    async fn publish(&self) -> Result<(), Error> {
        let client = Client::open(self.store.addr(), native::wire().store, Arc::new(SystemClock));
        let value = Bytes::from(native::config::write(&self.state));
        let key = STORE_LAYOUT.config_key.to_owned();
        let call = Call::Put { to: (STORE_LAYOUT.operator)(), key, value, only_at: None };
        let kept = client.lane().call(&call).await;
        kept.map(drop).map_err(|err| Error::Config(err.to_string()))
    }

    async fn spawn_servers(&mut self) -> Result<(), Error> {
        let services: Vec<ServiceName> = self.state.config().services.keys().cloned().collect();
        for service in services {
            for domain in self.plan.domains.clone() {
                for _ in 0..self.plan.servers {
                    self.spawn_server(&service, &domain).await?;
                }
            }
        }
        Ok(())
    }

    /// Starts one more backend server, as a life of its own.
    pub async fn spawn_server(
        &mut self,
        service: &ServiceName,
        domain: &FailureDomain,
    ) -> Result<(), Error> {
        self.lives += 1;
        let id = format!("{service}-{}", self.lives);
        let options = backend::Options {
            id: id.parse().expect("a service's name and a number make a name"),
            service: service.clone(),
            domain: domain.clone(),
            keyed: self.state.config().services[service].keyed,
            slots: self.plan.slots,
            work: self.plan.work,
        };
        self.servers.push(backend::spawn(LOOPBACK, self.store.addr(), options).await?);
        Ok(())
    }

    fn spawn_host(&mut self, name: &str, domain: &FailureDomain) -> Result<(), Error> {
        let text = |err: &dyn fmt::Display| Error::Host(err.to_string());
        let settings = Settings {
            host: name.parse().map_err(|err| text(&err))?,
            domain: domain.clone(),
            regions: Default::default(),
            processor: Millicores::CORE,
            memory: Bytes(256 << 20),
            record_bytes: Bytes(256 << 10),
            first_start: false,
            callers: LOOPBACK,
            ready: LOOPBACK,
            peers: LOOPBACK,
            seeds: Vec::new(),
            metrics: LOOPBACK,
            store: self.store.addr(),
            partitions: PARTITIONS,
            repeats: jacinthbeam::dispatch::budget::Options {
                ratio: native::settings::DEFAULT_REPEAT_RATIO,
                burst: native::settings::DEFAULT_REPEAT_BURST,
                window: native::settings::DEFAULT_REPEAT_WINDOW,
            },
            drain_within: native::settings::DEFAULT_DRAIN,
            evacuate_within: jacinthbeam::host::settings::DEFAULT_EVACUATE,
            slow_start: jacinthbeam::dispatch::slow_start::Bounds::default(),
            config_within: native::settings::DEFAULT_CONFIG,
            stop_within: native::settings::DEFAULT_STOP,
        };
        let host = self.start(settings)?;
        self.hosts.insert(host.settings.host.clone(), host);
        Ok(())
    }

    /// Starts a host. Ports that are 0 in its settings are chosen, and keep their numbers when it is started again.
    fn start(&self, mut settings: Settings) -> Result<Host, Error> {
        let failed = |err: process::Error| Error::Host(err.to_string());
        let (Some((program, args)), Some(folder)) = (&self.plan.program, &self.folder) else {
            let handle = spawn(settings, native::wire()).map_err(failed)?;
            let settings = handle.settings().clone();
            return Ok(Host { settings, running: Running::Threads(Box::new(handle)) });
        };
        // The process binds them again, so another one may take a port in between. It then fails to start, with that as its error.
        drop(Sockets::bind(&mut settings).map_err(failed)?);
        let path = folder.join(format!("{}.json", settings.host));
        fs::write(&path, native::settings::write(&settings))?;
        let log = folder.join(format!("{}.log", settings.host));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .arg("--settings")
            .arg(path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Host { settings, running: Running::Process(child) })
    }

    /// What all hosts took so far. `None` unless each of them is a process that can be asked.
    pub fn cost(&self) -> Option<Cost> {
        let mut all = Cost::default();
        for host in self.hosts.values() {
            all += host.cost()?;
        }
        Some(all)
    }

    /// Starts a host again that has ended.
    pub fn restart(&mut self, host: &HostId) -> Result<(), Error> {
        let settings = self.hosts[host].settings.clone();
        let started = self.start(settings)?;
        self.hosts.insert(host.clone(), started);
        Ok(())
    }

    /// Ends a backend server without a word. What it ran is kept.
    pub fn retire(&mut self, at: usize) {
        let server = self.servers.remove(at);
        self.runs.extend(server.take_runs());
    }

    /// Everything that backend servers ran so far.
    pub fn take_runs(&mut self) -> Vec<backend::Run> {
        let mut runs = std::mem::take(&mut self.runs);
        runs.extend(self.servers.iter().flat_map(|server| server.take_runs()));
        runs
    }

    /// Folder with settings and logs of the hosts, if they are processes.
    pub fn folder(&self) -> Option<&PathBuf> {
        self.folder.as_ref()
    }

    async fn await_ready(&self) -> Result<(), Error> {
        let end = Instant::now() + READY_WITHIN;
        loop {
            let Some(missing) = self.missing().await else { return Ok(()) };
            if Instant::now() >= end {
                return Err(Error::NotReady(missing));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// What is not served yet.
    async fn missing(&self) -> Option<String> {
        for (name, host) in &self.hosts {
            if !crate::load::is_ready(host.settings.ready).await {
                return Some(format!("host {name} takes no callers"));
            }
            if let Some(unknown) = unknown_to(host).await {
                return Some(unknown);
            }
        }
        let services = self.state.config().services.iter();
        let keyed = services.filter(|(_, service)| service.keyed);
        for (service, _) in keyed {
            let of = self.servers.iter().filter(|server| server.options.service == *service);
            let held: u32 = of.flat_map(|server| server.holds()).map(|(r, _)| r.width()).sum();
            if held < jacinthbeam::range::key::KEY_COUNT {
                return Some(format!("{held} keys of {service} have an owner"));
            }
        }
        None
    }

    /// Tells all hosts to stop, and waits for their end.
    pub async fn stop(mut self) {
        for host in self.hosts.values_mut() {
            host.tell_to_stop();
        }
        for host in self.hosts.values_mut() {
            host.join().await;
        }
        if let Some(folder) = &self.folder
            && let Err(err) = fs::remove_dir_all(folder)
        {
            eprintln!("{} can't be removed: {err}", folder.display());
        }
    }
}

/// Keys that a host can't send requests for, since it has not read who owns them.
///
/// The host that grants keys may be another one. Its backend servers then hold their keys before this host has read the record.
async fn unknown_to(host: &Host) -> Option<String> {
    let name = &host.settings.host;
    match operators::status(host.settings.metrics).await {
        Err(err) => Some(format!("host {name} {err}")),
        Ok(status) => status.services.iter().find(|(_, service)| service.unowned() > 0).map(
            |(service, found)| {
                format!("host {name} knows no owner of {} keys of {service}", found.unowned())
            },
        ),
    }
}

fn accept(files: &Snapshot) -> Result<State, Error> {
    let change = |(name, text): (&jacinthbeam::config::FileName, &String)| FileChange {
        name: name.clone(),
        base: Default::default(),
        text: Some(text.clone()),
    };
    let change = Change { files: files.files.iter().map(change).collect() };
    let mut state = State::default();
    match state.apply(Offset(1), &change) {
        Outcome::Accepted(_) => Ok(state),
        Outcome::Conflict(names) => Err(Error::Config(format!("{names:?} clash"))),
        Outcome::Invalid(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            Err(Error::Config(lines.join("\n")))
        }
    }
}
