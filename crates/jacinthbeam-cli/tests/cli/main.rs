//! The commands, called as functions.

mod publication;
mod session;
mod status;
mod support;
