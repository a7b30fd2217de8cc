//! What lives as long as the process, or as long as it attends a backend server.

pub mod budget;
pub mod duplicate;
pub mod fair;
pub mod server;
pub mod usage;
