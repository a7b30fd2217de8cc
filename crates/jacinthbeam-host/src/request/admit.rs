//! Holds back deferrable requests until they may start.

use std::{
    cell::{OnceCell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    ServiceAdmission, WaitMemory,
    queue::Ticket,
    report::plan_validity,
    service::{Arrival, Capacity, Decision, Forecast},
    throttle::own_bound,
};
use jacinthbeam_dispatch::refusal::retry_after;
use jacinthbeam_types::prelude::*;
use tokio::sync::Notify;

use super::{end::Conclusion, job::Job, send::BufferedRequest};
use crate::{process::traffic::Traffic, version::View};

/// The deferrable requests of this host, by service.
#[derive(Debug)]
pub(crate) struct Admission {
    memory: RefCell<WaitMemory>,
    services: RefCell<BTreeMap<ServiceName, Service>>,
}

#[derive(Debug, Default)]
struct Service {
    admission: ServiceAdmission,
    /// Wakes the waiting requests.
    wakers: BTreeMap<Ticket, Rc<Notify>>,
}

impl Admission {
    /// The state of a host with this memory that has admitted nothing yet.
    pub(crate) fn new(of_host: Bytes) -> Self {
        Self { memory: RefCell::new(WaitMemory::new(of_host)), services: RefCell::default() }
    }

    /// Number of waiting requests of a service by rank.
    pub(crate) fn waiting(&self, service: &ServiceName) -> BTreeMap<u32, u32> {
        let services = self.services.borrow();
        services.get(service).map(|service| service.admission.waiting()).unwrap_or_default()
    }

    fn with<R>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut Service, &mut WaitMemory) -> R,
    ) -> R {
        let mut services = self.services.borrow_mut();
        let memory = &mut self.memory.borrow_mut();
        match services.get_mut(service) {
            Some(service) => f(service, memory),
            None => f(services.entry(service.clone()).or_default(), memory),
        }
    }

    /// Decides again about the requests that start next, after another one has started, ended or left.
    fn wake_next(&self, service: &ServiceName) {
        self.with(service, |service, _| {
            for ticket in service.admission.heads() {
                if let Some(waker) = service.wakers.get(&ticket) {
                    waker.notify_one();
                }
            }
        });
    }
}

/// What was decided about the admission of one request.
#[derive(Default)]
pub(super) struct Admitted {
    /// Lasts as long as the request, which for one that is not idempotent may be longer than its caller stays connected.
    started: OnceCell<Started>,
    refused: OnceCell<Forecast>,
}

impl Admitted {
    /// What the refusal was decided by, if admission refused the request.
    pub(super) fn refused_by(&self) -> Option<Forecast> {
        self.refused.get().copied()
    }
}

/// Counts a deferrable request as in flight until dropped.
struct Started {
    traffic: Rc<Traffic>,
    service: ServiceName,
    rank: u32,
    at: Instant,
}

impl Drop for Started {
    fn drop(&mut self) {
        let took = self.traffic.now().saturating_duration_since(self.at);
        let admission = &self.traffic.admission;
        admission.with(&self.service, |service, _| service.admission.on_end(self.rank, took));
        admission.wake_next(&self.service);
    }
}

/// A request that waits. If it is dropped, the caller has disconnected, and the request leaves the queue.
struct Waiting<'a> {
    job: &'a Job,
    ticket: Ticket,
    waker: Rc<Notify>,
    since: Instant,
    outcome: &'static str,
}

impl<'a> Waiting<'a> {
    fn new(job: &'a Job, ticket: Ticket, since: Instant) -> Self {
        let waker = Rc::new(Notify::new());
        job.traffic.admission.with(&job.service, |service, _| {
            service.wakers.insert(ticket, waker.clone());
        });
        let waiting = Self { job, ticket, waker, since, outcome: "dropped" };
        waiting.record_count();
        waiting
    }

    fn record_count(&self) {
        let (service, rank) = (&self.job.service, self.ticket.rank());
        let traffic = &self.job.traffic;
        let count = traffic.admission.with(service, |state, _| state.admission.waiting_of(rank));
        traffic.counters.on_waiting(service, rank, count);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let traffic = &self.job.traffic;
        traffic.admission.with(&self.job.service, |service, memory| {
            service.admission.remove(self.ticket, memory);
            service.wakers.remove(&self.ticket);
        });
        traffic.admission.wake_next(&self.job.service);
        let waited = traffic.now().saturating_duration_since(self.since);
        traffic.counters.on_deferred(self.outcome, Some(waited));
        self.record_count();
    }
}

