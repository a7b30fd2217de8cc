//! What lives as long as the process.

pub mod control;
pub mod dump;
pub mod identity;
pub mod memory;
pub mod metrics;
pub mod spawn;
pub mod traffic;
pub mod usage;

pub use identity::Identity;
pub use spawn::{Handle, spawn};
pub use traffic::{Limits, Traffic};
