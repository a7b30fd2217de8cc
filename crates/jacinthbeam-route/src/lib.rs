//! What a configuration says of requests, and which backend servers there are.
//!
//! A [`Config`] is one accepted version: routes by host and path, the services that they lead to, and bounds of what callers
//! may send. [`Servers`] is the list of backend servers as last reported. Both are plain values without I/O; where they come
//! from is up to whoever builds them.

pub mod config;
pub mod route;
pub mod server;

pub use config::{Config, Limits, Service, SlowStart};
pub use route::{ANY_HOST, Part, Route, Routes, Target};
pub use server::{Server, Servers};
