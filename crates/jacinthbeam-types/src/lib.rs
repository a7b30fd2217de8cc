//! Types shared by every crate of the workspace: ids, sizes, verdicts, clocks and key hashes.
//!
//! This crate contains no protocol logic and does no I/O. `docs/OWNERSHIP.md` and
//! `docs/REQUESTS.md` define what the types mean in the protocol.

pub mod clock;
pub mod id;
pub mod key;
pub mod offset;
pub mod prelude;
pub mod server;
pub mod size;
pub mod verdict;

pub use clock::Clock;
pub use server::ServerId;
pub use verdict::{Reason, Refusal, Verdict};
