//! What headers say.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header};
use jacinthbeam_host::wire::{CallerHeaders, Forward, HeaderError, ResponseKind};
use jacinthbeam_native::request;
use jacinthbeam_types::prelude::*;

fn caller(headers: &[(&str, &str)]) -> Result<CallerHeaders, HeaderError> {
    let mut req = Request::get("/tiles/7");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    request::caller(&req.body(()).unwrap().into_parts().0)
}

#[test]
fn a_caller_may_name_attempt_deadline_and_key() {
    let read = caller(&[
        ("jacinthbeam-request", "a-7"),
        ("jacinthbeam-deadline-ms", "1500"),
        ("jacinthbeam-key", "coquihalla"),
        ("jacinthbeam-idempotent", "true"),
    ]);
    let key = Some(request::key_of(b"coquihalla"));
    let id = HeaderValue::from_static("a-7");
    let timeout = Some(Duration::from_millis(1500));
    assert_eq!(read, Ok(CallerHeaders { id, timeout, key, idempotent: Some(true) }));
}

/// Two requests without a name must not be taken for one another.
#[test]
fn a_caller_without_a_name_is_given_one() {
    let (one, other) = (caller(&[]).unwrap(), caller(&[]).unwrap());
    assert_ne!(one.id, other.id);
    assert_eq!((one.timeout, one.key, one.idempotent), (None, None, None));
}

#[test]
fn unreadable_headers_are_named() {
    let wrong = |name, value| caller(&[(name, value)]).unwrap_err();
    let deadline = HeaderError::Header("jacinthbeam-deadline-ms");
    assert_eq!(wrong("jacinthbeam-deadline-ms", "soon"), deadline);
    let idempotent = HeaderError::Header("jacinthbeam-idempotent");
    assert_eq!(wrong("jacinthbeam-idempotent", "yes"), idempotent);
}

fn told(status: u16, headers: &[(&'static str, &'static str)]) -> ResponseKind {
    let pairs = headers
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    let headers: HeaderMap = pairs.collect();
    let id = HeaderValue::from_static("a-7");
    request::answer(StatusCode::from_u16(status).unwrap(), &headers, &id, &"s-1".parse().unwrap())
}

/// Only a server that names the request and itself says anything of it. All else may come from another request, another life, or
/// something in between, and is no proof.
#[test]
fn an_answer_counts_only_for_its_request_and_server() {
    let id = ("jacinthbeam-request", "a-7");
    let server = ("jacinthbeam-server", "s-1");
    let (ran, not) = (("jacinthbeam-ran", "true"), ("jacinthbeam-ran", "false"));
    assert_eq!(told(200, &[id, server, ran]), ResponseKind::Answer { success: true });
    assert_eq!(told(500, &[id, server, ran]), ResponseKind::Answer { success: false });
    assert_eq!(told(421, &[id, server, not]), ResponseKind::NotOwner);
    assert_eq!(told(503, &[id, server, not]), ResponseKind::Full);
    assert_eq!(told(400, &[id, server, not]), ResponseKind::Refused);
    assert_eq!(told(421, &[id, ("jacinthbeam-server", "s-2"), not]), ResponseKind::OtherServer);
    assert_eq!(told(200, &[("jacinthbeam-request", "a-8"), server, ran]), ResponseKind::Foreign);
    assert_eq!(told(200, &[server, ran]), ResponseKind::Foreign);
    assert_eq!(told(503, &[id, server]), ResponseKind::Foreign);
}

#[test]
fn a_refusal_says_id_verdict_and_time() {
    let mut headers = HeaderMap::new();
    let refusal = Refusal::not_run(Reason::Overloaded).retry_after(Duration::from_millis(250));
    let id = HeaderValue::from_static("a-7");
    request::refused(&mut headers, Some(&id), &refusal);
    assert_eq!(headers["jacinthbeam-request"], "a-7");
    assert_eq!(headers["jacinthbeam-verdict"], "not-run");
    assert_eq!(headers[header::RETRY_AFTER], "0.250");
}

#[test]
fn a_forwarded_request_says_whom_it_is_for() {
    let mut headers = HeaderMap::new();
    let (id, server) = (HeaderValue::from_static("a-7"), "s-1".parse().unwrap());
    let left = Duration::from_millis(40);
    request::forward(&mut headers, &Forward { id: &id, left, server: &server });
    assert_eq!(headers["jacinthbeam-request"], "a-7");
    assert_eq!(headers["jacinthbeam-server"], "s-1");
    assert_eq!(headers["jacinthbeam-deadline-ms"], "40");
}
