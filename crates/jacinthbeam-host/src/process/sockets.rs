//! The sockets of a host, bound before anything else starts, so that a clash ends the process with a clear line.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use super::Error;
use crate::Settings;

/// How often another port is tried for other hosts, if any port will do.
///
/// They send datagrams and connect to the same number, and the one that is free for datagrams may be taken for connections. At
/// most a few thousand of the 28,000 ports that Linux gives out are in use on one machine, so that 16 failures in a row are less
/// likely than one in 10^9.
const TRIES: usize = 16;

/// Everything that a host listens at.
#[derive(Debug)]
pub struct Sockets {
    pub(super) callers: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) metrics: TcpListener,
    pub(super) reports: UdpSocket,
    pub(super) news: TcpListener,
}

impl Sockets {
    /// Binds the addresses of `settings`. Each port 0 there is replaced by the free port that was bound.
    ///
    /// A port that is looked up first and bound later may be given to a connection in between.
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
    let given = *addr;
    let mut tries = if given.port() == 0 { TRIES } else { 1 };
    loop {
        tries -= 1;
        *addr = given;
        let reports = bind_datagrams(addr)?;
        match listen("other hosts", addr) {
            Ok(news) => return Ok((reports, news)),
            Err(err) if tries == 0 => return Err(err),
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
