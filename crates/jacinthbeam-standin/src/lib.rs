//! Small stand-ins for what the platform gives: its log, its host list and its backend servers.
//!
//! They speak the formats of `jacinthbeam_native::format` over HTTP/1.1 and can be made to fail
//! on demand. They are for tests, measurements and a run on one machine; they keep everything in
//! memory and decide nothing for the system itself.
//!
//! [`store::Store`] and [`keyed::Server`] are the rules alone, without a network: a store with conditional appends, keyed
//! topics and groups, and a backend server that takes grants of key ranges. Whoever uses them gives them a wire.
//!
//! # Signatures
//!
//! All of these must be called inside a tokio runtime. A handle stops its stand-in when it is dropped, or
//! gracefully by `shutdown().await`.
//!
//! - [`log::spawn`]`(SocketAddr, log::Options) -> io::Result<log::Handle>`
//! - [`hosts::spawn`]`(SocketAddr, hosts::Options) -> io::Result<hosts::Handle>`
//! - [`backend::spawn`]`(SocketAddr, backend::Options) -> io::Result<backend::Handle>`
//! - [`relay::spawn`]`(SocketAddr, Option<SocketAddr>) -> io::Result<relay::Handle>`, a network
//!   that fails by source
//!
//! Every handle has `addr() -> SocketAddr`, `listener() -> &Listener` (the first one) and
//! `listen(SocketAddr) -> io::Result<Listener>` for further addresses of the same stand-in, for
//! instance one for each failure domain, so that a test can cut one of them with [`Listener::cut`]
//! and [`Listener::heal`]. The options of a log and of a host list have defaults; those of a
//! backend server start from [`backend::Options::new`]`(ServerId, ServiceName)`.

pub mod backend;
pub mod hosts;
pub mod keyed;
pub mod log;
mod net;
pub mod relay;
pub mod store;

pub use net::Listener;
