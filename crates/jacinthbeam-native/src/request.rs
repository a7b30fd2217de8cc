//! Headers of requests and answers.

use std::{str::FromStr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header, request::Parts};
use jacinthbeam_host::{
    request::answer,
    wire::{Backpressure, CallerHeaders, Forward, HeaderError, ResponseKind},
};
use jacinthbeam_range::Key;
use jacinthbeam_types::prelude::*;

/// Name of one attempt at a request. Drawn by the host if the caller gives none; servers repeat it in their answers.
pub const REQUEST: HeaderName = HeaderName::from_static("jacinthbeam-request");
/// Milliseconds that the sender still waits.
pub const DEADLINE: HeaderName = HeaderName::from_static("jacinthbeam-deadline-ms");
/// The key that a request is about, any text.
pub const KEY: HeaderName = HeaderName::from_static("jacinthbeam-key");
/// `true` or `false`: whether the request may run more than once, in place of what its route says.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("jacinthbeam-idempotent");
/// In a request to a server, the life of it that is meant. In an answer, the life that gives it.
pub const SERVER: HeaderName = HeaderName::from_static("jacinthbeam-server");
/// In an answer of a server, `true` or `false`: whether the request ran.
pub const RAN: HeaderName = HeaderName::from_static("jacinthbeam-ran");
/// In an answer of a server, the rate of requests that it takes from all hosts together, such as `4.4/s`.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("jacinthbeam-rate-limit");
/// In an answer of a server, milliseconds for which it wants no request from this host.
pub const PAUSE: HeaderName = HeaderName::from_static("jacinthbeam-pause-ms");
/// In an answer of a server, `true` if it is draining.
pub const DRAINING: HeaderName = HeaderName::from_static("jacinthbeam-draining");
/// In an answer to a caller, what may have become of the request.
pub const VERDICT: HeaderName = HeaderName::from_static("jacinthbeam-verdict");

/// Reads the head of a caller's request.
pub fn caller(parts: &Parts) -> Result<CallerHeaders, HeaderError> {
    let id = parts.headers.get(REQUEST).cloned().unwrap_or_else(draw);
    let timeout: Option<u64> = parsed(&parts.headers, &DEADLINE, "jacinthbeam-deadline-ms")?;
    let idempotent = parsed(&parts.headers, &IDEMPOTENT, "jacinthbeam-idempotent")?;
    let key = parts.headers.get(KEY).map(|text| key_of(text.as_bytes()));
    Ok(CallerHeaders { id, timeout: timeout.map(Duration::from_millis), key, idempotent })
}

/// The number of a key: its hash, so that neighbouring texts don't gather at one owner.
pub fn key_of(text: &[u8]) -> Key {
    Key(KeyHash::of(text).0 as u16)
}

fn draw() -> HeaderValue {
    HeaderValue::from(fastrand::u64(..))
}

fn parsed<T: FromStr>(
    headers: &HeaderMap,
    header: &HeaderName,
    name: &'static str,
) -> Result<Option<T>, HeaderError> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    let value = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    value.map(Some).ok_or(HeaderError::Header(name))
}

/// Sets what a request carries to a server.
pub fn forward(headers: &mut HeaderMap, forward: &Forward<'_>) {
    headers.insert(REQUEST, forward.id.clone());
    headers.insert(DEADLINE, HeaderValue::from(forward.left.as_millis() as u64));
    headers.insert(SERVER, server_id(forward.server));
}

/// An id as a header value.
pub fn server_id(id: &ServerId) -> HeaderValue {
    HeaderValue::from_str(id.name().as_str())
        .expect("a name has no character that a header can't hold")
}

/// The id of the request that a server's answer repeats.
pub fn response_id(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(REQUEST)
}

/// Reads the head of a server's answer to the request `id`.
pub fn answer(
    status: StatusCode,
    headers: &HeaderMap,
    id: &HeaderValue,
    server: &ServerId,
) -> ResponseKind {
    if headers.get(REQUEST) != Some(id) {
        return ResponseKind::Foreign;
    }
    if headers.get(SERVER) != Some(&server_id(server)) {
        return ResponseKind::OtherServer;
    }
    match (headers.get(RAN).map(HeaderValue::as_bytes), status) {
        (Some(b"true"), _) => ResponseKind::Answer { success: status.is_success() },
        (Some(b"false"), StatusCode::MISDIRECTED_REQUEST) => ResponseKind::NotOwner,
        (Some(b"false"), StatusCode::SERVICE_UNAVAILABLE) => ResponseKind::Full,
        (Some(b"false"), _) => ResponseKind::Refused,
        _ => ResponseKind::Foreign,
    }
}

/// Reads what an answer says of the load of its server.
pub fn backpressure(_status: StatusCode, headers: &HeaderMap) -> Backpressure {
    let mut invalid = None;
    let mut on_error = |err| {
        if let HeaderError::Header(name) = err {
            invalid = Some(name);
        }
    };
    let rate_limit = parsed(headers, &RATE_LIMIT, "jacinthbeam-rate-limit");
    let rate_limit = rate_limit.map_err(&mut on_error).ok().flatten();
    let pause = parsed(headers, &PAUSE, "jacinthbeam-pause-ms").map_err(&mut on_error);
    let draining = parsed(headers, &DRAINING, "jacinthbeam-draining").map_err(&mut on_error);
    Backpressure {
        rate_limit,
        pause: pause.ok().flatten().map(Duration::from_millis),
        draining: draining.ok().flatten().unwrap_or(false),
        stated_load: None,
        invalid,
    }
}

/// Sets verdict and hint of a refusal, and its id: a caller that sent none has nothing else by which an operator could find
/// the request in the logs.
pub fn refused(headers: &mut HeaderMap, id: Option<&HeaderValue>, refusal: &Refusal) {
    if let Some(id) = id {
        headers.insert(REQUEST, id.clone());
    }
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    if let Some(after) = refusal.retry_after
        && let Ok(value) = HeaderValue::from_str(&answer::seconds(after))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
}

/// Sets the verdict of an answer.
pub fn delivered(headers: &mut HeaderMap) {
    headers.insert(VERDICT, HeaderValue::from_static(Verdict::Ran.as_str()));
}
