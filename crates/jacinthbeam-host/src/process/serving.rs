//! The traffic thread.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    time::Duration,
};

use jacinthbeam_admission::report;
use jacinthbeam_range::{
    Key, Leader,
    demand::{self, LoadReport},
};
use jacinthbeam_types::prelude::*;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::spawn_local,
    time::Instant,
};

use super::{
    credits, partition,
    peers::{forward, load::Message},
    traffic::{self, Traffic},
};
use crate::{
    connection::accept::{self, Phase},
    request,
};

/// What the traffic thread is started with.
pub(super) struct Start {
    pub(super) traffic: traffic::Start,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) callers: TcpListener,
    pub(super) reports: UdpSocket,
    /// Requests that other hosts have forwarded.
    pub(super) forwarded: mpsc::UnboundedReceiver<Forwarded>,
    /// Messages of other hosts about retry budgets.
    pub(super) credits: mpsc::Receiver<credits::Incoming>,
    /// Dropped when the last connection is closed, or when the time for the shutdown is up.
    pub(super) served: oneshot::Sender<()>,
}

/// Interval between load reports to the granting hosts, which make their decisions about as often.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Time between the start of the shutdown and the closing of callers' connections. The load balancer stops sending new connections
/// after two failed health checks a second apart; the rest is slack.
const LEAVING_PHASE: Duration = Duration::from_millis(2300);

/// Time left between the end of the last request and the forced exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

pub(super) async fn run(start: Start) {
    let stop_within = start.traffic.settings.stop_within;
    let Start { phase, callers, reports, forwarded, credits, served, .. } = start;
    let traffic = Rc::new(Traffic::new(start.traffic));
    let listener = match tokio::net::TcpListener::from_std(callers) {
        Ok(listener) => listener,
        Err(err) => return tracing::error!(part = "process", event = "no-listener", error = ?err),
    };
    match tokio::net::UdpSocket::from_std(reports) {
        Ok(socket) => drop(spawn_local(report(traffic.clone(), socket))),
        Err(err) => tracing::error!(part = "process", event = "no-reports", error = ?err),
    }
    spawn_local(partition::run(traffic.clone()));
    spawn_local(exchange_credit(traffic.clone(), credits));
    let open = Rc::new(Cell::new(0));
    spawn_local(serve_forwarded(traffic.clone(), forwarded, open.clone()));
    let cx = accept::Context { phase: phase.subscribe(), open: open.clone() };
    let (limits, serving) = (traffic.clone(), traffic.clone());
    let serve = move |req| request::serve(serving.clone(), req);
    let limits = move || limits.view().config.as_ref().map(|cfg| cfg.limits);
    spawn_local(accept::run(listener, cx, limits, serve));
    shut_down(&phase, &open, stop_within).await;
    tracing::info!(part = "process", event = "served", connections = %open.get());
    drop(served);
}

/// A request that another host has forwarded, as received by the control thread.
#[derive(Debug)]
pub(super) struct Forwarded {
    pub(super) req: http::Request<hyper::body::Incoming>,
    /// Dropped if the other host has cancelled the request.
    pub(super) reply: oneshot::Sender<http::Response<forward::Message>>,
}

/// Handles the messages of other hosts about retry budgets.
async fn exchange_credit(traffic: Rc<Traffic>, mut messages: mpsc::Receiver<credits::Incoming>) {
    while let Some(message) = messages.recv().await {
        traffic.budgets.on_message(message, traffic.view().hosts, traffic.now());
    }
}

/// Serves the requests that other hosts forward. A request in flight keeps the process from exiting, as an open connection does.
async fn serve_forwarded(
    traffic: Rc<Traffic>,
    mut forwarded: mpsc::UnboundedReceiver<Forwarded>,
    open: Rc<Cell<usize>>,
) {
    while let Some(Forwarded { req, mut reply }) = forwarded.recv().await {
        let (traffic, open) = (traffic.clone(), open.clone());
        spawn_local(async move {
            open.set(open.get() + 1);
            let in_flight = traffic.begin_forwarded();
            let served = tokio::select! {
                res = request::forwarded::serve(traffic.clone(), req) => Some(res),
                () = reply.closed() => None,
            };
            if served.is_some_and(|res| reply.send(res).is_err()) {
                tracing::debug!(part = "request", event = "forward-cancelled");
            }
            drop(in_flight);
            open.set(open.get() - 1);
        });
    }
}

