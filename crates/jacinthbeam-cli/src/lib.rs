//! The programs: arguments and texts for people. What they do is done by the library.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod command;
pub mod logging;
