//! What the traffic thread keeps for as long as the process lives.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use jacinthbeam_crash::{
    Fact, Fingerprint, Prober, RecentSuccesses, Suspects, fingerprint::HeadDigest, probe::Rank,
};
use jacinthbeam_dispatch::{RetryBudget, ServerStats, slow_start::Pacer};
use jacinthbeam_range::{Key, admission::Gate, demand::LoadReport};
use jacinthbeam_route::{Route, Server, Target, route::WeightedRoundRobin};
use jacinthbeam_types::prelude::*;
use tokio::sync::{mpsc, watch};

use crate::{
    Settings, Wire,
    connection::{Pool, accept::Phase},
    process::{broken::Broken, metrics::Counters, request_log::RequestLog, usage},
    version::{Freshness, View},
};

/// Owners that may be sent a part of what is asked of them, and until when that stands.
pub type Gates = BTreeMap<ServerId, (Instant, Gate)>;

/// State of the traffic thread. One thread only, so plain cells do.
#[derive(Debug)]
pub struct Traffic {
    /// Where this host stands.
    pub settings: Settings,
    /// How requests look on the wire.
    pub wire: Wire,
    /// A clock that counts suspension, so that no deadline is stretched by one.
    pub clock: Arc<dyn Clock>,
    /// Counts for the metrics.
    pub counters: Arc<Counters>,
    /// What requests count against their teams.
    pub usage: usage::Counted,
    /// Logs sends and refusals of requests.
    pub request_log: RequestLog,
    /// Bytes of request bodies that are held.
    pub body_bytes: Cell<usize>,
    view: watch::Receiver<Arc<View>>,
    freshness: watch::Receiver<Freshness>,
    phase: watch::Receiver<Phase>,
    gates: watch::Receiver<Gates>,
    crashes: mpsc::UnboundedSender<Fact>,
    servers: RefCell<BTreeMap<ServerId, Rc<ServerState>>>,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    dealers: RefCell<BTreeMap<String, WeightedRoundRobin>>,
    reports: RefCell<BTreeMap<ServiceName, LoadReport>>,
    recent: RefCell<RecentSuccesses>,
    prober: RefCell<Prober>,
    /// The suspects that the recent answers were last compared with.
    compared: RefCell<Arc<Suspects>>,
}

/// What this host has to do with one backend server.
#[derive(Debug)]
pub struct ServerState {
    /// Connections.
    pub pool: Pool,
    /// Observations.
    pub stats: RefCell<ServerStats>,
    /// Another server has answered at the address, so that this one has ended.
    pub ended: Cell<bool>,
    /// Requests whose connections to it broke.
    pub broken: Broken,
    /// Requests of this host that it got while it was cold.
    pub pacer: Cell<Pacer>,
}

/// Part of a server's connections that all hosts together use. The rest is for grants, and for hosts that come and go.
const CONNECTIONS_USED: f64 = 0.8;

/// A host may have this many connections to a server in any case.
const LEAST_CONNECTIONS: u32 = 2;

/// What the thread is told at its start.
#[derive(Debug)]
pub struct Start {
    /// Where this host stands.
    pub settings: Settings,
    /// How requests look on the wire.
    pub wire: Wire,
    /// A clock that counts suspension.
    pub clock: Arc<dyn Clock>,
    /// Counts for the metrics.
    pub counters: Arc<Counters>,
    /// What requests count against their teams.
    pub usage: usage::Counted,
    /// What is known, as it changes.
    pub view: watch::Receiver<Arc<View>>,
    /// How far what is known reaches.
    pub freshness: watch::Receiver<Freshness>,
    /// How far a stop has come.
    pub phase: watch::Receiver<Phase>,
    /// What busy owners may be sent, as it changes.
    pub gates: watch::Receiver<Gates>,
    /// Takes what is seen of servers that ended.
    pub crashes: mpsc::UnboundedSender<Fact>,
}

