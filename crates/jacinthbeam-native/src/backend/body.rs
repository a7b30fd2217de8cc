//! Bodies of requests.

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};

pub use jacinthbeam_connection::BoxError;

/// Body of a request, streamed as the connection takes it. An error of it closes the connection.
pub type RequestBody = UnsyncBoxBody<Bytes, BoxError>;

/// No body.
pub fn empty() -> RequestBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is at hand.
pub fn full(bytes: Bytes) -> RequestBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that comes in parts. Its length is announced if its size hint is exact, else it is sent in chunks.
pub fn stream<B>(body: B) -> RequestBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}
