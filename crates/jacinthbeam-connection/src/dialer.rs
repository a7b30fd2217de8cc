//! Opens TCP connections.

use std::{fmt, io, net::SocketAddr, pin::Pin, sync::Arc};

use tokio::net::{TcpSocket, TcpStream};

use crate::connection::Options;

type Dialing = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Opens TCP connections to backend servers and to the store, by default those of the operating system.
#[derive(Clone)]
pub struct Dialer(Arc<dyn Fn(Options, SocketAddr) -> Dialing + Send + Sync>);

impl Default for Dialer {
    fn default() -> Self {
        Self::new(connect)
    }
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dialer")
    }
}

impl Dialer {
    /// A dialer that opens connections with `dial`.
    pub fn new<F>(dial: impl Fn(Options, SocketAddr) -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = io::Result<TcpStream>> + Send + 'static,
    {
        Self(Arc::new(move |options, addr| Box::pin(dial(options, addr))))
    }

    /// Connects to `addr`.
    pub(crate) async fn dial(&self, options: Options, addr: SocketAddr) -> io::Result<TcpStream> {
        (self.0)(options, addr).await
    }
}

/// Connects to `addr` over the operating system's network.
pub async fn connect(options: Options, addr: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = options.source else { return TcpStream::connect(addr).await };
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(addr).await
}
