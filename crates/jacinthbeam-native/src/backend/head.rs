//! Heads of requests and answers: what belongs to one connection is kept off the next one.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header};
use http_body::Body;
use jacinthbeam_connection::headers;
use jacinthbeam_types::prelude::*;

use super::{Failure, RequestBody};
use crate::format::backend::{DEADLINE, KEY, REQUEST, SERVER, SLOT, TOKEN};

/// Headers that stay whatever `connection` names: without its token a request would pass the fence
/// of a server that takes unfenced ones too, and without its length its body would be read as the
/// next request.
const KEPT: [HeaderName; 7] = [
    HeaderName::from_static(TOKEN),
    HeaderName::from_static(SLOT),
    HeaderName::from_static(KEY),
    HeaderName::from_static(REQUEST),
    HeaderName::from_static(DEADLINE),
    header::CONTENT_LENGTH,
    header::HOST,
];

/// Makes the head of a request fit for a connection to `addr`, and returns its `request-id`.
pub(super) fn prepare(
    req: &mut Request<RequestBody>,
    addr: SocketAddr,
) -> Result<Option<HeaderValue>, Failure> {
    let target = req.uri().path_and_query().cloned();
    let target = target.filter(|_| *req.method() != Method::CONNECT);
    let target = target.ok_or_else(|| Failure::not_run(Reason::BadRequest))?;
    *req.uri_mut() = Uri::from(target);
    *req.version_mut() = Version::HTTP_11;
    strip(req.headers_mut());
    frame(req)?;
    let host = HeaderValue::from_str(&addr.to_string()).expect("an address is visible ASCII");
    req.headers_mut().entry(header::HOST).or_insert(host);
    Ok(req.headers().get(REQUEST).cloned())
}

/// Sees to it that the end of the request's body is where its head says.
///
/// hyper writes a `content-length` as given. If the body has another one, the server takes the next
/// request on the connection for the rest of this one, or this one is run with a part of its body.
fn frame(req: &mut Request<RequestBody>) -> Result<(), Failure> {
    let exact = if req.body().is_end_stream() { Some(0) } else { req.body().size_hint().exact() };
    let mut given = req.headers().get_all(header::CONTENT_LENGTH).iter();
    match (given.next(), given.next(), exact) {
        (Some(_), Some(_), _) => Err(Failure::not_run(Reason::BadRequest)),
        (Some(len), None, exact) => {
            let len = len.to_str().ok().and_then(|len| len.parse::<u64>().ok());
            let agrees = len.is_some() && (exact.is_none() || exact == len);
            agrees.then_some(()).ok_or_else(|| Failure::not_run(Reason::BadRequest))
        }
        (None, _, Some(_)) => Ok(()),
        (None, _, None) => {
            // Without it hyper would leave out the body of a GET.
            let chunked = HeaderValue::from_static("chunked");
            req.headers_mut().insert(header::TRANSFER_ENCODING, chunked);
            Ok(())
        }
    }
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
    headers::strip(headers, &KEPT);
}
