//! The path of one request: reading, routing, sending, retrying, refusing.

pub(crate) mod admit;
pub mod answer;
mod backpressure;
mod body;
mod by_load;
mod crash;
mod end;
mod fingerprint;
pub mod forward;
pub mod forwarded;
mod job;
pub mod memory;
mod permit;
mod pick;
mod refuse;
mod retry;
pub mod send;
pub mod serve;

pub use serve::serve;
