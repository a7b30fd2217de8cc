//! Which backend server a request is sent to, whether it may be sent once more, and what a refusal says.
//!
//! All of it is decided from what one host has seen itself: how long each server took, how many requests this host has there
//! now, what the server refused. No I/O and no clock of its own. The patterns answered and the grounds of each figure stand
//! beside the constants.

pub mod budget;
pub mod choose;
pub mod refusal;
pub mod server;
pub mod slow_start;
pub mod subset;

pub use budget::RetryBudget;
pub use server::ServerStats;
