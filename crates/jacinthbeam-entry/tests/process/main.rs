//! Tests of what lives as long as the process.

mod book;
mod spawn;
mod support;
