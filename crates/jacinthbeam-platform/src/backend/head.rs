//! Heads of requests and answers: what belongs to one connection is kept off the next one.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, header};
use jacinthbeam_types::prelude::*;

use super::{Failure, RequestBody};
use crate::format::backend::{REQUEST, SERVER};

/// Headers that speak of one connection only. `expect` is among them since bodies are sent without waiting.
const OF_ONE_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Makes the head of a request fit for a connection to `addr`, and returns its `request-id`.
pub(super) fn prepare(
    req: &mut Request<RequestBody>,
    addr: SocketAddr,
) -> Result<Option<HeaderValue>, Failure> {
    if *req.method() == Method::CONNECT || req.uri().path().is_empty() {
        return Err(Failure::not_run(Reason::BadRequest));
    }
    strip(req.headers_mut());
    let host = HeaderValue::from_str(&addr.to_string()).expect("an address is visible ASCII");
    req.headers_mut().entry(header::HOST).or_insert(host);
    Ok(req.headers().get(REQUEST).cloned())
}

/// Whether an answer is the one of `server` to the request `id`. The server may leave the request's id out.
pub(super) fn belongs_to<B>(
    res: &Response<B>,
    server: &ServerId,
    id: Option<&HeaderValue>,
) -> bool {
    let from = res.headers().get(SERVER).map(HeaderValue::as_bytes);
    let to = res.headers().get(REQUEST);
    from == Some(server.as_str().as_bytes()) && (to.is_none() || to == id)
}

/// Whether the end of an answer's body can be told from a lost connection: by a length, or by a last chunk.
pub(super) fn has_provable_end(headers: &HeaderMap, exact: Option<u64>) -> bool {
    let chunked = || {
        let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back()?;
        let last = last.to_str().ok()?.rsplit(',').next()?;
        Some(last.trim().eq_ignore_ascii_case("chunked"))
    };
    exact.is_some() || chunked().unwrap_or(false)
}

/// Takes off all headers that speak of one connection only, those named by `connection` included.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().filter(|name| **name != header::CONTENT_LENGTH) {
        headers.remove(name);
    }
    for name in &OF_ONE_CONNECTION {
        headers.remove(name);
    }
}
