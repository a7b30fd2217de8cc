//! The entry host's process as a library: it carries out what the pure crates decide.
//!
//! Modules say how long their data lives: [`request`], [`connection`], [`version`], [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::{Handle, spawn};
