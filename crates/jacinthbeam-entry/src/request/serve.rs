//! A caller's request, from its arrival to its answer.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request::Parts,
};
use hyper::body::Incoming;
use jacinthbeam_admission::retry::{Attempts, Decision, Failure};
use jacinthbeam_peer::{
    Body,
    client::forward,
    message::{ForwardHead, ForwardReply},
};
use jacinthbeam_types::prelude::*;
use tokio::time::timeout;

use super::{
    answer,
    body::{self, OutBody, Payload, TooLong},
    call::Call,
    entered::Entered,
    run,
};
use crate::{
    process::{Traffic, metrics::Ended},
    version::{route::Target, unreachable::LEFT_ALONE_FOR},
};

/// Headers that concern one connection, or that only the router may set; none of them is passed on.
const NOT_PASSED: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    // This host answers `100 Continue` itself when it begins to read the body.
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
];
/// Prefixes of headers that only the router may set towards a backend server.
const OWN_PREFIXES: [&str; 3] = ["grant-", "request-", "jacinthbeam-"];

/// Answers a request. Never fails: what goes wrong is an answer with a verdict.
pub async fn serve(cx: Arc<Traffic>, req: Request<Incoming>) -> Response<OutBody> {
    let arrived = cx.clock.now();
    let mut service = None;
    let res = respond(&cx, arrived, req, &mut service).await;
    let took = cx.clock.now().saturating_duration_since(arrived);
    cx.metrics.request(service.as_ref(), &res, took);
    res
}

/// Answers a request, and tells for the metrics which configured service it was for.
async fn respond(
    cx: &Arc<Traffic>,
    arrived: Instant,
    req: Request<Incoming>,
    service: &mut Option<ServiceName>,
) -> Response<OutBody> {
    let id = cx.ids.next(cx.me.incarnation);
    let (parts, incoming) = req.into_parts();
    if head_size(&parts) > cx.limits.head {
        return answer::too_large_head(id, cx.limits.head);
    }
    let version = cx.version.load_full();
    if version.stopping {
        return answer::refused(id, &Refusal::not_run(Reason::Stopping));
    }
    if version.state.config.version().is_none() {
        return answer::refused(id, &Refusal::not_run(Reason::NoConfiguration));
    }
    let call = match Call::read(&parts, version.state.config()) {
        Ok(call) => call,
        Err(err) => return answer::refused_because(id, &Refusal::not_run(err.reason()), err),
    };
    *service = Some(call.service.clone());
    let entered = match Entered::enter(cx, &call) {
        Ok(entered) => entered,
        Err(refusal) => return answer::refused(id, &refusal),
    };
    let too_long = TooLong::default();
    let hold = call.idempotency_key.is_some();
    let mut max = version.state.service(&call.service).map_or(0, |service| service.max_body.0);
    if hold {
        // The attendant holds such a body whole, and could refuse a longer one only after all of it was sent there.
        max = max.min(cx.limits.held_body as u64);
    }
    let payload = Payload::read(incoming, max, hold, &too_long);
    // A body that is held and never ends would keep its place among the requests in progress for ever.
    let payload = match timeout(call.deadline, payload).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(body::Error::TooLarge(max))) => {
            return answer::too_large(id, Verdict::NotRun, max);
        }
        Ok(Err(body::Error::Cut)) => {
            return answer::refused(id, &Refusal::not_run(Reason::Cancelled));
        }
        Err(_) => return answer::refused(id, &Refusal::not_run(Reason::DeadlinePassed)),
    };
    cx.count_request(&call.service);
    let deadline = arrived + call.deadline;
    let head = forward_head(id, &call, &parts);
    let mut attempting = Attempting { cx, call, head, payload, deadline };
    let outcome = attempting.until_done().await;
    let id = attempting.head.id;
    match outcome {
        Ok((reply, body)) => passed_on(id, reply, body).map(|body| body.keep(entered)),
        Err(refusal) if too_long.is_set() => answer::too_large(id, refusal.verdict, max),
        Err(refusal) => answer::refused(id, &refusal),
    }
}

/// Bytes of a head that count against the limit: target, names and values.
fn head_size(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let headers = parts.headers.iter();
    target + headers.map(|(name, value)| name.as_str().len() + value.len()).sum::<usize>()
}

/// A request that is tried until it is answered or given up.
struct Attempting<'a> {
    cx: &'a Arc<Traffic>,
    call: Call,
    head: ForwardHead,
    payload: Payload,
    deadline: Instant,
}

