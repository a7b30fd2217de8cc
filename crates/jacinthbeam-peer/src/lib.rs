//! Messages between entry hosts, carried by `h2` streams and encoded by `bincode`.

pub mod message;
