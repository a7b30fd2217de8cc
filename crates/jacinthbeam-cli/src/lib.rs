//! The programs: arguments and texts for people. What they do is done by the library.
//!
//! Commands can be called as functions: they write to a [`Terminal`] and return a [`command::Error`], which says the exit code.

pub mod command;
pub mod daemon;
pub mod publication;
pub mod records;
pub mod terminal;

pub use terminal::Terminal;