/// One failed attempt.
struct Failed {
    refusal: Refusal,
    left_host: bool,
    /// No connection was found to the host that was asked, or to any host of the owner's cell.
    cut_off: bool,
}

impl Failed {
    fn new(refusal: Refusal, left_host: bool) -> Self {
        Self { refusal, left_host, cut_off: false }
    }

    /// Whether it was not run for a reason that lies in the host that was asked, so that another host may run it.
    fn is_about_host(&self) -> bool {
        let by_host = [Reason::NotAttendant, Reason::Unreachable, Reason::Stopping];
        self.refusal.verdict == Verdict::NotRun && by_host.contains(&self.refusal.reason)
    }
}

/// A failed attempt at another host, and the host that it names as the attendant.
struct Passed {
    failed: Failed,
    attendant: Option<SocketAddr>,
}

impl Attempting<'_> {
    async fn until_done(&mut self) -> Result<(ForwardReply, Body), Refusal> {
        let mut attempts = Attempts::default();
        loop {
            let failed = match self.attempt(attempts.count()).await {
                Ok(answered) => return Ok(answered),
                Err(failed) => failed,
            };
            attempts.failed(&failed.refusal);
            if !self.payload.can_repeat() {
                return Err(failed.refusal);
            }
            let failure = Failure {
                refusal: failed.refusal,
                // The attendant knows a repeat by its idempotency key and answers it without a second run.
                idempotent: self.call.idempotent || self.call.idempotency_key.is_some(),
                left_host: failed.left_host,
            };
            // A failure domain that is cut off may stay so for long; its keys are refused at once. Requests without a key go to
            // another backend server.
            let is_final = failed.cut_off && self.call.key.is_some();
            let until = if is_final { self.cx.clock.now() } else { self.deadline };
            match self.cx.decide(&self.call.service, failure, &attempts, until) {
                Decision::Retry { after } => {
                    self.cx.metrics.retry(&self.call.service);
                    tokio::time::sleep(after).await;
                }
                Decision::GiveUp(refusal) => return Err(refusal),
            }
        }
    }

    async fn attempt(&mut self, number: u32) -> Result<(ForwardReply, Body), Failed> {
        if number > 0 {
            // The attempt before may still hold its place at the attendant under its id. With the same id this one would be
            // taken for a second copy of it and refused as in progress.
            self.head.id = self.cx.ids.next(self.cx.me.incarnation);
        }
        let here = |refusal| Failed::new(refusal, false);
        let version = self.cx.version.load_full();
        let target = version.target(&self.call, self.head.id, number).map_err(here)?;
        if version.attended.contains_key(&target.server) {
            return self.run_here(target).await;
        }
        let hosts = version.hosts_for(&target.server, &self.cx.hints);
        let mut asked = BTreeSet::from([self.cx.me.peer_address]);
        let mut to_ask = VecDeque::from(hosts);
        let mut last = Failed::new(Refusal::not_run(Reason::Unreachable), false);
        let mut tried = 0;
        let mut named = None;
        // In the own cell a host may be about to take over, or not have heard of the others yet.
        let owner = version.state.servers.get(&target.server);
        let mut cut_off = owner.is_some_and(|server| server.cell != self.cx.me.cell);
        // A wrong or dead host costs no retry: the next one is asked at once, as long as nothing can have run.
        while let Some(addr) = to_ask.pop_front() {
            if tried == MAX_HOSTS {
                cut_off = false;
                break;
            }
            // A host that another one names as the attendant was heard there a moment ago. It may have started anew since it
            // was found unreachable from here, and must not be left alone for that.
            let is_named = named == Some(addr);
            let may_try = is_named || self.cx.unreachable.may_try(self.cx.clock.now(), addr);
            if !asked.insert(addr) || !may_try {
                continue;
            }
            tried += 1;
            let Passed { failed, attendant } = match self.forward(addr, &target).await {
                Ok(answered) => return Ok(answered),
                Err(passed) => passed,
            };
            if !failed.is_about_host() || !self.payload.can_repeat() {
                return Err(failed);
            }
            if failed.cut_off && tried == 1 {
                // So that one wait for a connection is enough, not one after the other for each host.
                to_ask.iter().for_each(|addr| self.cx.peers.prepare(*addr));
            }
            cut_off &= failed.cut_off;
            // That other hosts don't attend says less than why the attendant could not run it.
            if failed.refusal.reason != Reason::NotAttendant || !last.left_host {
                last = failed;
            }
            named = attendant;
            attendant.into_iter().for_each(|addr| to_ask.push_front(addr));
        }
        if cut_off {
            last.refusal = last.refusal.retry_after(LEFT_ALONE_FOR);
        }
        Err(Failed { cut_off, ..last })
    }

    async fn run_here(&mut self, target: Target) -> Result<(ForwardReply, Body), Failed> {
        let failed = |refusal| Failed::new(refusal, true);
        let (head, body) = self.start(&target).map_err(failed)?;
        let (reply, body) = run::run(self.cx, head, body).await;
        match reply {
            ForwardReply::Refused { refusal, .. } => Err(failed(refusal)),
            answer => Ok((answer, body)),
        }
    }

    async fn forward(
        &mut self,
        addr: SocketAddr,
        target: &Target,
    ) -> Result<(ForwardReply, Body), Passed> {
        let failed = |refusal| Passed { failed: Failed::new(refusal, true), attendant: None };
        let (head, body) = self.start(target).map_err(failed)?;
        let forwarded = self.cx.peers.forward(addr, head, body, self.deadline).await;
        let cut_off = matches!(forwarded, Err(forward::Error::Connect(_)));
        match &forwarded {
            Err(forward::Error::Connect(_)) => {
                self.cx.unreachable.failed(self.cx.clock.now(), addr);
            }
            // It may have waited for a connection all the time.
            Err(forward::Error::NotSent(_)) => {}
            _ => self.cx.unreachable.reached(addr),
        }
        match forwarded {
            Err(err) => {
                self.cx.hints.forget(&target.server, addr);
                let failed = failed(err.refusal());
                Err(Passed { failed: Failed { cut_off, ..failed.failed }, ..failed })
            }
            Ok((ForwardReply::Refused { refusal, attendant, .. }, _)) => {
                if refusal.reason == Reason::NotAttendant {
                    self.cx.hints.forget(&target.server, addr);
                }
                Err(Passed { attendant, ..failed(refusal) })
            }
            Ok(answered) => {
                self.cx.hints.set(&target.server, addr);
                Ok(answered)
            }
        }
    }

    fn start(&mut self, target: &Target) -> Result<(ForwardHead, Body), Refusal> {
        let mut head = self.head.clone();
        head.server = target.server.clone();
        head.deadline = self.deadline.saturating_duration_since(self.cx.clock.now());
        head.body_length = self.payload.length();
        if head.deadline.is_zero() {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        }
        let body = self.payload.take().ok_or(Refusal::not_run(Reason::Cancelled))?;
        self.cx.metrics.attempt(&self.call.service);
        Ok((head, body))
    }
}

