//! The commands, called as functions.

mod metrics;
mod publication;
mod session;
mod status;
mod support;
