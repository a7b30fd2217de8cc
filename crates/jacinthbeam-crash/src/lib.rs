//! Queries of death: requests under which the backend servers that run them crash.
//!
//! To the host that sent the request, a crash is only a broken connection, and the next attempt of
//! the same request may arrive at any other host. This crate identifies requests ([`Fingerprint`]),
//! stores the evidence of all hosts ([`Cases`]), exchanges it between hosts ([`Exchange`]) and
//! decides which requests are quarantined or on probation ([`Suspects`], [`Prober`]).
//!
//! It does no I/O and reads no clock. Detecting that a server has crashed and responding to the
//! caller are left to the host.

pub mod cases;
pub mod evidence;
pub mod exchange;
pub mod fingerprint;
pub mod probe;
pub mod recent;
pub mod suspects;

pub use cases::{Cases, Fact, Outcome, Source};
pub use evidence::Evidence;
pub use exchange::Exchange;
pub use fingerprint::Fingerprint;
pub use probe::Prober;
pub use recent::RecentSuccesses;
pub use suspects::Suspects;
