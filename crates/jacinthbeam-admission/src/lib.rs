//! What to do with a request: admit, queue, refuse, retry, replay, count.
//!
//! All of it is pure: time and events in, decisions out. The crate sends nothing and reads no
//! clock; the entry host's process feeds it and acts on what it decides. The reasons, the table of
//! verdicts and the bounds are in `docs/REQUESTS.md`.

pub mod process;
pub mod request;

pub use process::{budget, duplicate, fair, server, usage};
pub use request::retry;
