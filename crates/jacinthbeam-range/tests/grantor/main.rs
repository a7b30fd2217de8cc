//! What the granting host does about single failures.

mod cost;
mod play;
mod server;
mod store;
mod takeover;
