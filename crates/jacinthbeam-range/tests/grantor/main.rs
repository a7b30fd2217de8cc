//! How a granting host handles single failures.

mod cost;
mod harness;
mod server;
mod store;
mod takeover;
