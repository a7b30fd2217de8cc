//! Serves one request of a caller: reads it, routes it, sends it to a backend server, retries it where that is safe, or
//! refuses it.

use std::{
    cell::Cell,
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use http::{HeaderName, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use jacinthbeam_connection::headers::strip;
use jacinthbeam_range::Key;
use jacinthbeam_route::{Config, Route, Service};
use jacinthbeam_types::prelude::*;

use super::{
    admit::{Admitted, admit},
    backpressure, body,
    end::{Conclusion, conclude, refuse_for_crashes, respond},
    forward::forward,
    job::{Hop, Job, send_to},
    pick::{pick_server, why_any_refuses},
    refuse::{CONFIG_RETRY_DELAY, bad_body, bad_request, refuse},
    retry::{may_repeat, wants_retry},
    send::BufferedRequest,
};
use crate::{
    connection::accept::CallerAddr,
    process::{request_log::Basis, traffic::Traffic, usage::Use},
    send_outcome::{NotRun, SendOutcome},
    version::View,
    wire::HeaderError,
};

/// Share of the route's objective that a request may wait for its key to get an owner that can be sent to.
///
/// An update of the ownership map arrives within milliseconds. A crashed owner is replaced only after seconds, so its
/// callers are refused instead of kept waiting.
const OWNER_WAIT_SHARE: f64 = 0.12;

/// Request headers that are kept even if the caller's `connection` header names them.
const KEPT_HEADERS: [HeaderName; 2] = [header::CONTENT_LENGTH, header::HOST];

/// Maximum number of servers that don't admit one request before it is refused.
const MAX_DENIALS: u32 = 3;

/// Caller address of a request that did not arrive over a connection of [`crate::connection::accept`].
const UNKNOWN_CALLER: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Serves a request of a caller and returns its answer or refusal.
pub async fn serve(traffic: Rc<Traffic>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let received = traffic.now();
    let (parts, incoming) = req.into_parts();
    let view = traffic.view();
    let caller = match (traffic.wire.parse_caller_headers)(&parts) {
        Ok(caller) => caller,
        Err(HeaderError::NoId) => return bad_request(&traffic, "the request has no id"),
        Err(HeaderError::Header(name)) => {
            return bad_request(&traffic, &format!("header {name} can't be read"));
        }
    };
    let Some(cfg) = view.config.clone() else {
        let refusal = Refusal::not_run(Reason::NoConfiguration).retry_after(CONFIG_RETRY_DELAY);
        return refuse(&traffic, &caller.id, "-", &refusal, received, Basis::default);
    };
    let Some(route) = find_route(&cfg, &parts) else {
        let refusal = match traffic.config_may_be_old() {
            true => Refusal::not_run(Reason::OldConfiguration).retry_after(CONFIG_RETRY_DELAY),
            false => Refusal::not_run(Reason::UnknownService),
        };
        return refuse(&traffic, &caller.id, "-", &refusal, received, Basis::default);
    };
    let timeout = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = received + timeout;
    let reading = body::read(incoming, cfg.limits.body, &traffic.request_memory);
    let read = tokio::time::timeout(timeout, reading).await.unwrap_or(Err(body::Error::Silent));
    let body = match read {
        Ok(read) => read,
        Err(err) => return bad_body(&traffic, &caller.id, err),
    };
    let Some((name, service)) = pick_service(&traffic, &cfg, &route) else {
        let refusal = Refusal::not_run(Reason::NoOwner);
        return refuse(&traffic, &caller.id, &route.name, &refusal, received, Basis::default);
    };
    if service.keyed && caller.key.is_none() {
        return bad_request(&traffic, "the service is divided by key and the request names none");
    }
    traffic.on_request(&name, route.priority, view.hosts);
    if view.load_shared.contains_key(&name) {
        traffic.load_counts.on_arrival(&name, route.priority);
    }
    let mut headers = parts.headers;
    strip(&mut headers, &KEPT_HEADERS);
    headers.remove(header::CONTENT_LENGTH);
    let target = parts.uri.path_and_query().cloned().map(http::Uri::from).unwrap_or_default();
    let request =
        BufferedRequest { method: parts.method, target, headers, body, id: caller.id.clone() };
    let usage = Use::new(&traffic.usage, service.team.as_ref(), &name);
    let job = Job {
        traffic: traffic.clone(),
        request,
        caller: parts.extensions.get().map_or(UNKNOWN_CALLER, |CallerAddr(addr)| *addr),
        service: name,
        connections: service.connections,
        keyed: service.keyed,
        key: caller.key,
        idempotent: caller.idempotent.unwrap_or(route.idempotent),
        team: service.team.clone(),
        usage,
        received,
        deadline,
        route,
        hop: Hop::Direct,
        admitted: Admitted::default(),
        not_retried: Cell::default(),
    };
    if let Some(key) = job.key.filter(|_| job.keyed)
        && !is_admitted(&job, &view, key)
    {
        return respond(&job, conclude(&job, Some(SendOutcome::NotRun(NotRun::Full)), &[]));
    }
    let job = Rc::new(job);
    let conclusion = run(&job).await;
    respond(&job, conclusion)
}

/// Counts a keyed request for the load report and returns whether admission control lets it through to the key's owner.
///
/// An owner that gets more than its capacity would answer this request too late, and the following ones as well.
fn is_admitted(job: &Job, view: &View, key: Key) -> bool {
    let owner = view.maps.get(&job.service).and_then(|map| map.lookup(key).owner.clone());
    let owner = owner.map(|owner| owner.server);
    let priority = job.route.priority;
    job.traffic.on_keyed_request(&job.service, key, owner.as_ref(), priority);
    owner.is_none_or(|owner| job.traffic.admits(&owner, priority))
}

fn find_route(cfg: &Config, parts: &http::request::Parts) -> Option<Arc<Route>> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host())?;
    cfg.routes.find(host, parts.uri.path()).cloned()
}

