//! How a granting host handles single failures.

mod cost;
mod harness;
mod owners;
mod restore;
mod server;
mod store;
mod takeover;
