//! What traffic sees of control state, and remembers of other hosts.

mod unreachable;
