//! The exchange of the load of services between hosts: which hosts collect it, what this host collects, and what it has received.
//!
//! Every host reports to the collectors of its failure domain (see `process::serving`). Collectors exchange the loads of their domains,
//! and send the hosts of their own domain a plan and the loads of the servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Classes, Collector, FleetLoads, HostReport, Plan, Received,
    collect::{self, Outcome},
    fleet,
    plan::{self, DomainLoad, ServerLoad},
    report,
};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use super::state::Control;
use crate::process::{
    metrics::Counters,
    peers::load::Message,
    service_loads::{ServiceLoad, ServiceLoads},
};

/// Interval at which the metrics are recorded.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// State of this host in the exchange.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    services: BTreeMap<ServiceName, Exchanged>,
    /// The hosts of this host's failure domain, itself included.
    near: Vec<SocketAddr>,
    metrics_recorded: Option<Instant>,
}

/// The exchange for one service.
#[derive(Debug)]
struct Exchanged {
    /// Collectors of this host's reports, the preferred one first.
    collectors: Vec<(HostId, SocketAddr)>,
    received: Received,
    /// When this host last had a plan; before the first one, when the exchange began.
    had_plan: Instant,
    /// Whether it has one.
    has_plan: bool,
    /// Whether something was received that is not published yet.
    changed: bool,
    /// `None` unless this host is a collector.
    collecting: Option<Collecting>,
}

/// What this host does as a collector.
#[derive(Debug)]
struct Collecting {
    collector: Collector,
    /// Loads of the other failure domains.
    fleet: FleetLoads,
    /// Collectors of the other failure domains.
    others: Vec<SocketAddr>,
    /// Interval of the exchange with them.
    interval: Duration,
    /// When the load of this domain is due next.
    exchange_at: Instant,
    /// Sequence of the last message.
    sequence: u32,
    rounds: Rounds,
}

/// Spreads the messages to the hosts of a domain over the report interval, so that a collector of hundreds of hosts sends no bursts that
/// overflow the socket's buffer.
#[derive(Debug)]
struct Rounds {
    advanced: Instant,
    /// Hosts that are due, including a fraction of one.
    due: f64,
    /// Index of the next host.
    next: usize,
}

impl Rounds {
    fn new(now: Instant) -> Self {
        Self { advanced: now, due: 0.0, next: 0 }
    }

    /// The hosts that are due now, each once in an interval.
    fn advance(&mut self, hosts: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        let elapsed = now.saturating_duration_since(std::mem::replace(&mut self.advanced, now));
        let share = elapsed.as_secs_f64() / report::interval(hosts.len() as u32).as_secs_f64();
        self.due = (self.due + share * hosts.len() as f64).min(hosts.len() as f64);
        let count = self.due as usize;
        self.due -= count as f64;
        let next = self.next;
        self.next = (next + count).checked_rem(hosts.len()).unwrap_or_default();
        hosts.iter().cycle().skip(next).take(count).copied().collect()
    }
}

impl Control {
    /// Updates which hosts collect the load of each service whose load is exchanged, and publishes them.
    pub(super) fn update_collectors(&mut self) {
        let shared = self.view.borrow().load_shared.clone();
        if shared.is_empty() && self.load_exchange.services.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut domains: BTreeMap<&FailureDomain, Vec<&HostId>> = BTreeMap::new();
        for (host, entry) in self.replica.hosts() {
            domains.entry(&entry.domain).or_default().push(host);
        }
        let addr = |host: &HostId| self.replica.host(host).map(|entry| entry.addr);
        let with_addr = |host: &HostId| Some((host.clone(), addr(host)?));
        let near = domains.remove(&self.settings.domain).unwrap_or_default();
        let exchange = &mut self.load_exchange;
        exchange.near = near.iter().filter_map(|host| addr(host)).collect();
        let ceased = exchange.services.extract_if(.., |service, _| !shared.contains_key(service));
        for (service, exchanged) in ceased {
            exchanged.on_ceased(&service, &self.counters);
        }
        let hosts = near.len() as u32;
        for service in shared.keys() {
            let collectors = collect::select(service, near.iter().copied());
            let collectors: Vec<_> = collectors.into_iter().filter_map(with_addr).collect();
            let is_collector = collectors.iter().any(|(host, _)| *host == self.me.host);
            let exchanged =
                exchange.services.entry(service.clone()).or_insert_with(|| Exchanged::new(now));
            let names = collectors.iter().map(|(host, _)| host.clone()).collect();
            exchanged.received.set_collectors(names, hosts);
            exchanged.changed |= exchanged.collectors != collectors;
            exchanged.collectors = collectors;
            if !is_collector {
                exchanged.on_ceased(service, &self.counters);
                exchanged.collecting = None;
                continue;
            }
            let collecting = exchanged.collecting.get_or_insert_with(|| {
                tracing::info!(part = "load", event = "collector", service = %service, hosts = hosts);
                Collecting::new(service, now)
            });
            let others =
                domains.values().flat_map(|hosts| collect::select(service, hosts.iter().copied()));
            collecting.others = others.filter_map(addr).collect();
            collecting.set_sizes(hosts, domains.len() as u32 + 1);
        }
        self.publish_loads();
    }

