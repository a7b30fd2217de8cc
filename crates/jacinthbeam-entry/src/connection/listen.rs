//! Accepting connections within a bound.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Pause after a failed accept, which is for want of file descriptors as a rule; without it the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds a listening socket. `SO_REUSEADDR` lets a restarted process take its port over at once.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A listener that keeps at most a number of connections open; more wait in the backlog.
#[derive(Debug)]
pub struct Bounded {
    listener: TcpListener,
    room: Arc<Semaphore>,
}

/// An accepted connection; it counts until dropped.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// The other end.
    pub from: SocketAddr,
    /// Room taken in the bound.
    pub room: Option<OwnedSemaphorePermit>,
}

impl Bounded {
    /// Accepts at most `connections` at a time.
    pub fn new(listener: TcpListener, connections: usize) -> Self {
        Self { listener, room: Arc::new(Semaphore::new(connections)) }
    }

    /// The next connection.
    pub async fn accept(&self) -> Accepted {
        let room = self.room.clone().acquire_owned().await;
        let room = room.expect("the semaphore is never closed");
        Accepted { room: Some(room), ..self.accept_beyond_bound().await }
    }

    /// The next connection, also if the bound is reached. For a listener that is about to be closed.
    pub async fn accept_beyond_bound(&self) -> Accepted {
        loop {
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    // Without it an answer's last segment waits for the acknowledgement of the one before.
                    let _ = stream.set_nodelay(true);
                    return Accepted { stream, from, room: None };
                }
                Err(err) => {
                    log::warn!("listen: accept failed: {err}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
