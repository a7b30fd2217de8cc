//! Picks a server of a service whose load the hosts exchange, by the load from all of them.

use std::{
    cell::Ref,
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{Classes, Plan, report};
use jacinthbeam_dispatch::{
    ServerStats, choose,
    choose::by_load::{self, Candidate, FleetLoad, Included, MAX_FIGURE_AGE, Request, StatedQueue},
};
use jacinthbeam_route::Server;

use super::job::Job;
use crate::{
    process::{server_state::ServerState, service_loads::ServiceLoad},
    version::View,
};

/// A server that may get the request, with its state.
type Usable<'a> = (&'a Server, bool, Rc<ServerState>);

/// Returns the server for a request; `None` if no server may get it.
pub(super) fn pick(
    job: &Job,
    view: &View,
    classes: &Classes,
    usable: &[Usable<'_>],
    now: Instant,
) -> Option<Server> {
    let loads = job.traffic.service_loads();
    let unknown = ServiceLoad::default();
    let load = loads.services.get(&job.service).unwrap_or(&unknown);
    let plan = load.plan.as_ref();
    let fresh = plan.filter(|(at, _)| now.saturating_duration_since(*at) <= MAX_FIGURE_AGE);
    let domain = &job.traffic.settings.domain;
    let delay = report_delay(view.subset_position.hosts);
    let inputs: Vec<(Ref<'_, ServerStats>, Option<FleetLoad>)> = usable
        .iter()
        .map(|(server, _, state)| {
            (state.stats.borrow(), fleet_load(load, server, state, now, delay))
        })
        .collect();
    let candidates =
        usable.iter().zip(&inputs).map(|((server, in_subset, state), (stats, fleet))| {
            let free = fresh.and_then(|(_, plan)| plan.free.get(&server.domain));
            let server = choose::Candidate {
                id: server,
                stats,
                slots: server.slots,
                near: server.domain == *domain,
                in_subset: *in_subset,
                cold: server.is_cold(),
            };
            Candidate {
                server,
                fleet: *fleet,
                stated: stated_queue(state, now),
                domain_free: free.map(|free| f64::from(*free)),
            }
        });
    let rank = job.route.priority;
    let request = Request {
        deferrable: classes.is_deferrable(rank),
        objective: job.route.objective,
        service_time: service_time(job, plan.map(|(_, plan)| plan)),
    };
    let chosen = by_load::best(candidates.clone(), &request, now, fastrand::f64);
    chosen.or_else(|| without_free_slot(candidates, &request, now)).map(|server| (*server).clone())
}

/// Returns the server for a deferrable request if none has an expected free slot.
///
/// Admission has let it start, so it doesn't wait again. The figures may be outdated.
fn without_free_slot<'a, 's: 'a>(
    candidates: impl Iterator<Item = Candidate<'a, &'s Server>> + Clone,
    request: &Request,
    now: Instant,
) -> Option<&'a &'s Server> {
    by_load::least_loaded(candidates, request, now, fastrand::f64)
}

/// The collector's figure of a server's load, without the requests of this host that it includes.
fn fleet_load(
    load: &ServiceLoad,
    server: &Server,
    state: &ServerState,
    now: Instant,
    delay: Duration,
) -> Option<FleetLoad> {
    let (arrived, figure) = load.servers.get(&server.id)?;
    let included = Included::update(state.included.get(), *arrived, &state.stats.borrow());
    state.included.set(Some(included));
    Some(FleetLoad {
        others: included.others(u32::from(figure.in_flight)),
        slowness: f64::from(figure.slowness_percent) / 100.0,
        age: now.saturating_duration_since(*arrived) + delay,
    })
}

/// By how much the interval of the reports of a failure domain with this many hosts exceeds the shortest one. Its reports are that much older
/// when a figure arrives.
fn report_delay(hosts: u32) -> Duration {
    report::interval(hosts).saturating_sub(by_load::INTERVAL)
}

fn stated_queue(state: &ServerState, now: Instant) -> Option<StatedQueue> {
    let (at, load) = state.stated_load.get()?;
    let age = now.saturating_duration_since(at);
    Some(StatedQueue { running: load.running, waiting: load.waiting, age })
}

/// Mean service time of the request's rank: of the fleet if the plan states it, otherwise of this host.
fn service_time(job: &Job, plan: Option<&Plan>) -> Option<Duration> {
    let rank = job.route.priority;
    let planned = plan.and_then(|plan| plan.ranks.get(&rank)).map(|rank| rank.service_time);
    let planned = planned.filter(|time| !time.is_zero());
    planned.or_else(|| job.traffic.service_times.borrow().get(&job.service, rank))
}
