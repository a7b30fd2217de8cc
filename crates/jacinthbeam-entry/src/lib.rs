//! The entry host's process as a library: it carries out what the pure crates decide.
//!
//! Modules say how long their data lives: [`request`], [`connection`], [`version`], [`process`].
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::{Handle, spawn};
