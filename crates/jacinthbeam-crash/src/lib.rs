//! Requests that end the backend servers that run them: queries of death.
//!
//! This crate tells requests apart. It does no I/O and reads no clock of its own.

pub mod fingerprint;

pub use fingerprint::Fingerprint;
