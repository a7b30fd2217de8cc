//! Tests of the adapters against tiny servers that speak fixed bytes.

mod backend;
mod connection;
mod fake;
mod format;
mod grant;
mod hosts;
mod log;
