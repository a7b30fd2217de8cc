//! HTTP/1.1 over loopback with connections that can be made to fail.

mod body;
mod freeze;
mod listener;
mod server;
mod stream;

use std::fmt;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

pub(crate) use body::Body;
pub use listener::Listener;
pub(crate) use server::Server;

/// The connection is to be dropped instead of answering.
#[derive(Debug)]
pub(crate) struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in drops this connection on purpose")
    }
}

impl std::error::Error for Dropped {}

/// What a handler gives back: an answer, or the wish to drop the connection.
pub(crate) type Answer = Result<Response<Body>, Dropped>;

/// Largest request body that a stand-in reads.
const MAX_BODY: usize = 64 << 20;

/// Reads a whole request body of bounded size; `None` if it was cut or is too large.
pub(crate) async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if buf.len() + data.len() > MAX_BODY {
            return None;
        }
        buf.extend_from_slice(&data);
    }
    Some(buf.into())
}

/// An answer with a body of text or bytes.
pub(crate) fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(Body::whole(body.into()));
    *res.status_mut() = status;
    res
}

/// An answer with a JSON body.
pub(crate) fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(buf) => answer(status, buf),
        Err(err) => answer(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}
