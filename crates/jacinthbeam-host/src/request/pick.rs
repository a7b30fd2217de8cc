//! Picks the backend server that a request is sent to next.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::{
    choose::{self, Candidate},
    subset::{self, is_in_subset},
};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use super::{backpressure, by_load, job::Job};
use crate::{
    process::server_state::ServerState,
    send_outcome::NotRun,
    version::{Grace, View},
};

/// Margin before the end of a server's drain period within which no new request is sent to it.
///
/// It covers the delay until a request arrives: a new connection whose first packet is lost takes 200 ms, and a host that has
/// used up its CPU quota is paused for 100 ms. Until then a draining server still gets requests for keys that have not
/// moved yet.
const TRANSIT_MARGIN: Duration = Duration::from_millis(300);

/// Returns the server to send a request to; `None` if no server may get it now.
///
/// A keyed request can only go to the owner of its key. For any other, the servers in `tried` are skipped. Counts the send if
/// the server is in slow start.
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
        true => pick_owner(job, view, grace, now)?,
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

/// Returns the owner of the key if it may get the request now.
fn pick_owner(job: &Job, view: &View, grace: Grace, now: Instant) -> Option<Server> {
    let owner = view.maps.get(&job.service)?.lookup(job.key?).owner.clone()?;
    let server = view.servers.get(&owner.server)?;
    let state = job.traffic.server(server);
    let is_usable = !state.ended.get()
        && !state.has_drained(now, grace.drained)
        && job.allows_region_of(server)
        && view.may_send(&server.id, now, grace)
        && slow_start_allows(view, server, &state, now);
    is_usable.then(|| server.clone())
}

/// Returns the server with the lowest expected latency among those that may get the request.
fn pick_fastest(job: &Job, view: &View, tried: &[ServerId], now: Instant) -> Option<Server> {
    let domain = &job.traffic.settings.domain;
    let states = considered_servers(view, &job.service, domain)
        .into_iter()
        .filter(|(server, _)| !tried.contains(&server.id) && job.allows_region_of(server))
        .map(|(server, in_subset)| (server, in_subset, state_of(job, server, in_subset)))
        .filter(|(server, _, state)| {
            !state.ended.get()
                && state.draining_since.get().is_none()
                && backpressure::refuses(state, now).is_none()
                && slow_start_allows(view, server, state, now)
        });
    let states: Vec<(&Server, bool, Rc<ServerState>)> = states.collect();
    if let Some(classes) = view.load_shared.get(&job.service) {
        return by_load::pick(job, view, classes, &states, now);
    }
    let stats: Vec<_> = states.iter().map(|(_, _, state)| state.stats.borrow()).collect();
    let candidates = states.iter().zip(&stats).map(|((server, in_subset, _), stats)| Candidate {
        id: *server,
        stats,
        slots: server.slots,
        near: server.domain == *domain,
        in_subset: *in_subset,
        cold: server.is_cold(),
    });
    choose::best(candidates, now, fastrand::f64).map(|server| (*server).clone())
}

/// Why a server of an unkeyed service isn't considered by what it states; `None` if there is no such server.
pub(super) fn why_any_refuses(job: &Job, view: &View) -> Option<NotRun> {
    let now = job.traffic.now();
    let servers = considered_servers(view, &job.service, &job.traffic.settings.domain);
    let refuses = |server: &Server| backpressure::refuses(&job.traffic.used_server(server), now);
    servers.into_iter().find_map(|(server, _)| refuses(server))
}

/// State of a considered server. What is not used yet is kept only for the subset.
fn state_of(job: &Job, server: &Server, in_subset: bool) -> Rc<ServerState> {
    match in_subset {
        true => job.traffic.server(server),
        false => job.traffic.used_server(server),
    }
}

/// The servers of a service that are considered for a request, each with whether it is in this host's preferred subset: all that take new
/// work, or some of them if there are many.
fn considered_servers<'a>(
    view: &'a View,
    service: &'a ServiceName,
    domain: &FailureDomain,
) -> Vec<(&'a Server, bool)> {
    let count: usize = view.servers.ids_of(service).map(|(_, ids)| ids.len()).sum();
    match count <= subset::MAX_CONSIDERED {
        true => all_servers(view, service, domain),
        false => drawn_servers(view, service, domain),
    }
}

/// All servers that take new work.
///
/// The subset is drawn from the servers of the host's own failure domain, or from all servers if there is none in it.
fn all_servers<'a>(
    view: &'a View,
    service: &'a ServiceName,
    domain: &FailureDomain,
) -> Vec<(&'a Server, bool)> {
    let servers: Vec<&Server> = view.servers.of(service).collect();
    let near = servers.iter().filter(|server| server.domain == *domain).count();
    let count = if near == 0 { servers.len() } else { near };
    let mut index = 0;
    let in_subset = |server: &'a Server| {
        let counts = near == 0 || server.domain == *domain;
        let in_subset = counts && is_in_subset(index, count, view.subset_position);
        index += usize::from(counts);
        (server, in_subset)
    };
    servers.into_iter().map(in_subset).collect()
}

/// The subset, and some other servers that are drawn at random.
fn drawn_servers<'a>(
    view: &'a View,
    service: &ServiceName,
    domain: &FailureDomain,
) -> Vec<(&'a Server, bool)> {
    let (near, far): (Vec<_>, Vec<_>) =
        view.servers.ids_of(service).partition(|(other, _)| *other == domain);
    let count =
        |lists: &[(&FailureDomain, &[ServerId])]| lists.iter().map(|(_, ids)| ids.len()).sum();
    let drawn = subset::draw(count(&near), count(&far), view.subset_position, |below| {
        fastrand::usize(..below)
    });
    let lists: Vec<&[ServerId]> = near.iter().chain(&far).map(|(_, ids)| *ids).collect();
    let server = |(n, at): (usize, usize)| {
        let server = view.servers.get(nth(&lists, at)?)?;
        (!server.draining).then_some((server, n < subset::SUBSET_SIZE))
    };
    drawn.into_iter().enumerate().filter_map(server).collect()
}

/// The element at an index of several lists after each other.
fn nth<'a>(lists: &[&'a [ServerId]], mut at: usize) -> Option<&'a ServerId> {
    for list in lists {
        match list.get(at) {
            Some(id) => return Some(id),
            None => at -= list.len(),
        }
    }
    None
}

/// Whether a server is warm, or its slow start allows a request of this host now.
fn slow_start_allows(view: &View, server: &Server, state: &ServerState, now: Instant) -> bool {
    let Some(cold) = view.cold_server(&server.id, now) else { return true };
    cold.spacing.is_some_and(|spacing| state.pacer.get().may_send(now, spacing))
}
