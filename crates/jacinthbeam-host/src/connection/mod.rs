//! Connections of callers and to backend servers.

pub mod accept;
pub mod carried;
mod idle;
pub mod pool;

pub use pool::Pool;
