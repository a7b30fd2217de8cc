//! Tests of what lives as long as the process.

mod book;
mod cells;
mod snapshot;
mod spawn;
mod support;
