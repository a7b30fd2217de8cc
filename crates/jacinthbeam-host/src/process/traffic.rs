//! State of the traffic thread, which lasts as long as the process.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use jacinthbeam_connection::Dialer;
use jacinthbeam_crash::{
    Fact, Fingerprint, Prober, RecentSuccesses, Suspects, fingerprint::HeadDigest, probe::Rank,
};
use jacinthbeam_dispatch::{ServerStats, rate_limit::KnownLimit};
use jacinthbeam_range::{Key, admission::Gate, demand::LoadReport};
use jacinthbeam_route::{Route, Server, Target, route::WeightedRoundRobin};
use jacinthbeam_types::prelude::*;
use tokio::sync::{mpsc, watch};

use crate::{
    Settings, Wire,
    connection::accept::Phase,
    process::{
        credits::{self, RetryBudgets},
        helping::Helping,
        load_counts::LoadCounts,
        logs::Quota,
        metrics::Counters,
        partition::PartitionMonitor,
        permits,
        request_log::RequestLog,
        server_state::ServerState,
        service_loads::ServiceLoads,
        service_times::ServiceTimes,
        usage,
    },
    request::{
        admit::Admission,
        forward::{Forwarding, Peer},
        memory::BodyMemory,
    },
    version::{Freshness, View},
};

/// Admission gates of overloaded owners, each with the time at which it expires.
pub type Gates = BTreeMap<ServerId, (Instant, Gate)>;

/// State of the traffic thread. Only that thread accesses it, so plain cells suffice.
#[derive(Debug)]
pub struct Traffic {
    /// The settings of this host.
    pub settings: Settings,
    /// Conversions to and from the platform's wire format.
    pub wire: Wire,
    /// A clock that keeps counting while the machine is suspended, so that a suspension extends no deadline.
    pub clock: Arc<dyn Clock>,
    /// Opens connections to backend servers.
    pub dialer: Dialer,
    /// Instruments of the metrics.
    pub counters: Arc<Counters>,
    /// Usage that requests are charged to their teams.
    pub usage: usage::Counted,
    /// Counts of requests to services whose load is exchanged between hosts.
    pub load_counts: LoadCounts,
    /// Logs sends and refusals of requests.
    pub request_log: RequestLog,
    /// Logs what servers state about their own load.
    pub backpressure_log: RefCell<Quota>,
    /// Memory for the bodies of requests.
    pub request_memory: Arc<BodyMemory>,
    /// Memory for the bodies of responses, until their callers have read them.
    pub response_memory: Arc<BodyMemory>,
    view: watch::Receiver<Arc<View>>,
    freshness: watch::Receiver<Freshness>,
    phase: watch::Receiver<Phase>,
    gates: watch::Receiver<Gates>,
    loads: watch::Receiver<Arc<ServiceLoads>>,
    crashes: mpsc::UnboundedSender<Fact>,
    permits: mpsc::UnboundedSender<permits::Query>,
    peers: watch::Receiver<Arc<Vec<Peer>>>,
    /// Requests that other hosts serve for this one.
    pub(crate) forwarding: Forwarding,
    /// Deferrable requests, which may have to wait.
    pub(crate) admission: Admission,
    /// Requests that this host serves for others.
    helping: Helping,
    /// Mean service times of the services whose load is exchanged.
    pub service_times: RefCell<ServiceTimes>,
    /// Detects that this host reaches no backend server.
    pub(super) partition: PartitionMonitor,
    servers: RefCell<BTreeMap<ServerId, Rc<ServerState>>>,
    /// Retry budgets of the services.
    pub(crate) budgets: RetryBudgets,
    splits: RefCell<BTreeMap<String, WeightedRoundRobin>>,
    reports: RefCell<BTreeMap<ServiceName, LoadReport>>,
    recent_successes: RefCell<RecentSuccesses>,
    prober: RefCell<Prober>,
    /// The suspects that the recent successes were last checked against.
    checked_suspects: RefCell<Arc<Suspects>>,
}

/// Maximum number of log lines in a second about what servers state about their own load.
const MAX_BACKPRESSURE_LINES_PER_SECOND: u32 = 20;

/// Share of a server's connections that the hosts together use for requests. The rest is reserved for grants and for changes in the
/// number of hosts.
const REQUEST_CONNECTION_SHARE: f64 = 0.8;

/// A host may always open this many connections to a server, however many hosts share it.
const MIN_CONNECTIONS: u32 = 2;

