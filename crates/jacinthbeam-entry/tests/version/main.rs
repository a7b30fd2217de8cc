//! What traffic sees of control state, and remembers of other hosts.

mod attended;
mod route;
mod unreachable;
