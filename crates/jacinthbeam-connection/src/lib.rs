//! HTTP/1.1 connections of a client that wants to know what became of each request.
//!
//! A [`Connection`] closes its socket as soon as its handle is dropped, so an abandoned request is cancelled and the rest of
//! its answer can meet no other request. A [`Line`] carries one small exchange after the other over one kept connection.
//! What is sent, and what an answer is worth, is up to the caller.

pub mod connection;
pub mod headers;
pub mod line;
mod socket;

pub use connection::{BoxError, Closed, Connection, Options, open};
pub use line::Line;
