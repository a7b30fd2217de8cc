//! Refusals: the reason and the retry hint that a caller gets if there is no answer of a backend server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use jacinthbeam_types::prelude::*;

use super::{answer, body};
use crate::{
    process::{request_log::Basis, traffic::Traffic},
    send_outcome::NotRun,
};

/// Retry hint for a request whose key has no owner that can be reached.
pub(super) const OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry hint of a host without a usable configuration: the time of a read from the store.
pub(super) const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Refuses a request with an invalid head.
pub(super) fn bad_request(traffic: &Traffic, why: &str) -> Response<Full<Bytes>> {
    tracing::info!(part = "request", outcome = "bad-request", why = ?why);
    traffic.counters.bad_requests.add(1, &[]);
    let refusal = Refusal::not_run(Reason::BadRequest);
    answer::refused_as(&traffic.wire, StatusCode::BAD_REQUEST, None, &refusal, why)
}

/// Refuses a request whose body was not read, and closes its connection.
pub(super) fn bad_body(
    traffic: &Traffic,
    id: &HeaderValue,
    err: body::Error,
) -> Response<Full<Bytes>> {
    tracing::info!(part = "request", id = ?id, outcome = "no-body", why = ?err);
    traffic.counters.bad_requests.add(1, &[]);
    let (status, text) = match err {
        body::Error::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        body::Error::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "too many bodies are held"),
        body::Error::Broken => (StatusCode::BAD_REQUEST, "the body is not framed as it should be"),
        body::Error::Silent => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    };
    let refusal = Refusal::not_run(Reason::BadRequest);
    let mut res = answer::refused_as(&traffic.wire, status, Some(id), &refusal, text);
    // The rest of the body may still arrive, and must not be parsed as a request.
    res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    res
}

/// Logs and counts a refusal, and builds its response.
pub(super) fn refuse<'a>(
    traffic: &Traffic,
    id: &HeaderValue,
    route: &str,
    refusal: &Refusal,
    received: Instant,
    basis: impl FnOnce() -> Basis<'a>,
) -> Response<Full<Bytes>> {
    traffic.request_log.on_refused(traffic.now(), id, route, refusal, received, basis);
    traffic.counters.on_refusal(refusal);
    answer::refused(&traffic.wire, id, refusal)
}

/// Refusal of a request that did not run.
///
/// `overload_delay` is the retry hint if the server or the connection pool is full.
pub(super) fn not_run(why: NotRun, overload_delay: Duration) -> Refusal {
    match why {
        NotRun::Full | NotRun::NoConnection => {
            Refusal::not_run(Reason::Overloaded).retry_after(overload_delay)
        }
        NotRun::NotOwner => Refusal::not_run(Reason::Moving).retry_after(OWNER_RETRY_DELAY),
        NotRun::OtherServer | NotRun::NotListening | NotRun::Unreachable => {
            Refusal::not_run(Reason::Unreachable).retry_after(OWNER_RETRY_DELAY)
        }
        NotRun::RateLimited => Refusal::not_run(Reason::RateLimited).retry_after(overload_delay),
        NotRun::Paused => Refusal::not_run(Reason::Paused).retry_after(overload_delay),
        NotRun::Refused => Refusal::not_run(Reason::RefusedByServer).retry_after(overload_delay),
    }
}
