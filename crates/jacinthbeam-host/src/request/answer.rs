//! Responses that the host itself generates: refusals and failures.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use jacinthbeam_types::prelude::*;

use crate::Wire;

/// HTTP status of a refusal. 404, 400 and 503 guarantee that the request did not run; 502 and 504 mean that it may have run.
pub fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.verdict, refusal.reason) {
        (Verdict::NotRun, Reason::UnknownService) => StatusCode::NOT_FOUND,
        (Verdict::NotRun, Reason::BadRequest) => StatusCode::BAD_REQUEST,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        (_, _) => StatusCode::BAD_GATEWAY,
    }
}

/// Response to a request for which there is no answer of a backend server.
pub fn refused(wire: &Wire, id: &HeaderValue, refusal: &Refusal) -> Response<Full<Bytes>> {
    refused_as(wire, status(refusal), Some(id), refusal, &refusal.reason.to_string())
}

/// Like [`refused`], with the given status and text.
pub fn refused_as(
    wire: &Wire,
    status: StatusCode,
    id: Option<&HeaderValue>,
    refusal: &Refusal,
    why: &str,
) -> Response<Full<Bytes>> {
    let mut res = plain(status, format!("{}: {why}", refusal.verdict));
    (wire.set_refusal_headers)(res.headers_mut(), id, refusal);
    res
}

/// A plain-text response of one line.
pub fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(text + "\n")));
    *res.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

/// Formats a duration as decimal seconds for a header value.
pub fn seconds(after: Duration) -> String {
    format!("{:.3}", after.as_secs_f64())
}
