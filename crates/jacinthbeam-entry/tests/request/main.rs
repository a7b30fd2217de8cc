//! The path of a request, over loopback against stand-ins.

#[path = "../support/mod.rs"]
mod support;

mod bad_input;
mod cancel;
mod log;
mod session;
mod stop;
mod stream;
mod verdict;