/// Waits for the shutdown to start, and then until the last connection is closed or the time is up.
async fn shut_down(phase: &watch::Sender<Phase>, open: &Cell<usize>, stop_within: Duration) {
    let mut changes = phase.subscribe();
    if changes.wait_for(|phase| *phase > Phase::Serving).await.is_err() {
        return;
    }
    let started = Instant::now();
    tracing::info!(part = "process", event = "stopping", connections = %open.get());
    tokio::time::sleep(LEAVING_PHASE).await;
    phase.send_replace(Phase::Closing);
    let end = started + stop_within.saturating_sub(EXIT_MARGIN);
    while open.get() > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends load reports: of keyed services to the hosts that grant their keys, and of services whose load is exchanged to the collectors.
async fn report(traffic: Rc<Traffic>, socket: tokio::net::UdpSocket) {
    let mut recent = RecentLoad::default();
    let mut due = BTreeMap::new();
    loop {
        tokio::time::sleep(REPORT_EVERY).await;
        traffic.tidy();
        let (requests, responses) = (&traffic.request_memory, &traffic.response_memory);
        traffic.counters.on_bodies(requests.used(), responses.used());
        traffic.count_in_flight();
        traffic.clear_answered();
        report_to_collectors(&traffic, &socket, &mut due).await;
        let view = traffic.view();
        for (service, report) in traffic.take_reports() {
            let leader = view.maps.get(&service).and_then(|map| map.leader.as_ref());
            let report = recent.add(&service, leader, report);
            let Some(leader) = leader else { continue };
            for message in Message::loads(&traffic.settings.host, &service, report) {
                if let Err(err) = socket.send_to(&message.to_bytes(), leader.addr).await {
                    tracing::debug!(part = "peers", event = "report-not-sent", to = %leader.addr, error = ?err);
                }
            }
        }
    }
}

/// Sends the reports that are due to the collectors of each service whose load is exchanged. `due` has the time of the next report.
async fn report_to_collectors(
    traffic: &Traffic,
    socket: &tokio::net::UdpSocket,
    due: &mut BTreeMap<ServiceName, std::time::Instant>,
) {
    let (view, now) = (traffic.view(), traffic.now());
    traffic.load_counts.retain(&view.load_shared);
    due.retain(|service, _| view.load_shared.contains_key(service));
    let interval = report::interval(view.subset_position.hosts);
    for service in view.load_shared.keys() {
        let next = due.entry(service.clone()).or_insert(now);
        // The loop runs a little less often than the shortest interval, which must not skip every other report.
        if now + REPORT_EVERY / 2 < *next {
            continue;
        }
        *next = (*next + interval).max(now);
        let loads = traffic.service_loads();
        let Some(load) = loads.services.get(service) else { continue };
        for (rank, waiting) in traffic.waiting(service) {
            traffic.load_counts.set_waiting(service, rank, waiting);
        }
        let report = traffic.load_counts.take_report(service, now);
        for message in Message::host_reports(&traffic.settings.host, service, report) {
            let bytes = message.to_bytes();
            for collector in &load.collectors {
                if let Err(err) = socket.send_to(&bytes, collector).await {
                    tracing::debug!(part = "load", event = "report-not-sent", to = %collector, error = ?err);
                }
            }
        }
    }
}

/// Recently reported requests, for a new granting host that has received no earlier report.
///
/// Without them a new granting host would know nothing of the load for some seconds. It would move the keys of a leaving server as if
/// they had no traffic, and could give a hundred hot keys to a single owner.
#[derive(Debug, Default)]
struct RecentLoad {
    /// The leader that was last reported to, and decaying counts of the requests for each key.
    by_service: BTreeMap<ServiceName, (Option<Leader>, BTreeMap<Key, f64>)>,
}

/// Factor by which counts decay between two reports; the granting host's own counts decay at the same rate.
fn decay() -> f64 {
    (-REPORT_EVERY.as_secs_f64() / demand::DECAY_TIME.as_secs_f64()).exp()
}

impl RecentLoad {
    /// Adds the counts since the last report. Returns the report to send, which for a new leader includes the counts of recent seconds.
    fn add(
        &mut self,
        service: &ServiceName,
        leader: Option<&Leader>,
        report: LoadReport,
    ) -> LoadReport {
        let (reported_to, keys) = self.by_service.entry(service.clone()).or_default();
        keys.retain(|_, count| {
            *count *= decay();
            *count > 0.1
        });
        let rounded = keys.iter().map(|(key, count)| (*key, count.round() as u32));
        let earlier = if reported_to.as_ref() == leader {
            BTreeMap::new()
        } else {
            rounded.filter(|(_, count)| *count > 0).collect()
        };
        *reported_to = leader.cloned();
        for (key, count) in &report.keys {
            *keys.entry(*key).or_default() += f64::from(*count);
        }
        LoadReport { earlier, ..report }
    }
}
