//! What lives as long as one connection.

pub mod callers;
pub mod first;
pub mod listen;
pub mod operators;
pub mod peers;
