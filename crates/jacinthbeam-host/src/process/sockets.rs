//! The listening sockets of a host, bound before anything else starts, so that an address in use ends the process with a clear error.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use super::Error;
use crate::Settings;

/// Attempts to find a port for other hosts if the settings give port 0.
///
/// UDP and TCP use the same port number, and a port that is free for UDP may be in use for TCP. At most a few thousand of the
/// 28,000 ephemeral ports of Linux are in use on one machine, so 16 failures in a row are less likely than one in 10^9.
const MAX_BIND_ATTEMPTS: usize = 16;

/// The listening sockets of a host.
#[derive(Debug)]
pub struct Sockets {
    pub(super) callers: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) metrics: TcpListener,
    pub(super) reports: UdpSocket,
    pub(super) news: TcpListener,
}

impl Sockets {
    /// Binds the addresses of `settings`, and replaces each port 0 there by the port that was bound.
    ///
    /// Binding port 0 avoids a race: a free port that is looked up first and bound later may be assigned to a connection in between.
    pub fn bind(settings: &mut Settings) -> Result<Self, Error> {
        let (reports, news) = bind_peers(&mut settings.peers)?;
        Ok(Self {
            callers: listen("callers", &mut settings.callers)?,
            ready: listen("the balancer", &mut settings.ready)?,
            metrics: listen("metrics", &mut settings.metrics)?,
            reports,
            news,
        })
    }
}

fn bind_peers(addr: &mut SocketAddr) -> Result<(UdpSocket, TcpListener), Error> {
    let requested = *addr;
    let mut attempts = if requested.port() == 0 { MAX_BIND_ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        *addr = requested;
        let reports = bind_datagrams(addr)?;
        match listen("other hosts", addr) {
            Ok(news) => return Ok((reports, news)),
            Err(err) if attempts == 0 => return Err(err),
            Err(err) => {
                tracing::debug!(part = "process", event = "port-taken", error = %err)
            }
        }
    }
}

fn bind_datagrams(addr: &mut SocketAddr) -> Result<UdpSocket, Error> {
    let bind = |addr: &mut SocketAddr| -> io::Result<UdpSocket> {
        let socket = UdpSocket::bind(*addr)?;
        socket.set_nonblocking(true)?;
        *addr = socket.local_addr()?;
        Ok(socket)
    };
    bind(addr).map_err(|err| Error::Bind { what: "other hosts", addr: *addr, err })
}

fn listen(what: &'static str, addr: &mut SocketAddr) -> Result<TcpListener, Error> {
    let bind = |addr: &mut SocketAddr| -> io::Result<TcpListener> {
        let listener = TcpListener::bind(*addr)?;
        listener.set_nonblocking(true)?;
        *addr = listener.local_addr()?;
        Ok(listener)
    };
    bind(addr).map_err(|err| Error::Bind { what, addr: *addr, err })
}
