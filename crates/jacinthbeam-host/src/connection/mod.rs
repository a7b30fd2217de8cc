//! Connections of callers and to backend servers.

pub mod accept;
mod idle;
pub mod pool;

pub use pool::Pool;
