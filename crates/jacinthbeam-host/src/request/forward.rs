//! Forwards requests to another host while this one is partitioned from the backend servers.
//!
//! The other host, the helper, serves the request as one of its own callers: it picks the server, keeps the limits of servers, and retries
//! within its own retry budget. It never forwards it again. This host has already routed and admitted the request, and answers its
//! caller.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Response, StatusCode};
use http_body_util::Full;
use jacinthbeam_dispatch::helper::{Candidate, Helpers};
use jacinthbeam_types::prelude::*;

use super::{
    end::{Conclusion, conclude},
    job::Job,
    send::{MAX_RESPONSE_BYTES, RESPONSE_GRACE, read_body},
};
use crate::{
    process::{
        peers::forward::{
            Error, ForwardLink, ForwardedConclusion, ForwardedRequest, MAX_HEAD_BYTES, Malformed,
            Message, decode, encode_head, from_list, to_list,
        },
        traffic::Traffic,
    },
    send_outcome::{Lost, NotRun, SendOutcome},
};

/// Maximum number of helpers that one request is offered to.
const MAX_HELPERS: usize = 4;

/// Time for the response of a helper to arrive after the deadline at which the helper ends the request.
const TRANSIT_GRACE: Duration = Duration::from_millis(100);

/// Time after its last request at which the connection to a helper is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Another host that may serve requests of this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub host: HostId,
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// Its share of a processor.
    pub processor: Millicores,
}

/// Connections to helpers and what is known of them.
#[derive(Debug, Default)]
pub struct Forwarding {
    helpers: RefCell<Helpers>,
    links: RefCell<BTreeMap<HostId, Link>>,
}

#[derive(Debug)]
struct Link {
    /// `None` while it is being opened. Requests meanwhile wait for the lock.
    link: Rc<tokio::sync::Mutex<Option<ForwardLink>>>,
    used: Instant,
}

impl Forwarding {
    /// Closes connections that were not used lately.
    pub fn tidy(&self, now: Instant) {
        let is_used = |link: &Link| {
            Rc::strong_count(&link.link) > 1
                || now.saturating_duration_since(link.used) < LINK_IDLE_TIMEOUT
        };
        self.links.borrow_mut().retain(|_, link| is_used(link));
    }

    /// Returns a connection to a helper, which is opened if there is none.
    async fn link(&self, helper: &Peer, now: Instant) -> Result<ForwardLink, Error> {
        let link = {
            let mut links = self.links.borrow_mut();
            let new = || Link { link: Rc::default(), used: now };
            let link = links.entry(helper.host.clone()).or_insert_with(new);
            link.used = now;
            link.link.clone()
        };
        let mut open = link.lock().await;
        if let Some(link) = open.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let link = ForwardLink::open(helper.addr).await?;
        *open = Some(link.clone());
        Ok(link)
    }
}

/// Counts a request as in flight at a helper until dropped.
struct InFlight<'a> {
    traffic: &'a Traffic,
    helper: &'a HostId,
}

impl<'a> InFlight<'a> {
    fn new(traffic: &'a Traffic, helper: &'a HostId) -> Self {
        traffic.forwarding.helpers.borrow_mut().begin(helper);
        Self { traffic, helper }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.traffic.forwarding.helpers.borrow_mut().end(self.helper);
    }
}

/// Forwards a request until a helper has concluded it. `sends` is the number of sends that may have reached a server, `last` the outcome
/// of the last one.
pub(super) async fn forward(
    job: &Job,
    mut sends: u32,
    mut last: Option<SendOutcome>,
) -> Conclusion {
    for _ in 0..MAX_HELPERS {
        let Some(helper) = choose(job) else { break };
        let begun = job.traffic.now();
        let forwarded = exchange(job, &helper, sends).await;
        let took = job.traffic.now().saturating_duration_since(begun);
        log(job, &helper, &forwarded, took);
        match forwarded {
            Ok(conclusion) => return merge(job, last, conclusion),
            Err(Failure::NotServed) => {}
            Err(Failure::Lost(lost)) => {
                sends += 1;
                last = Some(SendOutcome::Lost(lost));
                if lost == Lost::Late || !job.may_run_again(sends) {
                    break;
                }
            }
        }
        job.traffic.forwarding.helpers.borrow_mut().on_unavailable(&helper.host, job.traffic.now());
    }
    conclude(job, last.or(Some(SendOutcome::NotRun(NotRun::Unreachable))), &[])
}

