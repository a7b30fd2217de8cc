//! Requests to one backend server over a bounded set of HTTP/1.1 connections.
//!
//! A connection carries one request at a time and is used again only after the whole answer was
//! read. In every other case it is closed, so an answer can only ever meet the request that it
//! belongs to.

mod answer;
mod body;
mod failure;
mod head;
mod pool;
mod shared;

pub use answer::{AnswerBody, Cut};
pub use body::{BoxError, RequestBody, empty, full, stream};
pub use failure::Failure;
pub use pool::{Answer, Options, Pool};
pub use shared::Snapshot;
