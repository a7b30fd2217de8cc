//! Refusals as HTTP answers.

use std::{fmt::Display, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use jacinthbeam_types::prelude::*;

use super::body::OutBody;
use crate::process::metrics::Ended;

/// Response header that tells whether a request may have run.
pub const VERDICT: &str = "jacinthbeam-verdict";
/// Response header with the [`RequestId`], for questions about one request.
pub const REQUEST: &str = "jacinthbeam-request";

/// The status that fits a refusal.
pub fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::InProgress | Reason::MemoryLost => StatusCode::CONFLICT,
        Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::ConnectionLost | Reason::AnswerCut | Reason::PeerProtocol => {
            StatusCode::BAD_GATEWAY
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The answer to a request that was refused, with the verdict as header and the reason as text.
pub fn refused(id: RequestId, refusal: &Refusal) -> Response<OutBody> {
    refused_because(id, refusal, refusal.reason)
}

/// The same, with a text that says more than the reason does.
pub fn refused_because(id: RequestId, refusal: &Refusal, why: impl Display) -> Response<OutBody> {
    let text = format!("{}: {why}\n", refusal.verdict);
    let mut res = Response::new(OutBody::whole(Bytes::from(text)));
    *res.status_mut() = status(refusal);
    let ended = Ended { verdict: refusal.verdict, reason: Some(refusal.reason) };
    res.extensions_mut().insert(ended);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    insert_id(headers, id);
    if let Some(after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
    }
    res
}

/// The answer to a request whose body is longer than `max` bytes. Part of it may have been passed on before that showed.
pub fn too_large(id: RequestId, verdict: Verdict, max: u64) -> Response<OutBody> {
    let refusal = Refusal { verdict, reason: Reason::BadRequest, retry_after: None };
    let why = format_args!("the body is longer than {max} bytes");
    let mut res = refused_because(id, &refusal, why);
    *res.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    res
}

/// The answer to a request whose head is longer than `max` bytes.
pub fn too_large_head(id: RequestId, max: usize) -> Response<OutBody> {
    let refusal = Refusal::not_run(Reason::BadRequest);
    let why = format_args!("the head is longer than {max} bytes");
    let mut res = refused_because(id, &refusal, why);
    *res.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    res
}

/// Adds the id of the request to the headers of an answer.
pub fn insert_id(headers: &mut http::HeaderMap, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST, value);
    }
}

/// `Retry-After` counts whole seconds; rounding down would invite a repeat that is refused again.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}
