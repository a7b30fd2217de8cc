//! The commands as operators use them.

mod doubt;
mod running;
mod session;
mod support;