impl Traffic {
    /// State of a process that has served nothing yet.
    pub fn new(start: Start) -> Self {
        let Start { settings, wire, clock, counters, usage, .. } = start;
        let Start { view, freshness, phase, gates, crashes, .. } = start;
        Self {
            settings,
            wire,
            clock,
            counters,
            usage,
            request_log: RequestLog::default(),
            body_bytes: Cell::new(0),
            view,
            freshness,
            phase,
            gates,
            crashes,
            servers: RefCell::default(),
            budgets: RefCell::default(),
            dealers: RefCell::default(),
            reports: RefCell::default(),
            recent: RefCell::default(),
            prober: RefCell::default(),
            compared: RefCell::default(),
        }
    }

    /// Now.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// What is known now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether the configuration may be another than the one in force: a newer one may have been kept so long ago that it must act.
    ///
    /// A caller takes it as final that there is no route for its request. From a host that hears late, or has no time to take what it
    /// heard, that is false for a route that was just added, and the request is lost. Told to come back, the caller reaches another host
    /// or a newer configuration. Asked on this thread and by its own clock, so that it holds also while the other one is held up.
    pub fn config_may_be_old(&self) -> bool {
        let as_of = self.freshness.borrow().config;
        let age = as_of.map(|at| self.now().saturating_duration_since(at));
        age.is_none_or(|age| age >= self.settings.config_within)
    }

    /// Whether servers may have left `drain_within` ago and this host has had no time to hear of it.
    pub fn is_stalled(&self, drain_within: Duration) -> bool {
        self.freshness.borrow().is_stalled(self.now(), drain_within)
    }

    /// How old what is known of the servers is; `None` if nothing is known.
    pub fn servers_age(&self) -> Option<Duration> {
        let as_of = self.freshness.borrow().servers;
        as_of.map(|at| self.now().saturating_duration_since(at))
    }

    /// Whether this process is about to stop, so that no request may wait for anything.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// Waits until something else is known, up to `most`.
    pub async fn view_changed(&self, most: Duration) {
        let mut view = self.view.clone();
        view.mark_unchanged();
        // Its sender lives as long as the process; an error here means that the process is about to end.
        let _ = tokio::time::timeout(most, view.changed()).await;
    }

    /// State of a server, made at its first use.
    pub fn server(&self, server: &Server) -> Rc<ServerState> {
        let mut servers = self.servers.borrow_mut();
        let new = || {
            let stats = RefCell::new(ServerStats::new(self.now()));
            let (pool, ended) = (Pool::new(server.addr), Cell::default());
            let pacer = Cell::default();
            Rc::new(ServerState { pool, stats, ended, broken: Broken::default(), pacer })
        };
        servers.entry(server.id.clone()).or_insert_with(new).clone()
    }

    /// Connections that this host may have to one server of a service.
    pub fn most_connections(&self, of_service: u32, hosts: u32) -> u32 {
        let share = f64::from(of_service) * CONNECTIONS_USED / f64::from(hosts.max(1));
        (share as u32).max(LEAST_CONNECTIONS)
    }

    /// The service of the next request on a route.
    pub fn next_service(&self, route: &Route) -> Option<ServiceName> {
        match &route.target {
            Target::Service(service) => Some(service.clone()),
            Target::Split(parts) => {
                let mut dealers = self.dealers.borrow_mut();
                dealers.entry(route.name.clone()).or_default().next(parts)
            }
        }
    }

    /// Counts a request of a caller for a service.
    pub fn on_request(&self, service: &ServiceName, hosts: u32) {
        self.with_budget(service, hosts, |budget, now| budget.on_request(now));
    }

    /// Counts a request for a key, which its owner may be sent or not.
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

