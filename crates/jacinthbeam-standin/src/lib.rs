//! Small stand-ins for what the platform gives: its store and its backend servers.
//!
//! [`store::Store`] and [`keyed::Server`] are the rules alone, without a network: a store with conditional appends, keyed
//! topics and groups, and a backend server that takes grants of key ranges. Whoever uses them gives them a wire. [`serve`] and
//! [`backend`] give them jacinthbeam's own, over HTTP/1.1. They keep everything in memory, decide nothing for the system itself,
//! and can be made to fail on demand. A server of [`endless`] does nothing else.

pub mod backend;
pub mod endless;
mod http1;
pub mod keyed;
pub mod serve;
pub mod store;
