//! The routing configuration and the list of backend servers.
//!
//! A [`Config`] is one accepted version: routes by host and path, the services that they lead to, and limits on what callers
//! may send. [`Servers`] is the list of backend servers as last reported. Both are plain values without I/O, independent of
//! where they are read from.

pub mod config;
pub mod route;
pub mod server;

pub use config::{Admission, Config, Limits, Service, SlowStart};
pub use route::{ANY_HOST, Part, Route, Routes, Target};
pub use server::{Server, Servers};