/// Waits until a request may be sent for the first time. Returns whether it has waited, or the refusal.
///
/// Only deferrable requests to services whose load is exchanged ever wait or are refused here.
pub(super) async fn admit(job: &Job, view: &View) -> Result<bool, Conclusion> {
    let Some(arrival) = arrival(job, view) else { return Ok(false) };
    let traffic = &job.traffic;
    let now = traffic.now();
    let decision = with_capacity(job, view, |service, memory, capacity| {
        service.admission.arrive(&arrival, capacity, memory, now)
    });
    let (ticket, mut next) = match decision {
        Decision::Start => {
            set_started(job);
            return Ok(false);
        }
        Decision::Refuse(delay, forecast) => {
            traffic.counters.on_deferred("refused-at-once", None);
            return Err(refuse(job, delay, Some(forecast)));
        }
        Decision::Wait(ticket, next) => (ticket, next),
    };
    let mut waiting = Waiting::new(job, ticket, now);
    loop {
        tokio::select! {
            () = waiting.waker.notified() => {}
            () = tokio::time::sleep(next.saturating_duration_since(traffic.now())) => {}
            () = traffic.stopping() => {}
        }
        // Checked whatever has woken the request: each one that is refused wakes the next one.
        if traffic.is_stopping() {
            waiting.outcome = "stopped";
            // Another host can serve the request.
            return Err(refuse(job, Duration::ZERO, None));
        }
        let view = traffic.view();
        let is_throttled = is_throttled(job, &view);
        if !is_throttled || (job.may_be_forwarded() && traffic.is_partitioned()) {
            waiting.outcome = "started";
            return Ok(true);
        }
        let now = traffic.now();
        let decision = with_capacity(job, &view, |service, memory, capacity| {
            service.admission.decide(ticket, capacity, memory, now)
        });
        match decision {
            Some(Decision::Wait(_, again)) => next = again,
            Some(Decision::Refuse(delay, forecast)) => {
                waiting.outcome = "refused-late";
                return Err(refuse(job, delay, Some(forecast)));
            }
            Some(Decision::Start) => {
                waiting.outcome = "started";
                set_started(job);
                return Ok(true);
            }
            // Only this future removes the entry, so there always is one.
            None => return Ok(true),
        }
    }
}

/// Whether the request is of a deferrable rank of a service whose load is exchanged.
fn is_throttled(job: &Job, view: &View) -> bool {
    let classes = view.load_shared.get(&job.service);
    classes.is_some_and(|classes| classes.is_deferrable(job.route.priority))
}

/// The request as it arrives at its admission; `None` if it may start in any case.
fn arrival(job: &Job, view: &View) -> Option<Arrival> {
    let rank = job.route.priority;
    let class = view.load_shared.get(&job.service)?.get(rank).filter(|class| class.deferrable)?;
    Some(Arrival {
        rank,
        class,
        objective: job.route.objective,
        received: job.received,
        deadline: job.deadline,
        bytes: size(&job.request),
        caller: job.caller,
    })
}

/// Bytes of the head and the body of a request.
fn size(request: &BufferedRequest) -> Bytes {
    let headers = request.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    let target = request.target.path_and_query().map_or(0, |target| target.as_str().len());
    Bytes((headers + target + request.body.len()) as u64)
}

fn set_started(job: &Job) {
    let started = Started {
        traffic: job.traffic.clone(),
        service: job.service.clone(),
        rank: job.route.priority,
        at: job.traffic.now(),
    };
    // A request is admitted once, so this is the first value.
    job.admitted.started.get_or_init(|| started);
}

fn refuse(job: &Job, delay: Duration, forecast: Option<Forecast>) -> Conclusion {
    if let Some(forecast) = forecast {
        job.admitted.refused.get_or_init(|| forecast);
    }
    // The hint is not shortened to what is left of the deadline: an earlier retry would be refused again.
    let hint = retry_after(delay, Duration::MAX, fastrand::f64());
    let refusal = Refusal::not_run(Reason::Overloaded).retry_after(hint);
    Conclusion::Refused { refusal, tried: 0 }
}

/// Calls `f` with the state of the request's service and what is known of its capacity.
fn with_capacity<R>(
    job: &Job,
    view: &View,
    f: impl FnOnce(&mut Service, &mut WaitMemory, Capacity<'_>) -> R,
) -> R {
    let traffic = &job.traffic;
    let hosts = view.subset_position.hosts.max(1);
    let loads = traffic.service_loads();
    let plan = loads.services.get(&job.service).and_then(|load| load.plan.as_ref());
    let plan = plan.map(|(at, plan)| (traffic.now().saturating_duration_since(*at), plan));
    let plan = plan.filter(|(age, _)| *age < plan_validity(hosts));
    // Needed only for a rank without a plan.
    let has_plan = plan.is_some_and(|(_, plan)| plan.ranks.contains_key(&job.route.priority));
    let own_bound = if has_plan { 0 } else { own_bound(domain_slots(job, view), hosts) };
    traffic
        .admission
        .with(&job.service, |service, memory| f(service, memory, Capacity { plan, own_bound }))
}

/// Slots of the servers in this host's failure domain that accept work.
fn domain_slots(job: &Job, view: &View) -> u32 {
    let servers = view.servers.of(&job.service);
    let near = servers.filter(|server| server.domain == job.traffic.settings.domain);
    near.map(|server| server.slots).sum()
}
