//! The process of a host, which routes requests of callers to backend servers, based on the state in the platform's store.
//!
//! A request passes through [`connection`] (accepting, timeouts) and [`request`] (reading, routing, sending to a backend server,
//! retrying, refusing). Its routing state is a [`version::View`]: a snapshot of the configuration, the list of backend servers
//! and the ownership map of each keyed service. [`process`] keeps the view up to date, takes part in granting keys, and starts
//! and stops everything.
//!
//! A [`Wire`] defines the protocols, [`Settings`] the identity, addresses and limits of the host.

pub mod connection;
pub mod explain;
pub mod operators;
pub mod process;
pub mod request;
pub mod send_outcome;
pub mod settings;
pub mod version;
pub mod wire;

pub use process::{Handle, Sockets, spawn, spawn_with};
pub use settings::Settings;
pub use wire::Wire;
