//! One module for each command.

pub mod local;
