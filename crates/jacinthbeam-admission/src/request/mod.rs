//! What lives as long as one request.

pub mod retry;
pub mod ticket;