    /// Merges the report of a host.
    pub(super) fn on_host_report(
        &mut self,
        from: &HostId,
        service: &ServiceName,
        report: HostReport,
    ) {
        let now = self.clock.now();
        let exchanged = self.load_exchange.services.get_mut(service);
        let collecting = exchanged.and_then(|exchanged| exchanged.collecting.as_mut());
        // A host that knows another set of hosts may report to this one without it being a collector.
        let outcome = match collecting.map(|known| known.collector.merge(from, report, now)) {
            Some(Outcome::Merged) => "merged",
            Some(Outcome::Stale) => "stale",
            None => "not-collector",
        };
        self.counters.on_load_report(outcome);
    }

    /// Merges the load of another failure domain.
    pub(super) fn on_domain_load(
        &mut self,
        from: HostId,
        domain: FailureDomain,
        service: &ServiceName,
        sequence: u32,
        load: DomainLoad,
    ) {
        let now = self.clock.now();
        let exchanged = self.load_exchange.services.get_mut(service);
        let Some(collecting) = exchanged.and_then(|known| known.collecting.as_mut()) else {
            return;
        };
        if domain != self.settings.domain {
            collecting.fleet.merge(domain, from, sequence, load, now);
        }
    }

    /// Applies the plan of a collector.
    pub(super) fn on_plan(
        &mut self,
        from: &HostId,
        service: &ServiceName,
        sequence: u32,
        plan: Plan,
    ) {
        let now = self.clock.now();
        let Some(exchanged) = self.load_exchange.services.get_mut(service) else { return };
        exchanged.changed |= exchanged.received.on_plan(from, sequence, plan, now);
    }

    /// Applies the loads of servers from a collector.
    pub(super) fn on_server_loads(
        &mut self,
        from: &HostId,
        service: &ServiceName,
        sequence: u32,
        servers: BTreeMap<ServerId, ServerLoad>,
        service_times: BTreeMap<u32, Duration>,
    ) {
        let now = self.clock.now();
        let Some(exchanged) = self.load_exchange.services.get_mut(service) else { return };
        let received = &mut exchanged.received;
        exchanged.changed |= received.on_servers(from, sequence, servers, service_times, now);
    }

    /// Does what is due at a tick: sends what this host collects, and stops following plans that are too old.
    pub(super) fn exchange_loads(&mut self) {
        if self.load_exchange.services.is_empty() {
            return;
        }
        let now = self.clock.now();
        let records =
            self.load_exchange.metrics_recorded.is_none_or(|at| now >= at + METRICS_INTERVAL);
        if records {
            self.load_exchange.metrics_recorded = Some(now);
        }
        let view = self.view.borrow().clone();
        let mut services = std::mem::take(&mut self.load_exchange.services);
        for (service, exchanged) in &mut services {
            if let Some(classes) = view.load_shared.get(service)
                && let Some(collecting) = exchanged.collecting.as_mut()
            {
                self.send_collected(service, classes, collecting, records, now);
            }
            exchanged.changed |= exchanged.has_plan && exchanged.received.plan(now).is_none();
        }
        self.load_exchange.services = services;
        self.publish_loads();
        if records {
            self.record_plans(now);
        }
    }

    /// Sends the load of this domain to the other domains, and the plan and the loads of servers to the hosts that are due.
    fn send_collected(
        &self,
        service: &ServiceName,
        classes: &Classes,
        collecting: &mut Collecting,
        records: bool,
        now: Instant,
    ) {
        collecting.collector.expire(now);
        collecting.fleet.expire(now);
        let hosts = collecting.rounds.advance(&self.load_exchange.near, now);
        if !collecting.collector.is_complete(now) {
            return;
        }
        let servers = self.near_servers(service);
        let warm = servers.iter().filter(|server| !server.is_cold());
        let warm = warm.map(|server| (&server.id, server.slots));
        let load = collecting.collector.load(warm, now);
        let from = &self.me.host;
        if now >= collecting.exchange_at {
            let next = collecting.exchange_at + collecting.interval;
            collecting.exchange_at = if next > now { next } else { now + collecting.interval };
            let (domain, sequence) = (self.settings.domain.clone(), collecting.next_sequence());
            let (from, service, load) = (from.clone(), service.clone(), load.clone());
            let message = Message::DomainLoad { from, domain, service, sequence, load };
            self.send_loads(&message, &collecting.others);
        }
        if hosts.is_empty() && !records {
            return;
        }
        let mut loads = collecting.fleet.loads(now);
        loads.insert(self.settings.domain.clone(), load);
        if records {
            let in_flight = loads.values().flat_map(|load| load.ranks.values());
            let in_flight = in_flight.map(|rank| rank.in_flight).sum();
            let slots = loads.values().map(|load| load.slots).sum();
            self.counters.on_capacity(service, slots, in_flight);
        }
        let (sequence, plan) = (collecting.next_sequence(), plan::compute(&loads, classes));
        let message = Message::plan(from, service, sequence, plan, &self.settings.domain);
        self.send_loads(&message, &hosts);
        let of_servers =
            collecting.collector.server_loads(servers.iter().map(|server| &server.id), now);
        let (times, sequence) = (fleet::service_times(&loads), &mut collecting.sequence);
        for message in Message::server_loads(from, service, sequence, &of_servers, &times) {
            self.send_loads(&message, &hosts);
        }
    }

