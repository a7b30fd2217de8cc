//! A routed request: what was decided about it once, and what it may still do.

use std::{
    cell::Cell,
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::retry::Why;
use jacinthbeam_range::Key;
use jacinthbeam_route::{Route, Server};
use jacinthbeam_types::prelude::*;
use tokio::task::spawn_local;

use super::{
    admit::Admitted,
    crash::CrashTracker,
    fingerprint,
    permit::Permit,
    send::{self, BufferedRequest, SendLimits},
};
use crate::{
    process::{request_log, traffic::Traffic, usage::Use},
    send_outcome::{Lost, NotRun, SendOutcome},
    version::View,
};

/// A routed request, with everything that is decided once.
pub(super) struct Job {
    pub(super) traffic: Rc<Traffic>,
    pub(super) request: BufferedRequest,
    /// Address of the caller.
    pub(super) caller: IpAddr,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) connections: u32,
    pub(super) keyed: bool,
    pub(super) key: Option<Key>,
    /// Whether it may run more than once.
    pub(super) idempotent: bool,
    /// The team that is charged for it.
    pub(super) team: Option<TeamName>,
    /// Metering of that team.
    pub(super) usage: Use,
    pub(super) received: Instant,
    /// When the response is due: the caller's or the route's timeout after `received`, whichever is shorter.
    pub(super) deadline: Instant,
    pub(super) hop: Hop,
    /// What admission has decided about it.
    pub(super) admitted: Admitted,
    /// Why the request was not sent again after a server had rejected it as full.
    pub(super) not_retried: Cell<Option<Why>>,
}

/// How a request reached this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hop {
    /// From its caller.
    Direct,
    /// From another host. It is not forwarded again.
    Forwarded {
        /// Sends that may have reached a server before.
        sends: u32,
    },
}

impl Job {
    pub(super) fn log_send(&self, view: &View, server: &Server, number: u32, sent: &SendOutcome) {
        let send = request_log::Send {
            id: &self.request.id,
            route: &self.route.name,
            service: &self.service,
            key: self.key.filter(|_| self.keyed),
            server: &server.id,
            number,
            received: self.received,
            caller: self.caller,
        };
        let compute_fingerprint = || fingerprint::of(&self.request);
        self.traffic.request_log.on_sent(
            self.traffic.now(),
            &send,
            view,
            sent,
            compute_fingerprint,
        );
    }

    /// Crash tracking of this request.
    pub(super) fn crash_tracker(&self) -> CrashTracker<'_> {
        CrashTracker { traffic: &self.traffic, request: &self.request, caller: self.caller }
    }

    /// Records the outcome of a send. Returns whether the server is known to have crashed under the request. Waits for the
    /// liveness check of the server only with `may_retry`.
    pub(super) async fn on_sent(
        &self,
        view: &Arc<View>,
        server: &Server,
        sent: &SendOutcome,
        may_retry: bool,
    ) -> bool {
        let max_connections = self.traffic.most_connections(self.connections, view.hosts);
        self.crash_tracker().on_sent(server, max_connections, sent, may_retry).await
    }

    /// Records that a server did not admit the request.
    pub(super) fn on_not_admitted(&self, server: &Server, refused: NotRun) {
        if self.keyed && refused == NotRun::Paused {
            self.traffic.on_keyed_pause(&self.service, &server.id);
        }
    }

    /// Whether the route's home regions allow the region of a server.
    pub(super) fn allows_region_of(&self, server: &Server) -> bool {
        self.route.allows_region(self.traffic.settings.regions.get(&server.domain))
    }

    /// The owner of the key by the current map; `None` if the service is not keyed or the key has no owner.
    pub(super) fn owner(&self) -> Option<ServerId> {
        let key = self.key.filter(|_| self.keyed)?;
        let view = self.traffic.view();
        let owner = view.maps.get(&self.service)?.lookup(key).owner.as_ref();
        owner.map(|owner| owner.server.clone())
    }

    /// Whether the owner of the key is outside the route's home regions, so that waiting for it is pointless.
    pub(super) fn is_owner_outside_home_regions(&self, view: &View) -> bool {
        let owner =
            self.key.and_then(|key| view.maps.get(&self.service)?.lookup(key).owner.as_ref());
        let server = owner.and_then(|owner| view.servers.get(&owner.server));
        server.is_some_and(|server| !self.allows_region_of(server))
    }

    /// Time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.traffic.now())
    }

    /// Whether it may be forwarded to another host.
    pub(super) fn may_be_forwarded(&self) -> bool {
        self.hop == Hop::Direct && !self.traffic.is_stopping()
    }

    /// Whether a request that may have run may be sent again after `sends` sends.
    pub(super) fn may_run_again(&self, sends: u32) -> bool {
        self.idempotent && sends < self.route.attempts
    }

    /// Time left of the share of the objective that the request may wait, bounded by the deadline.
    pub(super) fn wait_left(&self, share: f64) -> Duration {
        let until = (self.received + self.route.objective.mul_f64(share)).min(self.deadline);
        until.saturating_duration_since(self.traffic.now())
    }

    /// Whether the request may wait any longer. It may not while the process stops: the caller is refused while that is still
    /// possible, and retries at another host.
    pub(super) fn may_wait(&self, share: f64) -> bool {
        !self.traffic.is_stopping() && !self.wait_left(share).is_zero()
    }
}

