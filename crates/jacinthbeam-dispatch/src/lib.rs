//! Load balancing on one host: which backend server gets a request, whether a request may be retried, and the retry hint of a
//! refusal.
//!
//! The decisions use what this host has observed itself: the latency of each server, the requests that it has in flight there,
//! which connections it could open, and what the server refused. Only [`choose::by_load`] also uses the load from all hosts, and
//! retries may also come out of another host's share of the retry budget. There is no I/O, and callers pass in the time.

pub mod budget;
pub mod choose;
pub mod credit;
pub mod helper;
pub mod pause;
pub mod rate_limit;
pub mod reachability;
pub mod refusal;
pub mod retry;
pub mod server;
pub mod slow_start;
pub mod subset;

pub use budget::RetryBudget;
pub use server::ServerStats;
