//! Messages between entry hosts, carried by `h2` streams over TCP and encoded by `bincode`.
//!
//! This crate moves messages and bodies, bounds them, and says what became of them. What the messages mean
//! is decided by its users. Plan of the public surface:
//!
//! ```text
//! server::bind(addr: SocketAddr, options: server::Options, handler: server::Handler<A, F>)
//!         -> Result<server::Handle, server::bind::Error>                 // not async; call it inside a runtime
//!     Handler { ask: A, forward: F }
//!         A: Fn(Question) -> impl Future<Output = Answer> + Send
//!         F: Fn(ForwardHead, Body, Cancelled) -> impl Future<Output = (ForwardReply, Body)> + Send
//!     Handle::local_addr(&self) -> SocketAddr
//!     Handle::shutdown(self, within: Duration) -> server::Shutdown { cut: usize }     // async; a drop stops at once
//!     Handle::connections(&self) -> usize;  Handle::streams(&self) -> usize
//!     Cancelled: Clone;  is_cancelled(&self) -> bool;  cancelled(&mut self)            // async
//!
//! client::Client::open(options: client::Options) -> Client                // Clone; call it inside a runtime
//!     ask(&self, addr: SocketAddr, question: &Question, timeout: Duration) -> Result<Answer, client::ask::Error>
//!     forward(&self, addr: SocketAddr, head: ForwardHead, body: Body, deadline: Instant)
//!         -> Result<(ForwardReply, Body), client::forward::Error>
//!     forward::Error::{verdict() -> Verdict, reason() -> Reason, refusal() -> Refusal}
//!     dump(&self) -> Vec<client::PeerDump>
//!
//! body::Body: Stream<Item = Result<Bytes, Cut>>; next(), length(), remaining(), is_ended(), collect(max: usize)
//!     Body::empty(), Body::from(Bytes), Body::from_stream(stream, length: Option<u64>)
//!     Body::channel(length: Option<u64>) -> (body::Sender, Body)
//!         Sender::{send(Bytes) -> Result<(), Closed>, finish(self) -> Result<(), Closed>, closed()}
//!         a Sender dropped before `finish` cuts the body
//! ```
//!
//! Control and traffic may use a [`Client`] each, so that neither waits for the other's runtime or connection; a
//! server takes both on one port.
//!
//! # Verdicts
//!
//! [`client::forward::Error::verdict`] says `NotRun` only with proof: no connection, a head that never left this
//! host as a whole, a stream that the peer refused or left out of its goodbye, or a rejection that a peer sends
//! only before its handler is called. Everything else is `MayHaveRun`.
//!
//! # Wire
//!
//! `POST /ask` and `POST /forward` with header `jacinthbeam-wire: <VERSION>`. A message is a `u32` length
//! (big endian) and that many bytes of bincode (standard configuration). A body follows its message on the
//! same stream and ends with `END_STREAM`; a body whose stream is reset, or which has another length than
//! announced, is [cut](body::Cut). `forward` sets `ForwardHead::deadline` to the time left when the head is
//! sent. A request that breaks the protocol gets status 400, 404, 408, 413 or 505 and a text before any
//! handler sees it, and the connection goes on.

pub mod body;
pub mod client;
pub mod connection;
pub mod message;
mod request;
pub mod server;

pub use body::Body;
pub use client::Client;
