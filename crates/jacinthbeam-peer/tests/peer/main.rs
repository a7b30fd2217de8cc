//! Tests over loopback, in the tree of the modules that they test.

mod body;
mod client;
mod connection;
mod message;
mod server;
mod session;
mod support;