/// The conclusion to report: an earlier send that ran or may have run takes precedence over a refusal by the helper.
fn merge(job: &Job, earlier: Option<SendOutcome>, conclusion: Conclusion) -> Conclusion {
    let may_have_run = matches!(earlier, Some(SendOutcome::Answered { .. } | SendOutcome::Lost(_)));
    match &conclusion {
        Conclusion::Refused { .. } if may_have_run => conclude(job, earlier, &[]),
        _ => conclusion,
    }
}

fn choose(job: &Job) -> Option<Peer> {
    let traffic = &job.traffic;
    let peers = traffic.peers();
    let candidates =
        peers.iter().map(|peer| Candidate { host: &peer.host, processor: peer.processor });
    let helpers = traffic.forwarding.helpers.borrow();
    let chosen = helpers.choose(candidates, traffic.now())?;
    peers.iter().find(|peer| peer.host == *chosen).cloned()
}

/// Why a helper has not concluded a request.
#[derive(Debug)]
enum Failure {
    /// It has not begun to serve it.
    NotServed,
    /// It may have sent it to a server.
    Lost(Lost),
}

async fn exchange(job: &Job, helper: &Peer, sends: u32) -> Result<Conclusion, Failure> {
    let traffic = &job.traffic;
    let _in_flight = InFlight::new(traffic, &helper.host);
    let mut link =
        traffic.forwarding.link(helper, traffic.now()).await.map_err(|err| fail(job, err))?;
    let message = Message::new(encode_head(&request(job, sends)), job.request.body.clone());
    let left = job.left() + RESPONSE_GRACE + TRANSIT_GRACE;
    let response = async {
        let res = link.send(message).await.map_err(|err| fail(job, err))?;
        let max_bytes = MAX_RESPONSE_BYTES + MAX_HEAD_BYTES;
        let read = read_body(res.into_body(), max_bytes, &traffic.response_memory).await;
        let bytes = read.map_err(|err| {
            tracing::info!(part = "request", id = ?job.request.id, event = "forward-cut", error = ?err);
            Failure::Lost(Lost::Broken)
        })?;
        conclusion(&bytes).map_err(|Malformed(why)| {
            tracing::error!(part = "request", id = ?job.request.id, event = "forward-unreadable", why);
            Failure::Lost(Lost::Broken)
        })
    };
    tokio::time::timeout(left, response).await.unwrap_or(Err(Failure::Lost(Lost::Late)))
}

fn fail(job: &Job, err: Error) -> Failure {
    let id = &job.request.id;
    match err {
        Error::NotServed(why) => {
            tracing::debug!(part = "request", id = ?id, event = "forward-not-served", why);
            Failure::NotServed
        }
        Error::Lost(err) => {
            tracing::info!(part = "request", id = ?id, event = "forward-lost", error = ?err);
            Failure::Lost(Lost::Broken)
        }
    }
}

fn request(job: &Job, sends: u32) -> ForwardedRequest {
    let request = &job.request;
    ForwardedRequest {
        origin: job.traffic.settings.host.clone(),
        id: request.id.as_bytes().to_vec(),
        method: request.method.to_string(),
        target: request.target.to_string(),
        headers: to_list(&request.headers),
        caller: job.caller,
        route: (*job.route).clone(),
        service: job.service.clone(),
        team: job.team.clone(),
        connections: job.connections,
        keyed: job.keyed,
        key: job.key,
        idempotent: job.idempotent,
        sends,
        left: job.left(),
    }
}

fn conclusion(message: &bytes::Bytes) -> Result<Conclusion, Malformed> {
    let (head, body) = decode(message)?;
    Ok(match head {
        ForwardedConclusion::Answered { status, headers, success } => {
            let mut res = Response::new(Full::new(body));
            *res.status_mut() =
                StatusCode::from_u16(status).map_err(|err| Malformed(err.to_string()))?;
            *res.headers_mut() = from_list(headers)?;
            Conclusion::Answered { res, success }
        }
        ForwardedConclusion::Refused { refusal, tried } => {
            Conclusion::Refused { refusal, tried: tried as usize }
        }
    })
}

fn log(job: &Job, helper: &Peer, forwarded: &Result<Conclusion, Failure>, took: Duration) {
    let outcome = match forwarded {
        Ok(Conclusion::Answered { success: true, .. }) => "answered",
        Ok(Conclusion::Answered { .. }) => "failed",
        Ok(Conclusion::Refused { .. }) => "refused",
        Err(Failure::NotServed) => "not-served",
        Err(Failure::Lost(_)) => "lost",
    };
    job.traffic.counters.on_forwarded(outcome);
    job.traffic.request_log.on_forwarded(
        job.traffic.now(),
        &job.request.id,
        &helper.host,
        outcome,
        took,
    );
}