/// What the state of the thread is made from.
#[derive(Debug)]
pub struct Start {
    /// The settings of this host.
    pub settings: Settings,
    /// Conversions to and from the platform's wire format.
    pub wire: Wire,
    /// A clock that keeps counting while the machine is suspended.
    pub clock: Arc<dyn Clock>,
    /// Opens connections to backend servers.
    pub dialer: Dialer,
    /// Instruments of the metrics.
    pub counters: Arc<Counters>,
    /// Usage that requests are charged to their teams.
    pub usage: usage::Counted,
    /// Counts of requests to services whose load is exchanged between hosts.
    pub load_counts: LoadCounts,
    /// The current view.
    pub view: watch::Receiver<Arc<View>>,
    /// How current the view is.
    pub freshness: watch::Receiver<Freshness>,
    /// Phase of the shutdown.
    pub phase: watch::Receiver<Phase>,
    /// Admission gates of overloaded owners.
    pub gates: watch::Receiver<Gates>,
    /// What the collectors have sent about the load of services.
    pub loads: watch::Receiver<Arc<ServiceLoads>>,
    /// Receives facts about server crashes that this host observes.
    pub crashes: mpsc::UnboundedSender<Fact>,
    /// Receives queries about rate limits.
    pub permits: mpsc::UnboundedSender<permits::Query>,
    /// Receives messages about retry budgets to other hosts.
    pub credits: mpsc::UnboundedSender<credits::Outgoing>,
    /// Whether this host is partitioned from all backend servers.
    pub partitioned: watch::Sender<bool>,
    /// The other hosts, in the order in which this one prefers them as helpers.
    pub peers: watch::Receiver<Arc<Vec<Peer>>>,
}

impl Traffic {
    /// State of a process that has served no request yet.
    pub fn new(start: Start) -> Self {
        let Start { settings, wire, clock, dialer, counters, usage, .. } = start;
        let Start { view, freshness, phase, gates, crashes, permits, .. } = start;
        let Start { partitioned, peers, loads, load_counts, credits, .. } = start;
        let budgets = RetryBudgets::new(settings.repeats, counters.clone(), credits);
        Self {
            request_memory: BodyMemory::new(settings.memory),
            response_memory: BodyMemory::new(settings.memory),
            admission: Admission::new(settings.memory),
            settings,
            wire,
            clock,
            dialer,
            counters,
            usage,
            load_counts,
            request_log: RequestLog::default(),
            backpressure_log: RefCell::new(Quota::new(MAX_BACKPRESSURE_LINES_PER_SECOND)),
            view,
            freshness,
            phase,
            gates,
            loads,
            crashes,
            permits,
            peers,
            forwarding: Forwarding::default(),
            helping: Helping::default(),
            service_times: RefCell::default(),
            partition: PartitionMonitor::new(partitioned),
            servers: RefCell::default(),
            budgets,
            splits: RefCell::default(),
            reports: RefCell::default(),
            recent_successes: RefCell::default(),
            prober: RefCell::default(),
            checked_suspects: RefCell::default(),
        }
    }

    /// Current time of the clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether the configuration of this host may be stale: a newer one may have been stored so long ago that it has to be in force.
    ///
    /// Callers treat "no route" as a final answer. A host whose updates arrive late, or that has no time to apply them, would give that
    /// answer for a route that was just added, and the request would be lost. A caller that is asked to retry reaches another host or a
    /// newer configuration. The check runs on the traffic thread and its own clock, so that it also works while the control thread is
    /// stalled.
    pub fn config_may_be_old(&self) -> bool {
        let as_of = self.freshness.borrow().config;
        let age = as_of.map(|at| self.now().saturating_duration_since(at));
        age.is_none_or(|age| age >= self.settings.config_within)
    }

    /// Whether the control thread is stalled for so long that servers may have left `drain_within` ago without this host knowing.
    pub fn is_stalled(&self, drain_within: Duration) -> bool {
        self.freshness.borrow().is_stalled(self.now(), drain_within)
    }

    /// Age of the list of servers; `None` if there is none yet.
    pub fn servers_age(&self) -> Option<Duration> {
        let as_of = self.freshness.borrow().servers;
        as_of.map(|at| self.now().saturating_duration_since(at))
    }

    /// Whether this process is shutting down, so that no request may wait for anything.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// Waits until this process shuts down.
    pub async fn stopping(&self) {
        let mut phase = self.phase.clone();
        // The sender lives as long as the process; an error here means that the process is about to exit.
        let _ = phase.wait_for(|phase| *phase > Phase::Serving).await;
    }

    /// Requests of a service that wait for capacity, by rank. A rank is listed once a request of it has waited.
    pub fn waiting(&self, service: &ServiceName) -> BTreeMap<u32, u32> {
        self.admission.waiting(service)
    }

    /// Waits until the view changes, up to `timeout`.
    pub async fn view_changed(&self, timeout: Duration) {
        let mut view = self.view.clone();
        view.mark_unchanged();
        // The sender lives as long as the process; an error here means that the process is about to exit.
        let _ = tokio::time::timeout(timeout, view.changed()).await;
    }

