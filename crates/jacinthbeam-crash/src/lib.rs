//! Requests that end the backend servers that run them: queries of death.
//!
//! A server that ends under a request is, to the host that sent it, a broken connection, and the next attempt of the same request may
//! come to any other host. This crate tells requests apart ([`Fingerprint`]), keeps what all hosts saw of servers that ended
//! ([`Cases`]), passes it between hosts ([`Exchange`]) and says which requests are sent to no server any more ([`Suspects`]).
//! It does no I/O and reads no clock of its own. Who proves that a server has ended, and what its caller is told, is left to others.

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
