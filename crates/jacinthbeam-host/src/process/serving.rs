//! The traffic thread.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    time::Duration,
};

use jacinthbeam_range::{
    Key, Leader,
    demand::{self, LoadReport},
};
use jacinthbeam_types::prelude::*;
use tokio::{
    sync::{oneshot, watch},
    task::spawn_local,
    time::Instant,
};

use super::{
    peers::load::Message,
    traffic::{self, Traffic},
};
use crate::{
    connection::accept::{self, Phase},
    request,
};

/// What the thread is started with.
pub(super) struct Start {
    pub(super) traffic: traffic::Start,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) callers: TcpListener,
    pub(super) reports: UdpSocket,
    /// Dropped when the last request was answered.
    pub(super) served: oneshot::Sender<()>,
}

/// Pause between two reports of load to the host that grants. Its decisions are made about as often.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// After the word to stop, callers' connections stay open for this long: the balancer needs two misses, a second apart, to
/// send no new ones, and some milliseconds.
const LEAVE_FOR: Duration = Duration::from_millis(2300);

/// Kept between the end of the last request and the forced end of the process.
const BEFORE_FORCED: Duration = Duration::from_millis(300);

pub(super) async fn run(start: Start) {
    let stop_within = start.traffic.settings.stop_within;
    let Start { phase, callers, reports, served, .. } = start;
    let traffic = Rc::new(Traffic::new(start.traffic));
    let listener = match tokio::net::TcpListener::from_std(callers) {
        Ok(listener) => listener,
        Err(err) => return tracing::error!(part = "process", event = "no-listener", error = ?err),
    };
    match tokio::net::UdpSocket::from_std(reports) {
        Ok(socket) => drop(spawn_local(report(traffic.clone(), socket))),
        Err(err) => tracing::error!(part = "process", event = "no-reports", error = ?err),
    }
    let open = Rc::new(Cell::new(0));
    let cx = accept::Context { phase: phase.subscribe(), open: open.clone() };
    let (limits, serving) = (traffic.clone(), traffic.clone());
    let serve = move |req| request::serve(serving.clone(), req);
    let limits = move || limits.view().config.as_ref().map(|cfg| cfg.limits);
    spawn_local(accept::run(listener, cx, limits, serve));
    leave(&phase, &open, stop_within).await;
    tracing::info!(part = "process", event = "served", connections = %open.get());
    drop(served);
}

/// Waits for the word to stop, and then until the last connection is closed or time is up.
async fn leave(phase: &watch::Sender<Phase>, open: &Cell<usize>, stop_within: Duration) {
    let mut changes = phase.subscribe();
    if changes.wait_for(|phase| *phase > Phase::Serving).await.is_err() {
        return;
    }
    let begun = Instant::now();
    tracing::info!(part = "process", event = "stopping", connections = %open.get());
    tokio::time::sleep(LEAVE_FOR).await;
    phase.send_replace(Phase::Closing);
    let end = begun + stop_within.saturating_sub(BEFORE_FORCED);
    while open.get() > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Reports what was asked of keyed services to the hosts that grant their keys.
async fn report(traffic: Rc<Traffic>, socket: tokio::net::UdpSocket) {
    let mut past = Past::default();
    loop {
        tokio::time::sleep(REPORT_EVERY).await;
        traffic.tidy();
        traffic.count_in_flight();
        traffic.clear_answered();
        let view = traffic.view();
        for (service, report) in traffic.take_reports() {
            let leader = view.maps.get(&service).and_then(|map| map.leader.as_ref());
            let report = past.add(&service, leader, report);
            let Some(leader) = leader else { continue };
            for message in Message::loads(&traffic.settings.host, &service, report) {
                if let Err(err) = socket.send_to(&message.to_bytes(), leader.addr).await {
                    tracing::debug!(part = "peers", event = "report-not-sent", to = %leader.addr, error = ?err);
                }
            }
        }
    }
}

/// What was reported lately, for a host that begins to grant and has heard none of it.
///
/// Without it the duty's change of hands would leave the new host without a picture of the load for some seconds: it would
/// hand the keys of a leaving server on as if nobody asked for them, a hot hundred of them to one owner.
#[derive(Debug, Default)]
struct Past {
    of: BTreeMap<ServiceName, (Option<Leader>, BTreeMap<Key, f64>)>,
}

/// Part of a count that is left at the next report: as much as the granting host's own counts lose in the time.
fn kept() -> f64 {
    (-REPORT_EVERY.as_secs_f64() / demand::DECAY_TIME.as_secs_f64()).exp()
}

impl Past {
    /// Takes the counts since the last report. Returns what to report: to a new leader, the last seconds too.
    fn add(
        &mut self,
        service: &ServiceName,
        leader: Option<&Leader>,
        report: LoadReport,
    ) -> LoadReport {
        let (told, keys) = self.of.entry(service.clone()).or_default();
        keys.retain(|_, count| {
            *count *= kept();
            *count > 0.1
        });
        let rounded = keys.iter().map(|(key, count)| (*key, count.round() as u32));
        let earlier = if told.as_ref() == leader {
            BTreeMap::new()
        } else {
            rounded.filter(|(_, count)| *count > 0).collect()
        };
        *told = leader.cloned();
        for (key, count) in &report.keys {
            *keys.entry(*key).or_default() += f64::from(*count);
        }
        LoadReport { earlier, ..report }
    }
}