    /// State of a server, created at its first use.
    pub fn server(&self, server: &Server) -> Rc<ServerState> {
        let mut servers = self.servers.borrow_mut();
        servers.entry(server.id.clone()).or_insert_with(|| self.new_state(server)).clone()
    }

    /// State of a server, which is kept only if the server was used before.
    pub fn used_server(&self, server: &Server) -> Rc<ServerState> {
        let known = self.servers.borrow().get(&server.id).cloned();
        known.unwrap_or_else(|| self.new_state(server))
    }

    fn new_state(&self, server: &Server) -> Rc<ServerState> {
        Rc::new(ServerState::new(server.addr, self.dialer.clone(), self.now()))
    }

    /// Maximum number of connections of this host to one server, given the limit of its service and the number of hosts.
    ///
    /// A host has the share of each host that forwards its requests to it as well: these open no connections.
    pub fn most_connections(&self, service_limit: u32, hosts: u32) -> u32 {
        let shares = hosts.saturating_sub(self.helping.origins(self.now())).max(1);
        let share = f64::from(service_limit) * REQUEST_CONNECTION_SHARE / f64::from(shares);
        (share as u32).max(MIN_CONNECTIONS)
    }

    /// The service that the next request on a route goes to; a split route alternates between services by weight.
    pub fn next_service(&self, route: &Route) -> Option<ServiceName> {
        match &route.target {
            Target::Service(service) => Some(service.clone()),
            Target::Split(parts) => {
                let mut splits = self.splits.borrow_mut();
                splits.entry(route.name.clone()).or_default().next(parts)
            }
        }
    }

    /// Counts a request of a caller for a service; the retry budget is a share of these.
    pub fn on_request(&self, service: &ServiceName, rank: u32, hosts: u32) {
        self.budgets.on_request(service, rank, hosts, self.now());
    }

    /// Counts a request for a key in the next load report, whether or not it is then sent to the owner of the key.
    pub fn on_keyed_request(
        &self,
        service: &ServiceName,
        key: Key,
        owner: Option<&ServerId>,
        rank: u32,
    ) {
        let mut reports = self.reports.borrow_mut();
        let report = reports.entry(service.clone()).or_default();
        *report.keys.entry(key).or_default() += 1;
        if let Some(owner) = owner {
            let by_rank = report.arrivals.entry(owner.clone()).or_default();
            *by_rank.entry(rank).or_default() += 1;
        }
    }

    /// Records the number of requests in flight at each owner of a keyed service in the next load report.
    pub fn count_in_flight(&self) {
        let view = self.view();
        let servers = self.servers.borrow();
        let mut reports = self.reports.borrow_mut();
        for (service, map) in &view.maps {
            let owners =
                map.assignments().iter().filter_map(|assignment| assignment.owner.as_ref());
            for owner in owners {
                let Some(state) = servers.get(&owner.server) else { continue };
                let in_flight = state.stats.borrow().in_flight();
                if in_flight > 0 {
                    let report = reports.entry(service.clone()).or_default();
                    report.servers.entry(owner.server.clone()).or_default().in_flight = in_flight;
                }
            }
        }
    }

    /// Whether the gate of an owner, if any, admits a request of this rank now. Decided at random in the rank that is admitted in part.
    pub fn admits(&self, owner: &ServerId, rank: u32) -> bool {
        self.gate(owner).is_none_or(|gate| gate.admits(rank, fastrand::f64()))
    }

    /// What the collectors have sent about the load of services.
    pub fn service_loads(&self) -> Arc<ServiceLoads> {
        self.loads.borrow().clone()
    }

    /// Fleet-wide mean time to an answer at a rank of a service; `None` if unknown.
    pub fn mean_service_time(&self, service: &ServiceName, rank: u32) -> Option<Duration> {
        self.loads.borrow().services.get(service)?.service_times.get(&rank).copied()
    }

    /// Admission gate of an owner; `None` if it admits every request.
    pub fn gate(&self, owner: &ServerId) -> Option<Gate> {
        let gates = self.gates.borrow();
        let (until, gate) = gates.get(owner)?;
        (self.now() < *until).then_some(*gate)
    }

    /// What this host knows of the rate limit of a server; `None` if it has sent nothing to it.
    pub fn rate_limit(&self, server: &ServerId) -> Option<KnownLimit> {
        self.servers.borrow().get(server).map(|state| state.rate_limit.get())
    }

    /// How much longer a server wants no request from this host; `None` if it has not asked for a pause.
    pub fn pause_left(&self, server: &ServerId) -> Option<Duration> {
        self.servers.borrow().get(server).and_then(|state| state.pause.get().left(self.now()))
    }