/// Sends the request to one server.
///
/// If the caller disconnects, an idempotent request is cancelled. Any other continues, since its cancellation would leave it
/// unknown whether the request ran.
pub(super) async fn send_to(
    job: &Rc<Job>,
    view: &View,
    server: &Server,
    permit: Option<Permit>,
) -> SendOutcome {
    let max_connections = job.traffic.most_connections(job.connections, view.hosts);
    let limits = SendLimits { max_connections, deadline: job.deadline, permit };
    let load_shared = view.load_shared.contains_key(&job.service);
    let begun = job.traffic.now();
    let sent = if job.idempotent {
        send_metered(job, server, limits, load_shared).await
    } else {
        let (job, server) = (job.clone(), server.clone());
        let task =
            spawn_local(async move { send_metered(&job, &server, limits, load_shared).await });
        task.await.unwrap_or(SendOutcome::Lost(Lost::Broken))
    };
    if let (SendOutcome::Answered { success: true, .. }, true) = (&sent, load_shared) {
        let took = job.traffic.now().saturating_duration_since(begun);
        let mut times = job.traffic.service_times.borrow_mut();
        times.on_answer(&job.service, job.route.priority, took);
    }
    if let (SendOutcome::Answered { .. }, true) = (&sent, job.keyed) {
        job.traffic.on_keyed_answer(&job.service, &server.id);
    }
    sent
}

async fn send_metered(
    job: &Job,
    server: &Server,
    limits: SendLimits,
    load_shared: bool,
) -> SendOutcome {
    job.usage.begin();
    let (traffic, rank) = (&job.traffic, job.route.priority);
    let _in_flight =
        load_shared.then(|| traffic.load_counts.on_send(&job.service, rank, &server.id));
    let begun = traffic.now();
    let mut guard = AbandonGuard { job, server, is_finished: false };
    let sent = send::send(&job.traffic, &job.request, server, limits).await;
    guard.is_finished = true;
    job.usage.end(&sent);
    if load_shared {
        count_outcome(job, server, &sent, begun);
    }
    sent
}

/// Counts the outcome of a send for the next load report. Errors are not counted as answers: their latency says nothing about the time
/// that requests take.
fn count_outcome(job: &Job, server: &Server, sent: &SendOutcome, begun: Instant) {
    let (traffic, rank) = (&job.traffic, job.route.priority);
    match sent {
        SendOutcome::Answered { success: true, .. } => {
            let took = traffic.now().saturating_duration_since(begun);
            let mean = traffic.mean_service_time(&job.service, rank);
            traffic.load_counts.on_answer(&job.service, rank, &server.id, took, mean);
        }
        SendOutcome::NotRun(NotRun::Full) => {
            traffic.load_counts.on_rejected(&job.service, &server.id);
        }
        _ => {}
    }
}

/// Guard of a request in flight at a server. If it is dropped unfinished, the caller has disconnected.
struct AbandonGuard<'a> {
    job: &'a Job,
    server: &'a Server,
    is_finished: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.job.crash_tracker().on_caller_disconnect(self.server);
        }
    }
}