fn pick_service(traffic: &Traffic, cfg: &Config, route: &Route) -> Option<(ServiceName, Service)> {
    let name = traffic.next_service(route)?;
    let service = cfg.services.get(&name)?.clone();
    Some((name, service))
}

/// Sends the request, and retries it until it is answered, has to be refused, or may have run and must not run twice.
pub(super) async fn run(job: &Rc<Job>) -> Conclusion {
    let (mut sends, mut reached) = match job.hop {
        Hop::Direct => (0, 0),
        Hop::Forwarded { sends } => (sends, sends),
    };
    let mut denials = 0;
    let mut tried = Vec::new();
    let mut last = None;
    let mut crashed = BTreeSet::new();
    let mut is_admitted = job.keyed;
    loop {
        let view = job.traffic.view();
        // Checked before each send: crashes under this request may have become known while it waited or between its sends.
        if let Some(quarantine) = job.crash_tracker().quarantine(&view) {
            return match last {
                None | Some(SendOutcome::NotRun(_)) => refuse_for_crashes(job, quarantine),
                last => conclude(job, last, &tried),
            };
        }
        if job.may_be_forwarded() && job.traffic.is_partitioned() {
            return forward(job, reached, last).await;
        }
        if !is_admitted {
            is_admitted = true;
            match admit(job, &view).await {
                Ok(false) => {}
                // The view may have changed meanwhile.
                Ok(true) => continue,
                Err(refused) => return refused,
            }
        }
        let server = match pick_server(job, &view, &tried) {
            Some(server) => server,
            None if sends == 0
                && job.keyed
                && !job.is_owner_outside_home_regions(&view)
                && job.may_wait(OWNER_WAIT_SHARE) =>
            {
                let begun = job.traffic.now();
                job.traffic.view_changed(job.wait_left(OWNER_WAIT_SHARE)).await;
                job.traffic.counters.on_wait(job.traffic.now().saturating_duration_since(begun));
                continue;
            }
            None => {
                let refused = (!job.keyed).then(|| why_any_refuses(job, &view)).flatten();
                return conclude(job, last.or(refused.map(SendOutcome::NotRun)), &tried);
            }
        };
        let state = job.traffic.server(&server);
        let permit = match backpressure::admit(&job.traffic, &server, &state).await {
            Ok(permit) => permit,
            Err(refused) => {
                job.on_not_admitted(&server, refused);
                last = Some(outcome_to_report(last, SendOutcome::NotRun(refused)));
                denials += 1;
                if job.keyed || denials > MAX_DENIALS {
                    return conclude(job, last, &tried);
                }
                tried.push(server.id);
                continue;
            }
        };
        if sends > 0 && !may_repeat(job, &view, &state, last.as_ref()) {
            // A request from another host has no outcome here yet. If it may have run there, that host reports so.
            return conclude(job, last.or(Some(SendOutcome::NotRun(NotRun::Full))), &tried);
        }
        sends += 1;
        let sent = send_to(job, &view, &server, permit).await;
        job.traffic.counters.on_sent(&sent);
        job.log_send(&view, &server, sends, &sent);
        reached += u32::from(sent.may_have_arrived());
        if is_unreachable(&sent) && job.may_be_forwarded() && job.traffic.may_be_partitioned() {
            return forward(job, reached, last).await;
        }
        let retry = wants_retry(job, &view, &server, &sent, sends).await;
        let has_crashed = job.on_sent(&view, &server, &sent, retry).await;
        if has_crashed {
            crashed.insert(server.id.clone());
        }
        let retry = retry && job.crash_tracker().may_retry(&job.traffic.view(), &crashed);
        last = Some(outcome_to_report(last, sent));
        if !retry || job.left().is_zero() {
            return conclude(job, last, &tried);
        }
        if !job.keyed {
            tried.push(server.id);
        }
    }
}

/// Whether the request was not sent because no connection to the server could be opened.
fn is_unreachable(sent: &SendOutcome) -> bool {
    matches!(sent, SendOutcome::NotRun(NotRun::NotListening | NotRun::Unreachable))
}

/// Returns the outcome of two sends that is reported to the caller: a request that ran or may have run takes precedence over
/// one that did not run.
fn outcome_to_report(earlier: Option<SendOutcome>, later: SendOutcome) -> SendOutcome {
    match (earlier, later) {
        (
            Some(earlier @ (SendOutcome::Answered { .. } | SendOutcome::Lost(_))),
            SendOutcome::NotRun(_),
        ) => earlier,
        (Some(earlier @ SendOutcome::Answered { .. }), SendOutcome::Lost(_)) => earlier,
        (_, later) => later,
    }
}
