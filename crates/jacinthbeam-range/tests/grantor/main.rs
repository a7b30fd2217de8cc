//! What the granting host does about single failures.

mod play;
mod server;
mod store;
mod takeover;
