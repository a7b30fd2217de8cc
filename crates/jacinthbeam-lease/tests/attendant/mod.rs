//! Sessions of a cell of entry hosts with their backend servers.

mod session;
