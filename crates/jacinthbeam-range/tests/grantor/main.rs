//! How a granting host handles single failures.

mod cost;
mod harness;
mod owners;
mod server;
mod store;
mod takeover;
