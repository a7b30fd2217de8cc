//! A whole deployment in one process.

mod network;
mod plan;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use jacinthbeam::{
    config::{
        Config, Division,
        change::{Base, Change, FileChange},
        file::ContentHash,
        folder::Snapshot,
        settings::{Limits, Settings, TimingSettings},
    },
    entry,
    platform::format::hosts::{BackendServer, EntryHost, HostList},
    state::{CONTROL, Envelope, Record, RecordId},
    types::prelude::*,
};
use jacinthbeam_standin as standin;

pub use network::Network;
pub use plan::Plan;

/// Any free port of the loopback interface.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Why a deployment could not be started.
#[derive(Debug)]
pub enum Error {
    /// A stand-in could not be started.
    StandIn(io::Error),
    /// An entry host could not be started.
    Entry(entry::process::spawn::Error),
    /// The configuration was not published.
    Publish(String),
    /// Not everything was served in time.
    NotReady(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StandIn(err) => write!(f, "a stand-in could not be started: {err}"),
            Self::Entry(err) => err.fmt(f),
            Self::Publish(why) => write!(f, "the configuration was not published: {why}"),
            Self::NotReady(what) => write!(f, "the deployment did not get ready: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// A running deployment. Dropped, everything in it ends.
#[derive(Debug)]
pub struct Deployment {
    /// What it was made from.
    pub plan: Plan,
    /// The configuration that was published.
    pub config: Config,
    /// The platform's log.
    pub log: Arc<standin::log::Handle>,
    /// The platform's list of hosts.
    pub hosts: standin::hosts::Handle,
    /// The backend servers.
    pub servers: BTreeMap<ServerId, Server>,
    /// Backend servers that have left, for their records.
    pub gone: Vec<standin::backend::Handle>,
    /// What fails between them; `None` if they reach each other without it.
    pub network: Option<Network>,
    lost: BTreeSet<Incarnation>,
    lost_file: Option<String>,
    /// The entry hosts. One that was stopped or killed is absent.
    pub entries: BTreeMap<HostId, entry::Handle>,
}

/// A backend server of the deployment.
#[derive(Debug)]
pub struct Server {
    /// Service that it serves.
    pub service: ServiceName,
    /// Failure domain that it lies in.
    pub domain: FailureDomain,
    /// Whether the platform's list says that it is leaving.
    pub leaving: bool,
    /// The running stand-in.
    pub handle: standin::backend::Handle,
}

impl Deployment {
    /// Starts everything, publishes the configuration and waits until every slot is served.
    pub async fn spawn(plan: Plan, folder: &Snapshot) -> Result<Self, Error> {
        let config = folder.check().map_err(|problems| {
            Error::Publish(problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        })?;
        let config: Config = config.config;
        let log = standin::log::spawn(LOOPBACK, Default::default()).map_err(Error::StandIn)?;
        let hosts = standin::hosts::spawn(LOOPBACK, Default::default()).map_err(Error::StandIn)?;
        let network = match plan.network {
            true => Some(Network::open(plan.entry_hosts.keys(), &log, &hosts)),
            false => None,
        };
        let network = network.transpose().map_err(Error::StandIn)?;
        let mut deployment = Self {
            plan,
            config,
            log: Arc::new(log),
            hosts,
            servers: BTreeMap::new(),
            gone: Vec::new(),
            lost: BTreeSet::new(),
            lost_file: None,
            network,
            entries: BTreeMap::new(),
        };
        deployment.spawn_servers()?;
        deployment.publish_list();
        deployment.spawn_entries()?;
        deployment.publish_list();
        deployment.publish(folder)?;
        deployment.until_served(Duration::from_secs(30)).await?;
        Ok(deployment)
    }

    fn spawn_servers(&mut self) -> Result<(), Error> {
        let services: Vec<_> = self.config.services.clone().into_iter().collect();
        let domains: Vec<FailureDomain> = self.plan.entry_hosts.keys().cloned().collect();
        for (service, cfg) in services {
            for number in 0..self.plan.servers_of(&cfg.division) {
                let domain = domains[number % domains.len()].clone();
                self.spawn_server(number, &service, domain, Default::default())?;
            }
        }
        Ok(())
    }

    /// Starts one more backend server, which is slow at first and owns nothing yet.
    pub fn spawn_cold_server(
        &mut self,
        service: &ServiceName,
        domain: &FailureDomain,
    ) -> Result<(), Error> {
        let taken = |number: &usize| {
            let id = server_id(service, *number);
            self.servers.contains_key(&id) || self.gone.iter().any(|gone| *gone.id() == id)
        };
        let number = (0..).find(|number| !taken(number)).expect("numbers don't run out");
        self.spawn_server(number, service, domain.clone(), COLD_START)
    }

    fn spawn_server(
        &mut self,
        number: usize,
        service: &ServiceName,
        domain: FailureDomain,
        cold_start: standin::backend::ColdStart,
    ) -> Result<(), Error> {
        let cfg = &self.config.services[service];
        let id = server_id(service, number);
        let options = standin::backend::Options {
            checks_grants: cfg.checks_grants,
            concurrency: cfg.concurrency,
            connections: cfg.connections + RESERVED_CONNECTIONS,
            service_time: self.plan.service_time,
            cold_start,
            ..standin::backend::Options::new(id.clone(), service.clone())
        };
        let handle = standin::backend::spawn(LOOPBACK, options).map_err(Error::StandIn)?;
        if let Some(network) = &mut self.network {
            network.add_server(&id, handle.addr()).map_err(Error::StandIn)?;
        }
        let server = Server { service: service.clone(), domain, leaving: false, handle };
        self.servers.insert(id, server);
        Ok(())
    }

    fn spawn_entries(&mut self) -> Result<(), Error> {
        for (domain, count) in self.plan.entry_hosts.clone() {
            for number in 0..count {
                let host = format!("entry-{domain}-{number}");
                let host: HostId = host.parse().expect("names and a number are a name");
                self.spawn_entry(host, &domain)?;
            }
        }
        Ok(())
    }

    /// Starts an entry host, also one of a name that ran before.
    pub fn spawn_entry(&mut self, host: HostId, domain: &FailureDomain) -> Result<(), Error> {
        let placed = self.network.as_mut().map(|network| network.add_host(&host, domain));
        let placed = placed.transpose().map_err(Error::StandIn)?;
        let platform = self.network.as_ref().map(|network| network.platform(domain));
        let settings = Settings {
            host: host.clone(),
            cell: cell_of(domain),
            callers: LOOPBACK,
            peers: LOOPBACK,
            advertise: placed.map(|(_, addr)| addr),
            source: placed.map(|(source, _)| source),
            operators: LOOPBACK,
            log: platform.map_or(self.log.addr(), |platform| platform.log.addr()),
            hosts: platform.map_or(self.hosts.addr(), |platform| platform.hosts.addr()),
            timing: TimingSettings::default(),
            limits: Limits::default(),
            traffic_threads: self.plan.traffic_threads,
        };
        let entry = entry::spawn(&settings, Arc::new(SystemClock)).map_err(Error::Entry)?;
        if let Some(network) = &self.network {
            network.set_host(&host, entry.peers());
        }
        self.entries.insert(host, entry);
        Ok(())
    }

    /// Gives the platform's list what runs at present.
    pub fn publish_list(&self) {
        let entry = |(id, entry): (&HostId, &entry::Handle)| EntryHost {
            id: id.clone(),
            cell: entry.identity().cell.clone(),
            peer_address: entry.identity().peer_address,
            leaving: false,
        };
        let list = HostList {
            entry_hosts: self.entries.iter().map(entry).collect(),
            backend_servers: self.listed_servers(),
        };
        self.hosts.set_list(list);
    }

    fn listed_servers(&self) -> Vec<BackendServer> {
        let listed = |(id, server): (&ServerId, &Server)| BackendServer {
            id: id.clone(),
            service: server.service.clone(),
            cell: cell_of(&server.domain),
            address: self.address_of(id, server),
            leaving: server.leaving,
        };
        self.servers.iter().map(listed).collect()
    }

    fn address_of(&self, id: &ServerId, server: &Server) -> SocketAddr {
        let network = self.network.as_ref();
        network.and_then(|network| network.server(id)).unwrap_or(server.handle.addr())
    }

    fn publish(&self, folder: &Snapshot) -> Result<(), Error> {
        use jacinthbeam::config::{
            fold,
            publish::{Options, Plan, Synced, plan},
        };
        let planned =
            plan(folder, &Synced::default(), &fold::State::default(), &Options::default());
        let Plan::Publish { change, .. } = planned else {
            return Err(Error::Publish(planned.to_string()));
        };
        self.append_change(change)
    }

    fn append_change(&self, change: Change) -> Result<(), Error> {
        let sequence = self.log.records(CONTROL).len() as u64;
        let envelope = Envelope {
            id: RecordId { incarnation: Incarnation(0), sequence },
            why: "by the experiment".into(),
            record: Record::Config(change),
        };
        let buf = envelope.encode().map_err(|err| Error::Publish(err.to_string()))?;
        self.log.append(CONTROL, buf.into());
        Ok(())
    }

    /// Declares lives of entry hosts lost, as an operator does by a file of the configuration. `version` is the one in force.
    pub fn declare_lost(
        &mut self,
        hosts: &[Incarnation],
        version: Option<ConfigVersion>,
    ) -> Result<(), Error> {
        let before = self.lost_file.take();
        self.lost.extend(hosts);
        let lost: Vec<String> = self.lost.iter().map(ToString::to_string).collect();
        let text = format!("{{ \"lost\": {{ \"hosts\": [{}] }} }}\n", lost.join(", "));
        let base = Base { hash: before.as_deref().map(ContentHash::of), seen: version };
        let name = "90-lost.json".parse().expect("the name is proper");
        self.lost_file = Some(text.clone());
        self.append_change(Change { files: vec![FileChange { name, base, text: Some(text) }] })
    }

    /// Waits until an entry host has read the configuration, as a health check of the platform's balancer does.
    pub async fn until_ready(&self, host: &HostId) {
        let Some(entry) = self.entries.get(host) else { return };
        let ready = async {
            while entry.dump().await.is_none_or(|dump| dump.config_version.is_none()) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        // A host that is never ready is shown by what callers get.
        let _ = tokio::time::timeout(READY_WITHIN, ready).await;
    }

    /// Waits until every slot is owned and each backend server is attended by some entry host.
    pub async fn until_served(&self, within: Duration) -> Result<(), Error> {
        let deadline = tokio::time::Instant::now() + within;
        loop {
            let missing = self.missing().await;
            if missing.is_empty() {
                return Ok(());
            }
            if tokio::time::Instant::now() > deadline {
                return Err(Error::NotReady(missing));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// What is not served yet, or an empty text.
    async fn missing(&self) -> String {
        let mut unattended: Vec<&ServerId> = self.servers.keys().collect();
        let mut behind = Vec::new();
        for (host, entry) in &self.entries {
            let Some(dump) = entry.dump().await else {
                behind.push(format!("{host} gives no dump"));
                continue;
            };
            let ready = self.config.services.iter().all(|(name, service)| {
                let known = dump.services.get(name);
                match service.division {
                    Division::Keyed { slots } => {
                        known.is_some_and(|known| known.owned == Some(slots as usize))
                    }
                    Division::Undivided => known.is_some(),
                }
            });
            if !ready {
                behind.push(format!("{host} does not know an owner of every slot"));
            }
            for (server, state) in dump.backend_servers {
                let Some(admission) = state.admission else { continue };
                if admission.permit_left_ms > Some(0) && admission.slots == state.owns {
                    unattended.retain(|id| **id != server);
                }
            }
        }
        behind.extend(
            unattended.iter().map(|server| format!("{server} is not granted all its slots")),
        );
        behind.join(", ")
    }

    /// The entry host that attends a backend server at present, if one does.
    pub async fn attendant_of(&self, server: &ServerId) -> Option<HostId> {
        for (host, entry) in &self.entries {
            let dump = entry.dump().await?;
            let admission = dump.backend_servers.get(server).and_then(|s| s.admission.as_ref());
            if admission.is_some_and(|admission| admission.permit_left_ms > Some(0)) {
                return Some(host.clone());
            }
        }
        None
    }

    /// Stops everything gracefully.
    pub async fn stop(self) {
        for (_, entry) in self.entries {
            entry.stop().await;
        }
    }
}

/// Time in which an entry host reads the configuration, from the log or from its peers.
const READY_WITHIN: Duration = Duration::from_secs(5);
/// Slowness of a backend server that joins later.
const COLD_START: standin::backend::ColdStart =
    standin::backend::ColdStart { requests: 20, extra: Duration::from_millis(50) };
/// Connections of a backend server beyond those for requests: grants and probes of each host of its cell.
const RESERVED_CONNECTIONS: u32 = 16;

fn server_id(service: &ServiceName, number: usize) -> ServerId {
    format!("{service}-{number}").parse().expect("a name and a number are a name")
}

/// The one cell of a failure domain of this size.
fn cell_of(domain: &FailureDomain) -> CellId {
    domain.as_str().parse().expect("a failure domain's name is a cell's")
}
