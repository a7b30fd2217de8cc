//! One module for each kind of record.

mod config;
mod evict;
mod found;
mod join;
mod moves;
mod split;
mod witnesses;