    /// Counts a request in the next load report that was not sent to its owner, which has asked this host to pause.
    pub fn on_keyed_pause(&self, service: &ServiceName, server: &ServerId) {
        let mut reports = self.reports.borrow_mut();
        let report = reports.entry(service.clone()).or_default().servers.entry(server.clone());
        report.or_default().paused += 1;
    }

    /// Requests of this host in flight at a server.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        let servers = self.servers.borrow();
        servers.get(server).map_or(0, |state| state.stats.borrow().in_flight())
    }

    /// Whether the retry budget of a service allows one more retry. If so, the retry is charged to the budget.
    pub fn may_repeat(&self, service: &ServiceName, hosts: u32) -> bool {
        self.budgets.take(service, hosts, self.now())
    }

    /// Counts an answer of a server of a keyed service in the next load report.
    pub fn on_keyed_answer(&self, service: &ServiceName, server: &ServerId) {
        let state = self.servers.borrow().get(server).cloned();
        let rate_limit = state.as_ref().and_then(|state| state.rate_limit.get().rate());
        let draining = state.is_some_and(|state| state.draining_since.get().is_some());
        let mut reports = self.reports.borrow_mut();
        let report = reports.entry(service.clone()).or_default().servers.entry(server.clone());
        let report = report.or_default();
        report.answers += 1;
        report.rate_limit = rate_limit;
        report.draining |= draining;
    }

    /// Takes the load reports: the counts since the last call.
    pub fn take_reports(&self) -> BTreeMap<ServiceName, LoadReport> {
        std::mem::take(&mut self.reports.borrow_mut())
    }

    /// Sends a fact to the control thread: a server crashed while it had a request in flight, or a suspected request was answered.
    pub fn report_fact(&self, fact: Fact) {
        if self.crashes.send(fact).is_err() {
            tracing::debug!(part = "crash", event = "not-told");
        }
    }

    /// Sends a query about a rate limit to the control thread.
    pub fn query_permits(&self, query: permits::Query) {
        if self.permits.send(query).is_err() {
            tracing::debug!(part = "backpressure", event = "not-sent");
        }
    }

    /// Records that a request of a caller was answered successfully.
    pub fn on_good_answer(&self, head: HeadDigest, body: Bytes, caller: IpAddr) {
        self.recent_successes.borrow_mut().add(head, body, caller, self.now());
    }

    /// Whether a probe of a suspected request may be sent, given when a server last crashed under it. If so, it counts as sent.
    pub fn may_probe(&self, request: Fingerprint, rank: Rank, last: Instant) -> bool {
        let since = self.now().saturating_duration_since(last);
        self.prober.borrow_mut().admit(request, rank, since, SystemTime::now())
    }

    /// Reports successes of suspected requests that this host answered before it learnt of the crashes. Does nothing until the
    /// suspects change.
    pub fn clear_answered(&self) {
        let suspects = self.view().suspects.clone();
        if Arc::ptr_eq(&self.checked_suspects.replace(suspects.clone()), &suspects) {
            return;
        }
        for fact in self.recent_successes.borrow().facts_for(&suspects) {
            self.report_fact(fact);
        }
    }

    /// The other hosts, in the order in which this one prefers them as helpers.
    pub fn peers(&self) -> Arc<Vec<Peer>> {
        self.peers.borrow().clone()
    }

    /// Whether this host can serve another request that was forwarded to it.
    pub fn has_room_for_forwarded(&self) -> bool {
        self.helping.has_room(self.settings.processor)
    }

    /// Counts a request that another host has forwarded as in flight, until the result is dropped.
    pub fn begin_forwarded(&self) -> impl Drop {
        self.helping.begin()
    }

    /// Records that a host forwards requests to this one.
    pub fn on_forwarded_by(&self, origin: &HostId) {
        self.helping.on_origin(origin, self.now());
    }

    /// Drops the state of servers that are gone, and closes connections that were idle for too long.
    pub fn tidy(&self) {
        let (view, now) = (self.view(), self.now());
        self.forwarding.tidy(now);
        self.budgets.expire(now);
        let mut servers = self.servers.borrow_mut();
        servers.retain(|id, state| {
            state.pool.expire(now);
            let known = view.servers.get(id).is_some() || view.leaving.contains_key(id);
            known || state.stats.borrow().in_flight() > 0
        });
    }

    /// Statistics and number of open connections of each server, for `/dump`.
    pub fn seen(&self) -> Vec<(ServerId, ServerStats, u32)> {
        let servers = self.servers.borrow();
        let stats = |state: &ServerState| (state.stats.borrow().clone(), state.pool.open_count());
        servers
            .iter()
            .map(|(id, state)| {
                let (stats, open) = stats(state);
                (id.clone(), stats, open)
            })
            .collect()
    }
}
