//! Tests of the ownership protocol.

mod abandoned;
mod attendant;
mod grant;
mod membership;
mod proof;
mod property;
mod support;
mod watch;
mod witnesses;
