//! What lives as long as a connection: of a caller, or to a backend server.

pub mod accept;
mod idle;
pub mod pool;

pub use pool::Pool;