    /// Notes how many requests are at each owner of a keyed service, for the next report.
    pub fn count_in_flight(&self) {
        let view = self.view();
        let servers = self.servers.borrow();
        let mut reports = self.reports.borrow_mut();
        for (service, map) in &view.maps {
            let owners = map.assignments().iter().filter_map(|held| held.owner.as_ref());
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

    /// Whether an owner may be sent a request of this rank now.
    pub fn admits(&self, owner: &ServerId, rank: u32) -> bool {
        self.gate(owner).is_none_or(|gate| gate.admits(rank, fastrand::f64()))
    }

    /// What an owner may be sent now; `None` if that is everything.
    pub fn gate(&self, owner: &ServerId) -> Option<Gate> {
        let gates = self.gates.borrow();
        let (until, gate) = gates.get(owner)?;
        (self.now() < *until).then_some(*gate)
    }

    /// Requests that this host has at a server.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        let servers = self.servers.borrow();
        servers.get(server).map_or(0, |state| state.stats.borrow().in_flight())
    }

    /// Whether one more repeat is within the budget; takes it if so.
    pub fn may_repeat(&self, service: &ServiceName, hosts: u32) -> bool {
        let (may, left) = self.with_budget(service, hosts, |budget, now| {
            let may = budget.take(now);
            (may, budget.left(now))
        });
        self.counters.on_repeat(service, may, left);
        may
    }

    fn with_budget<R>(
        &self,
        service: &ServiceName,
        hosts: u32,
        f: impl FnOnce(&mut RetryBudget, Instant) -> R,
    ) -> R {
        let mut budgets = self.budgets.borrow_mut();
        let new = || RetryBudget::new(self.settings.repeats, hosts, self.now());
        let budget = budgets.entry(service.clone()).or_insert_with(new);
        budget.set_hosts(hosts);
        f(budget, self.now())
    }

    /// Notes that a server of a keyed service gave an answer.
    pub fn on_keyed_answer(&self, service: &ServiceName, server: &ServerId) {
        let mut reports = self.reports.borrow_mut();
        let work = reports.entry(service.clone()).or_default().servers.entry(server.clone());
        work.or_default().answers += 1;
    }

    /// The counts since the last call.
    pub fn take_reports(&self) -> BTreeMap<ServiceName, LoadReport> {
        std::mem::take(&mut self.reports.borrow_mut())
    }

    /// Tells the control thread of a server that ended under a request, or that a request is cleared of that.
    pub fn report_fact(&self, fact: Fact) {
        if self.crashes.send(fact).is_err() {
            tracing::debug!(part = "crash", event = "not-told");
        }
    }

    /// Notes that a request of a caller ran to a good end.
    pub fn on_good_answer(&self, head: HeadDigest, body: Bytes, caller: IpAddr) {
        self.recent.borrow_mut().add(head, body, caller, self.now());
    }

    /// Whether an attempt of a request on probation may be sent, given when a server last crashed under it. It counts as sent.
    pub fn may_probe(&self, request: Fingerprint, rank: Rank, last: Instant) -> bool {
        let since = self.now().saturating_duration_since(last);
        self.prober.borrow_mut().admit(request, rank, since, SystemTime::now())
    }

    /// Clears requests that were answered here before this host heard that servers had crashed under them.
    pub fn clear_answered(&self) {
        let suspects = self.view().suspects.clone();
        if Arc::ptr_eq(&self.compared.replace(suspects.clone()), &suspects) {
            return;
        }
        for fact in self.recent.borrow().facts_for(&suspects) {
            self.report_fact(fact);
        }
    }

    /// Forgets servers that are gone, and closes connections that were idle for too long.
    pub fn tidy(&self) {
        let (view, now) = (self.view(), self.now());
        let mut servers = self.servers.borrow_mut();
        servers.retain(|id, state| {
            state.pool.expire(now);
            let known = view.servers.get(id).is_some() || view.leaving.contains_key(id);
            known || state.stats.borrow().in_flight() > 0
        });
    }

    /// What was seen of each server, for the dump.
    pub fn seen(&self) -> Vec<(ServerId, ServerStats, u32)> {
        let servers = self.servers.borrow();
        let seen = |state: &ServerState| (state.stats.borrow().clone(), state.pool.open_count());
        servers
            .iter()
            .map(|(id, state)| {
                let (seen, open) = seen(state);
                (id.clone(), seen, open)
            })
            .collect()
    }
}
