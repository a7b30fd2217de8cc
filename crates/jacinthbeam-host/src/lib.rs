//! The process of one entry host: callers on one side, backend servers on the other, the platform's store beside it.
//!
//! A request passes, in this order: [`connection`] (accepted, bounded in time), [`request`] (read, routed, sent to one
//! backend server or refused), and back. What a request is decided by is a [`version::View`]: one configuration, one list of
//! backend servers, one ownership map of each keyed service. [`process`] keeps the view up to date, takes its part in granting
//! keys, and starts and stops everything.
//!
//! How requests and calls look on the wire is told by a [`Wire`], and where this host stands by [`Settings`].

pub mod connection;
pub mod explain;
pub mod operators;
pub mod process;
pub mod request;
pub mod send_outcome;
pub mod settings;
pub mod version;
pub mod wire;

pub use process::{Handle, Sockets, spawn};
pub use settings::Settings;
pub use wire::Wire;
