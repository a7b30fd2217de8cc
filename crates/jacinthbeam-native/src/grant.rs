//! Calls that grant keys to a backend server or take them back: `POST /grant` and `POST /release` with JSON bodies.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use jacinthbeam_host::wire::{Granted, Released};
use jacinthbeam_range::{KeyRange, Owner, grantor::RangeGrant};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::request::{SERVER, server_id};

/// Path of a grant.
pub const GRANT: &str = "/grant";
/// Path of a release.
pub const RELEASE: &str = "/release";

/// Body of a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The keys.
    pub range: KeyRange,
    /// Above every token that another server had for one of them.
    pub token: Token,
    /// How long the grant lasts from its arrival.
    pub hold_ms: u64,
    /// What the last owner gave out when it released the keys.
    pub handover: Option<String>,
}

/// Body of a release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The keys.
    pub range: KeyRange,
    /// Grants below it are refused from then on.
    pub token: Token,
}

/// Body of the answer to a release, which comes when no request of the keys runs any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// For the next owner, if there is anything to hand over.
    pub handover: Option<String>,
}

fn call(path: &str, to: &Owner, body: &impl Serialize) -> Request<Bytes> {
    let body = serde_json::to_vec(body).expect("numbers and text can always be written");
    let req = Request::post(path)
        .header(header::CONTENT_TYPE, "application/json")
        .header(SERVER, server_id(&to.server));
    req.body(body.into()).expect("the path and the headers are valid")
}

/// Whether another life of a server answered.
fn is_other(to: &Owner, res: &Response<Bytes>) -> bool {
    res.headers().get(SERVER).is_some_and(|life| life != server_id(&to.server))
}

/// Grants keys for `hold` from the arrival of the call.
pub fn grant(to: &Owner, grant: &RangeGrant, hold: Duration) -> Request<Bytes> {
    let RangeGrant { range, token, handover } = grant.clone();
    let hold_ms = hold.as_millis() as u64;
    call(GRANT, to, &Grant { range, token, hold_ms, handover })
}

/// Reads the answer to a grant.
pub fn granted(to: &Owner, res: &Response<Bytes>) -> Granted {
    match res.status() {
        _ if is_other(to, res) => Granted::OtherServer,
        StatusCode::OK => Granted::Held,
        StatusCode::CONFLICT => Granted::HigherSeen,
        _ => Granted::Unclear,
    }
}

/// Takes keys back.
pub fn release(from: &Owner, range: KeyRange, token: Token) -> Request<Bytes> {
    call(RELEASE, from, &Release { range, token })
}

/// Reads the answer to a release.
pub fn released(from: &Owner, res: &Response<Bytes>) -> Released {
    if is_other(from, res) {
        return Released::OtherServer;
    }
    match (res.status(), serde_json::from_slice::<Handover>(res.body())) {
        (StatusCode::OK, Ok(answer)) => Released::Done(answer.handover),
        _ => Released::Unclear,
    }
}
