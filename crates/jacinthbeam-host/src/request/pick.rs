//! Which backend server a request is sent to next.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::{
    choose::{self, Candidate},
    subset::is_in_subset,
};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use super::job::Job;
use crate::{
    process::traffic::ServerState,
    version::{Grace, View},
};

/// Of the time in which a server that is leaving may still get requests, this much is kept for the way of a request to it: a new
/// connection whose first packet is lost takes 200 ms, and a host whose share of the processor is used up waits for 100 ms. For the rest
/// the server keeps getting requests for keys that have not moved yet.
const TRANSIT_MARGIN: Duration = Duration::from_millis(300);

/// The server to send a request to, other than those that were `tried`; `None` if no server may get it now.
pub(super) fn pick_server(job: &Job, view: &View, tried: &[ServerId]) -> Option<Server> {
    let now = job.traffic.now();
    let settings = &job.traffic.settings;
    let grace = Grace {
        drained: settings.drain_within.saturating_sub(TRANSIT_MARGIN),
        evacuated: settings.evacuate_within.saturating_sub(TRANSIT_MARGIN),
    };
    if job.traffic.is_stalled(grace.drained) {
        return None;
    }
    let server = match job.keyed {
        true => owner(job, view, grace, now)?,
        false => pick_fastest(job, view, tried, now)?,
    };
    if view.cold_server(&server.id, now).is_some() {
        let state = job.traffic.server(&server);
        let mut pacer = state.pacer.get();
        pacer.on_send(now);
        state.pacer.set(pacer);
    }
    Some(server)
}

fn owner(job: &Job, view: &View, grace: Grace, now: Instant) -> Option<Server> {
    let owner = view.maps.get(&job.service)?.lookup(job.key?).owner.clone()?;
    let server = view.servers.get(&owner.server)?;
    let state = job.traffic.server(server);
    let may = !state.ended.get()
        && job.is_home(server)
        && view.may_send(&server.id, now, grace)
        && slow_start_allows(view, server, &state, now);
    may.then(|| server.clone())
}

/// Of the servers that may get the request, the one that is expected to answer first.
fn pick_fastest(job: &Job, view: &View, tried: &[ServerId], now: Instant) -> Option<Server> {
    let domain = &job.traffic.settings.domain;
    let states = with_subset_flag(view, &job.service, domain)
        .into_iter()
        .filter(|(server, _)| !tried.contains(&server.id) && job.is_home(server))
        .map(|(server, in_subset)| (server, in_subset, job.traffic.server(server)))
        .filter(|(server, _, state)| {
            !state.ended.get() && slow_start_allows(view, server, state, now)
        });
    let states: Vec<(&Server, bool, Rc<ServerState>)> = states.collect();
    let seen: Vec<_> = states.iter().map(|(_, _, state)| state.stats.borrow()).collect();
    let candidates = states.iter().zip(&seen).map(|((server, in_subset, _), seen)| Candidate {
        id: *server,
        stats: seen,
        slots: server.slots,
        near: server.domain == *domain,
        in_subset: *in_subset,
        cold: server.is_cold(),
    });
    choose::best(candidates, now, fastrand::f64).map(|server| (*server).clone())
}

/// The servers of a service that take work, and whether this host asks each of them first: some of its own failure domain, or of all if
/// there are none.
fn with_subset_flag<'a>(
    view: &'a View,
    service: &'a ServiceName,
    domain: &FailureDomain,
) -> Vec<(&'a Server, bool)> {
    let servers: Vec<&Server> = view.servers.of(service).collect();
    let near = servers.iter().filter(|server| server.domain == *domain).count();
    let count = if near == 0 { servers.len() } else { near };
    let mut at = 0;
    let in_subset = |server: &'a Server| {
        let counts = near == 0 || server.domain == *domain;
        let in_subset = counts && is_in_subset(at, count, view.subset_position);
        at += usize::from(counts);
        (server, in_subset)
    };
    servers.into_iter().map(in_subset).collect()
}

/// Whether a server is warm, or may get a request of this host now while it is cold.
fn slow_start_allows(view: &View, server: &Server, state: &ServerState, now: Instant) -> bool {
    let Some(cold) = view.cold_server(&server.id, now) else { return true };
    cold.spacing.is_some_and(|spacing| state.pacer.get().may_send(now, spacing))
}
