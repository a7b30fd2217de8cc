//! HTTP/1.1 client connections that report whether a failed request may have reached the server.
//!
//! A [`Connection`] closes its socket as soon as its handle is dropped, so that an abandoned request is
//! cancelled and the rest of its response can't be read as the response to another one. A [`Line`] sends
//! small requests one after the other over a single persistent connection. Content of requests and
//! interpretation of responses are up to the caller.

pub mod connection;
pub mod dialer;
pub mod headers;
pub mod line;
mod socket;

pub use connection::{BoxError, Closed, Connection, Options, open};
pub use dialer::Dialer;
pub use line::Line;
