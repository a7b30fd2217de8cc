//! The backend server: grants, faults, and a golden file of one session.

#[path = "../support/mod.rs"]
mod support;

mod bench;
mod fault;
mod grant;
mod session;