/// Hosts asked in one attempt: the one believed to attend, the one it names, and two more of the cell.
const MAX_HOSTS: usize = 4;

fn forward_head(id: RequestId, call: &Call, parts: &Parts) -> ForwardHead {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    ForwardHead {
        id,
        service: call.service.clone(),
        key: call.key.clone().unwrap_or_default(),
        // Set for each attempt.
        server: "unset".parse().expect("it is a name"),
        deadline: call.deadline,
        idempotent: call.idempotent,
        idempotency_key: call.idempotency_key.clone(),
        method: parts.method.to_string(),
        path: path.to_owned(),
        headers: passed_headers(&parts.headers),
        body_length: None,
    }
}

fn passed_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|value| value.split(','));
    let named: Vec<String> = named.map(|name| name.trim().to_lowercase()).collect();
    let passes = |name: &HeaderName| {
        !NOT_PASSED.contains(name)
            && *name != header::CONTENT_LENGTH
            && !OWN_PREFIXES.iter().any(|prefix| name.as_str().starts_with(prefix))
            && !named.iter().any(|named| named == name.as_str())
    };
    let passed = headers.iter().filter(|(name, _)| passes(name));
    passed.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// The backend server's answer as the caller gets it.
fn passed_on(id: RequestId, reply: ForwardReply, body: Body) -> Response<OutBody> {
    let ForwardReply::Answer { status, headers, .. } = reply else {
        return answer::refused(id, &Refusal::may_have_run(Reason::PeerProtocol));
    };
    let mut res = Response::new(OutBody::from(body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let out = res.headers_mut();
    for (name, value) in headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            out.append(name, value);
        }
    }
    let ended = Ended { verdict: Verdict::Ran, reason: None };
    out.insert(answer::VERDICT, HeaderValue::from_static(Verdict::Ran.as_str()));
    answer::insert_id(out, id);
    res.extensions_mut().insert(ended);
    res
}
