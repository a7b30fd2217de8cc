//! How a request ends: with the answer of a backend server, or with a refusal that has a verdict and a retry hint.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::Full;
use jacinthbeam_crash::probe::PROBE_INTERVAL;
use jacinthbeam_dispatch::{
    rate_limit::Admission,
    refusal::{overload_retry_delay, retry_after},
};
use jacinthbeam_types::prelude::*;

use super::{
    crash::Quarantine,
    job::Job,
    refuse::{OWNER_RETRY_DELAY, not_run, refuse},
};
use crate::{
    process::request_log::Basis,
    send_outcome::{Lost, NotRun, SendOutcome},
};

/// How a request ended.
#[derive(Debug)]
pub(super) enum Conclusion {
    /// A backend server answered it.
    Answered {
        /// The server's response without its hop-by-hop headers.
        res: Response<Full<Bytes>>,
        /// Whether it is a verified success.
        success: bool,
    },
    /// There is no answer of a server.
    Refused {
        /// The verdict, the reason and the retry hint.
        refusal: Refusal,
        /// Number of servers that the request was sent to.
        tried: usize,
    },
}

impl Conclusion {
    /// Whether the request did not run because the server can't be reached from this host.
    pub(super) fn is_unreachable(&self) -> bool {
        matches!(self, Self::Refused { refusal, .. }
            if refusal.verdict == Verdict::NotRun && refusal.reason == Reason::Unreachable)
    }
}

/// Builds and counts the response to the caller.
pub(super) fn respond(job: &Job, conclusion: Conclusion) -> Response<Full<Bytes>> {
    match conclusion {
        Conclusion::Answered { mut res, success } => {
            job.traffic.counters.on_answer(success, job.traffic.now() - job.received);
            res.headers_mut().remove(header::CONNECTION);
            (job.traffic.wire.set_delivered_headers)(res.headers_mut());
            res
        }
        Conclusion::Refused { refusal, tried } => {
            let (id, route) = (&job.request.id, &job.route.name);
            refuse(&job.traffic, id, route, &refusal, job.received, || basis(job, tried))
        }
    }
}

/// Concludes from the outcome of the last send; `None` if there was none.
///
/// The retry hint of a refusal is spread randomly, and shortened to what is left of the deadline.
pub(super) fn conclude(job: &Job, last: Option<SendOutcome>, tried: &[ServerId]) -> Conclusion {
    let overload_delay = overload_retry_delay(job.route.objective);
    let refusal = match last {
        Some(SendOutcome::Answered { res, success }) => {
            return Conclusion::Answered { res, success };
        }
        Some(SendOutcome::Lost(Lost::Late)) => Refusal::may_have_run(Reason::DeadlinePassed),
        Some(SendOutcome::Lost(Lost::Broken)) => Refusal::may_have_run(Reason::ConnectionLost),
        Some(SendOutcome::NotRun(NotRun::RateLimited)) => {
            not_run(NotRun::RateLimited, overload_delay.max(owner_blocked_for(job)))
        }
        Some(SendOutcome::NotRun(NotRun::Paused)) => {
            not_run(NotRun::Paused, spread_over_pause(job, overload_delay))
        }
        Some(SendOutcome::NotRun(why)) => not_run(why, overload_delay),
        None if tried.is_empty() => {
            Refusal::not_run(Reason::NoOwner).retry_after(OWNER_RETRY_DELAY)
        }
        None => Refusal::not_run(Reason::Overloaded).retry_after(overload_delay),
    };
    let left = job.left();
    let hint = refusal.retry_after.map(|delay| retry_after(delay, left, fastrand::f64()));
    Conclusion::Refused { refusal: Refusal { retry_after: hint, ..refusal }, tried: tried.len() }
}

/// Time until a permit for the rate-limited owner of the key can be had.
fn owner_blocked_for(job: &Job) -> Duration {
    let admission = job.owner().and_then(|owner| job.traffic.rate_limit(&owner));
    match admission.map(|limit| limit.admission(job.traffic.now())) {
        Some(Admission::Blocked(left)) => left,
        _ => Duration::ZERO,
    }
}

/// A delay from `shortest` to the end of the pause of the key's owner, drawn so that callers don't all return at its end. Other hosts
/// may be allowed to send earlier.
fn spread_over_pause(job: &Job, shortest: Duration) -> Duration {
    let left = job.owner().and_then(|owner| job.traffic.pause_left(&owner));
    let most = left.unwrap_or_default().saturating_sub(shortest);
    shortest + most.mul_f64(fastrand::f64())
}

/// Refuses a quarantined request.
///
/// A definite quarantine carries no retry hint, since it is unknown when the request would be served again.
pub(super) fn refuse_for_crashes(job: &Job, quarantine: Quarantine) -> Conclusion {
    job.traffic.counters.on_refused_for_crashes(quarantine.request);
    let refusal = Refusal::not_run(Reason::EndsServers);
    let hint = || retry_after(PROBE_INTERVAL, job.left(), fastrand::f64());
    let refusal = if quarantine.is_confirmed { refusal } else { refusal.retry_after(hint()) };
    Conclusion::Refused { refusal, tried: 0 }
}

/// The state that a refusal was decided by, for its log line.
fn basis(job: &Job, tried: usize) -> Basis<'_> {
    let key = job.key.filter(|_| job.keyed);
    let owner = job.owner();
    let limit = owner.as_ref().and_then(|owner| job.traffic.rate_limit(owner));
    let limit = limit.and_then(|limit| limit.newest()).filter(|limit| limit.rate.is_some());
    Basis {
        pause_left: owner.as_ref().and_then(|owner| job.traffic.pause_left(owner)),
        rate_limit: limit.and_then(|limit| limit.rate),
        rate_limit_age: limit.map(|limit| job.traffic.now().saturating_duration_since(limit.as_of)),
        service: Some(&job.service),
        key,
        gate: owner.as_ref().and_then(|owner| job.traffic.gate(owner)),
        in_flight: owner.as_ref().map_or(0, |owner| job.traffic.in_flight(owner)),
        owner,
        tried,
        servers_age: job.traffic.servers_age(),
        admission: job.admitted.refused_by(),
        not_retried: job.not_retried.get(),
    }
}