    /// The servers of a service in this host's failure domain that accept work.
    fn near_servers(&self, service: &ServiceName) -> Vec<&Server> {
        let servers = self.replica.servers();
        let near = servers.ids_of(service).filter(|(domain, _)| **domain == self.settings.domain);
        let near = near.flat_map(|(_, ids)| ids).filter_map(|id| servers.get(id));
        near.filter(|server| !server.draining).collect()
    }

    fn send_loads(&self, message: &Message, to: &[SocketAddr]) {
        let bytes = message.to_bytes();
        for addr in to {
            // A datagram that doesn't fit the send buffer is lost like one that the network drops; the next one replaces it.
            if let Err(err) = self.socket.try_send_to(&bytes, *addr) {
                tracing::debug!(part = "load", event = "not-sent", to = %addr, error = ?err);
            }
        }
    }

    /// Publishes what has changed to the traffic thread.
    pub(super) fn publish_loads(&mut self) {
        let now = self.clock.now();
        let exchange = &mut self.load_exchange.services;
        let known = self.loads.borrow();
        let removed = known.services.keys().any(|service| !exchange.contains_key(service));
        drop(known);
        if !removed && !exchange.values().any(|exchanged| exchanged.changed) {
            return;
        }
        self.loads.send_modify(|loads| {
            let ServiceLoads { services } = Arc::make_mut(loads);
            services.retain(|service, _| exchange.contains_key(service));
            for (service, exchanged) in exchange.iter_mut().filter(|(_, known)| known.changed) {
                exchanged.changed = false;
                let load = exchanged.load(now);
                exchanged.note_plan(service, load.plan.as_ref().map(|(at, _)| *at), now);
                services.insert(service.clone(), load);
            }
        });
    }

    fn record_plans(&self, now: Instant) {
        for (service, exchanged) in &self.load_exchange.services {
            let plan = exchanged.received.plan(now);
            let at = plan.map_or(exchanged.had_plan, |(at, _)| *at);
            let ranks = plan.into_iter().flat_map(|(_, plan)| &plan.ranks);
            let shares = ranks.map(|(rank, plan)| (*rank, plan.share));
            self.counters.on_plan(service, now.saturating_duration_since(at), shares);
        }
    }
}

impl Exchanged {
    fn new(now: Instant) -> Self {
        Self {
            collectors: Vec::new(),
            received: Received::default(),
            had_plan: now,
            has_plan: false,
            changed: true,
            collecting: None,
        }
    }

    fn load(&self, now: Instant) -> ServiceLoad {
        ServiceLoad {
            collectors: self.collectors.iter().map(|(_, addr)| *addr).collect(),
            plan: self.received.plan(now).cloned(),
            servers: self.received.servers(now),
            service_times: self.received.service_times(now),
        }
    }

    /// Notes when the plan to follow arrived, and logs that the host has got one or has lost it.
    fn note_plan(&mut self, service: &ServiceName, at: Option<Instant>, now: Instant) {
        let without = now.saturating_duration_since(self.had_plan).as_millis() as u64;
        self.had_plan = at.unwrap_or(self.had_plan);
        if std::mem::replace(&mut self.has_plan, at.is_some()) == at.is_some() {
            return;
        }
        match at {
            Some(_) => {
                tracing::info!(part = "load", event = "plan", service = %service, without_ms = without);
            }
            None => {
                tracing::warn!(part = "load", event = "plan-lost", service = %service, age_ms = without);
            }
        }
    }

    /// Must be called before the host ceases to be a collector, if it is one. Others record the metrics of collectors from then on.
    fn on_ceased(&self, service: &ServiceName, counters: &Counters) {
        if self.collecting.is_some() {
            counters.on_capacity(service, 0, 0);
            tracing::info!(part = "load", event = "not-collector", service = %service);
        }
    }
}

impl Collecting {
    fn new(service: &ServiceName, now: Instant) -> Self {
        Self {
            collector: Collector::new(now),
            fleet: FleetLoads::new(service.clone()),
            others: Vec::new(),
            interval: Duration::ZERO,
            exchange_at: now,
            sequence: 0,
            rounds: Rounds::new(now),
        }
    }

    /// Sets the number of hosts in this domain, and the number of domains.
    fn set_sizes(&mut self, hosts: u32, domains: u32) {
        self.interval = fleet::interval(hosts, domains);
        self.collector.set_hosts(hosts);
        self.fleet.set_interval(self.interval);
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
