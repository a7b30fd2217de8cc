//! Tests of the adapters against tiny servers that speak fixed bytes.

mod backend;
mod fake;
mod format;
mod grant;
mod hosts;
mod log;
