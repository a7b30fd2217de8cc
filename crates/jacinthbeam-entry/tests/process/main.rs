//! Tests of what lives as long as the process.

mod book;
mod cells;
mod fanout;
mod relay;
mod snapshot;
mod spawn;
mod support;
mod tail;
