//! The commands, called as functions.

mod force;
mod metrics;
mod publication;
mod session;
mod status;
mod support;
