//! Adapters to what the platform gives: its log, its host list and the backend servers.
//!
//! Each adapter is one module with a few public methods; when the users name their real protocol, that one
//! module is replaced. Nothing here decides anything: timeouts, retries and verdicts are the caller's.

pub mod format;
