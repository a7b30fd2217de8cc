//! The end that asks: keeps one connection to each peer and sends requests on it.

pub mod ask;
pub mod connect;
mod connection;
mod dump;
pub mod forward;
mod peers;
mod probe;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    body::Body,
    connection::Limits,
    message::{Answer, ForwardHead, ForwardReply, Question},
};

pub(crate) use connection::Permitted;
pub use dump::PeerDump;

/// What can be tuned.
#[derive(Debug, Clone)]
pub struct Options {
    /// Limits of each connection. Default [`Limits::client`].
    pub limits: Limits,
    /// Longest time from the attempt to connect to the peer's first answer on the connection. Default 500 ms.
    pub connect: Duration,
    /// IP number of this host that connections come from. Default `None`: the system picks one.
    pub source: Option<IpAddr>,
}

impl Default for Options {
    fn default() -> Self {
        Self { limits: Limits::client(), connect: Duration::from_millis(500), source: None }
    }
}

/// Sends requests to other entry hosts. Clones share their connections.
///
/// Use a client of its own where traffic runs in another runtime than control: connections are driven by tasks
/// of the runtime that [`Client::open`] was called in.
#[derive(Debug, Clone)]
pub struct Client {
    peers: Arc<peers::Peers>,
}

impl Client {
    /// A client without connections; they are opened as needed. Has to be called inside a `tokio` runtime.
    pub fn open(options: Options) -> Self {
        Self { peers: peers::Peers::new(options, tokio::runtime::Handle::current()) }
    }

    /// Asks a small question. The answer is of the kind that fits the question, or [`Answer::Failed`].
    pub async fn ask(
        &self,
        addr: SocketAddr,
        question: &Question,
        timeout: Duration,
    ) -> Result<Answer, ask::Error> {
        ask::ask(&self.peers, addr, question, timeout).await
    }

    /// Forwards a request and waits for the head of its answer until `deadline`.
    ///
    /// `head.deadline` is replaced by the time left when the head is sent, and `head.body_length`
    /// is filled in if the body knows its length. The request's body goes on being sent while the
    /// answer's body is read. Dropping this future, or the answer's body before its end, resets the
    /// stream, which sets [`Cancelled`](crate::server::Cancelled) at the other end. The answer's
    /// body has no deadline here; its reader drops it when it has waited long enough.
    pub async fn forward(
        &self,
        addr: SocketAddr,
        head: ForwardHead,
        body: Body,
        deadline: Instant,
    ) -> Result<(ForwardReply, Body), forward::Error> {
        forward::forward(&self.peers, addr, head, body, deadline).await
    }

    /// Starts to open a connection to a peer that may be needed soon, if there is none.
    pub fn prepare(&self, addr: SocketAddr) {
        self.peers.prepare(addr);
    }

    /// State of all connections, for the dump of the process.
    pub fn dump(&self) -> Vec<PeerDump> {
        self.peers.dump()
    }
}

/// The time left, as a request's head states it.
fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
