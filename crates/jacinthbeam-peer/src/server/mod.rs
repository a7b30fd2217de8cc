//! The end that answers: accepts connections of other entry hosts and hands requests to the process.

pub mod bind;
mod cancelled;
mod connection;
mod handle;
mod request;

use std::time::Duration;

use crate::connection::Limits;

pub use bind::{bind, serve_on};
pub use cancelled::Cancelled;
pub use handle::{Handle, Shutdown};

/// What answers requests. Both closures run in a task of their own for each request.
#[derive(Debug, Clone)]
pub struct Handler<A, F> {
    /// `Fn(Question) -> impl Future<Output = Answer>`
    pub ask: A,
    /// `Fn(ForwardHead, Body, Cancelled) -> impl Future<Output = (ForwardReply, Body)>`
    ///
    /// The future is not dropped when the request is cancelled, so that it can settle what it started; it has
    /// to watch [`Cancelled`]. The body of a `Refused` reply is ignored; the
    /// `body_length` of an answer is filled in if the body knows its length.
    pub forward: F,
}

/// What can be tuned.
#[derive(Debug, Clone)]
pub struct Options {
    /// Limits of each connection. Default [`Limits::server`].
    pub limits: Limits,
    /// Connections at a time; further ones are closed at once. Default 256.
    pub max_connections: usize,
    /// Longest time from the opening of a connection to the end of the `h2` handshake. Default 2 s.
    pub handshake: Duration,
    /// Longest time from the opening of a stream to the end of its message. Default 5 s.
    pub message: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            limits: Limits::server(),
            max_connections: 256,
            handshake: Duration::from_secs(2),
            message: Duration::from_secs(5),
        }
    }
}
