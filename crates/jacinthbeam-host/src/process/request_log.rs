//! Log lines of single requests.
//!
//! Within a quota, every retry and every send that failed is logged, and so is every refusal, with the state that it was decided by and
//! the age of that state. Of successes at the first send, one in ten is logged; the metrics count all of them.

use std::{
    cell::RefCell,
    net::IpAddr,
    time::{Duration, Instant},
};

use http::HeaderValue;
use jacinthbeam_admission::service::Forecast;
use jacinthbeam_crash::Fingerprint;
use jacinthbeam_dispatch::retry::Why;
use jacinthbeam_range::{Key, admission::Gate};
use jacinthbeam_types::prelude::*;

use super::logs::Quota;
use crate::{send_outcome::SendOutcome, version::View};

/// One of this many successes at the first send is logged. A host answers about thirty a second; three lines a second are enough to
/// compare with.
const SUCCESSES_PER_LINE: u64 = 10;

/// Maximum number of lines of each kind in a second. A host under overload refuses some tens a second; more lines add no information.
const MAX_LINES_PER_SECOND: u32 = 100;

/// Writes the log lines of requests within a quota for each kind of line.
#[derive(Debug)]
pub struct RequestLog {
    sends: RefCell<Quota>,
    refusals: RefCell<Quota>,
    forwards: RefCell<Quota>,
}

impl Default for RequestLog {
    fn default() -> Self {
        let quota = || RefCell::new(Quota::new(MAX_LINES_PER_SECOND));
        Self { sends: quota(), refusals: quota(), forwards: quota() }
    }
}

/// One send of a request to a server.
pub struct Send<'a> {
    /// Id of the attempt, given by the caller.
    pub id: &'a HeaderValue,
    /// The route.
    pub route: &'a str,
    /// The service.
    pub service: &'a ServiceName,
    /// The key, if the service is keyed.
    pub key: Option<Key>,
    /// The server.
    pub server: &'a ServerId,
    /// Number of this send among those of the request, from 1.
    pub number: u32,
    /// When the request arrived.
    pub received: Instant,
    /// Address of the caller.
    pub caller: IpAddr,
}

/// State that a refusal was decided by.
#[derive(Debug, Default)]
pub struct Basis<'a> {
    /// The service; `None` if none was determined.
    pub service: Option<&'a ServiceName>,
    /// The key, if the service is keyed.
    pub key: Option<Key>,
    /// Owner of the key by the current map of this host.
    pub owner: Option<ServerId>,
    /// Admission gate of the owner, if it had one.
    pub gate: Option<Gate>,
    /// Requests of this host in flight at the owner.
    pub in_flight: u32,
    /// Number of servers that the request was sent to before.
    pub tried: usize,
    /// Rate limit that the owner states.
    pub rate_limit: Option<Rate>,
    /// Age of that statement.
    pub rate_limit_age: Option<Duration>,
    /// Why the request was not sent again after a server had rejected it as full.
    pub not_retried: Option<Why>,
    /// How much longer the owner wants no request from this host.
    pub pause_left: Option<Duration>,
    /// Age of the list of servers.
    pub servers_age: Option<Duration>,
    /// Forecast by which admission by rank refused the request; `None` if it did not refuse it.
    pub admission: Option<Forecast>,
}

impl RequestLog {
    /// Logs a send. `request_fingerprint` is called only if the line contains the fingerprint, which is the case if the outcome is
    /// unknown: the request may have crashed the server, and would return as another attempt.
    pub fn on_sent(
        &self,
        now: Instant,
        send: &Send<'_>,
        view: &View,
        send_outcome: &SendOutcome,
        request_fingerprint: impl FnOnce() -> Fingerprint,
    ) {
        let (outcome, why, status) = match send_outcome {
            SendOutcome::Answered { res, success } => {
                if *success && send.number == 1 && fastrand::u64(..SUCCESSES_PER_LINE) > 0 {
                    return;
                }
                ("answered", String::new(), res.status().as_u16())
            }
            SendOutcome::NotRun(why) => ("not-run", format!("{why:?}"), 0),
            SendOutcome::Lost(why) => ("may-have-run", format!("{why:?}"), 0),
        };
        let Some(left_out) = self.sends.borrow_mut().take(now) else { return };
        let map = view.maps.get(send.service);
        let lost = matches!(send_outcome, SendOutcome::Lost(_));
        let caller = lost.then_some(send.caller);
        let fingerprint = lost.then(request_fingerprint);
        tracing::info!(
            part = "request",
            event = "sent",
            id = ?send.id,
            route = send.route,
            service = %send.service,
            key = send.key.map(|key| key.0),
            server = %send.server,
            number = send.number,
            outcome,
            why,
            status,
            took_ms = millis(now, send.received),
            config = view.config.as_ref().map(|cfg| cfg.version.0),
            map_epoch = map.map(|map| map.epoch.0),
            map_version = map.map(|map| map.version),
            caller = caller.map(tracing::field::display),
            fingerprint = fingerprint.map(tracing::field::display),
            left_out,
        );
    }

    /// Logs a request that was forwarded to another host.
    pub fn on_forwarded(
        &self,
        now: Instant,
        id: &HeaderValue,
        helper: &HostId,
        outcome: &'static str,
        took: Duration,
    ) {
        if outcome == "answered" && fastrand::u64(..SUCCESSES_PER_LINE) > 0 {
            return;
        }
        let Some(left_out) = self.forwards.borrow_mut().take(now) else { return };
        let took_ms = took.as_millis() as u64;
        tracing::info!(part = "request", event = "forwarded", id = ?id, helper = %helper, outcome, took_ms, left_out);
    }

    /// Logs a request that was refused or failed without an answer of a server. `basis` is called only if the line is written.
    pub fn on_refused<'a>(
        &self,
        now: Instant,
        id: &HeaderValue,
        route: &str,
        refusal: &Refusal,
        received: Instant,
        basis: impl FnOnce() -> Basis<'a>,
    ) {
        let Some(left_out) = self.refusals.borrow_mut().take(now) else { return };
        let basis = basis();
        let admission = basis.admission;
        let predicted_wait = admission.map(|by| by.wait).filter(|wait| *wait < Duration::MAX);
        tracing::info!(
            part = "request",
            event = "refused",
            id = ?id,
            route,
            verdict = %refusal.verdict,
            reason = ?refusal.reason,
            retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64),
            took_ms = millis(now, received),
            service = basis.service.map(tracing::field::display),
            key = basis.key.map(|key| key.0),
            owner = basis.owner.as_ref().map(tracing::field::display),
            gate_rank = basis.gate.map(|gate| gate.rank),
            gate_share = basis.gate.map(|gate| gate.share),
            rate_limit = basis.rate_limit.map(tracing::field::display),
            rate_limit_age_ms = basis.rate_limit_age.map(|age| age.as_millis() as u64),
            pause_left_ms = basis.pause_left.map(|left| left.as_millis() as u64),
            in_flight = basis.in_flight,
            tried = basis.tried,
            not_retried = basis.not_retried.map(Why::as_str),
            servers_age_ms = basis.servers_age.map(|age| age.as_millis() as u64),
            plan_age_ms = admission.and_then(|by| by.plan_age).map(|age| age.as_millis() as u64),
            share = admission.and_then(|by| by.share),
            predicted_wait_ms = predicted_wait.map(|wait| wait.as_millis() as u64),
            ahead = admission.map(|by| by.ahead),
            left_out,
        );
    }
}

fn millis(now: Instant, since: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64
}
