//! Vocabulary shared by every crate of the workspace: ids, sizes, verdicts, time and key hashing.
//!
//! This crate decides nothing and does no I/O. What the words mean for the protocol is told in
//! `docs/OWNERSHIP.md` and `docs/REQUESTS.md`.

pub mod clock;
pub mod id;
pub mod key;
pub mod prelude;
pub mod server;
pub mod size;
pub mod verdict;

pub use clock::Clock;
pub use server::ServerId;
pub use verdict::{Reason, Refusal, Verdict};
