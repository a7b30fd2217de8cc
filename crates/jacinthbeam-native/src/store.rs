//! Calls to the store: `POST /call` with the call in bincode, answered by the reply in bincode.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use jacinthbeam_store::{Call, Error, Reply};
use jacinthbeam_types::prelude::Era;

/// Path of every call.
pub const CALL: &str = "/call";

/// Header with the era of the store in each of its responses.
pub const ERA: &str = "jacinthbeam-store-era";

/// The era that the head of an answer states; 0 if none.
pub fn era(headers: &HeaderMap) -> Era {
    let era = headers.get(ERA).and_then(|era| era.to_str().ok());
    era.and_then(|era| era.parse().ok()).unwrap_or_default()
}

/// The request of a call.
pub fn encode(call: &Call) -> Request<Bytes> {
    Request::post(CALL).body(bytes(call)).expect("the path is valid")
}

/// What an answer means.
pub fn decode(_call: &Call, status: StatusCode, body: &Bytes) -> Result<Reply, Error> {
    match status {
        StatusCode::OK => read(body).map_err(|err| Error::Malformed(err.to_string())),
        StatusCode::CONFLICT => Err(Error::Conflict),
        StatusCode::GONE => Err(Error::Expired),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy(status)),
        status => Err(Error::Refused(status)),
    }
}

/// Reads a call, at the store.
pub fn call(body: &[u8]) -> Result<Call, bincode::error::DecodeError> {
    read(body)
}

/// Status and body of an answer, at the store.
pub fn reply(reply: &Result<Reply, Error>) -> (StatusCode, Bytes) {
    match reply {
        Ok(reply) => (StatusCode::OK, bytes(reply)),
        Err(Error::Conflict) => (StatusCode::CONFLICT, Bytes::new()),
        Err(Error::Expired) => (StatusCode::GONE, Bytes::new()),
        Err(Error::Busy(status)) => (*status, Bytes::new()),
        Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, err.to_string().into()),
    }
}

fn bytes(value: &impl serde::Serialize) -> Bytes {
    let cfg = bincode::config::standard();
    let buf = bincode::serde::encode_to_vec(value, cfg);
    buf.expect("calls and replies have no type that can't be encoded").into()
}

fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, bincode::error::DecodeError> {
    Ok(bincode::serde::decode_from_slice(body, bincode::config::standard())?.0)
}
