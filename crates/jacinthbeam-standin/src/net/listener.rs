//! One listening address and its connections.

use std::{
    collections::BTreeMap,
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    os::fd::AsFd,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::AbortHandle,
};

use super::{Answer, Server, stream::Stream};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, which mostly means that the process has no file descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// How long a connection at the limit waits for an earlier one to end.
const CLOSE_GRACE: Duration = Duration::from_millis(20);

/// A listening address of a stand-in. Clones name the same address; it is closed with its stand-in.
#[derive(Debug, Clone)]
pub struct Listener(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    addr: SocketAddr,
    server: Arc<Server>,
    state: Mutex<State>,
    /// Bound but not listening, so that nobody else gets the port while the listener is cut.
    _keeper: TcpSocket,
}

#[derive(Debug, Default)]
struct State {
    socket: Option<TcpListener>,
    accepts: bool,
    closed: bool,
    acceptor: Option<Waker>,
    connections: BTreeMap<u64, Connection>,
    next: u64,
}

#[derive(Debug)]
struct Connection {
    silent: Arc<AtomicBool>,
    task: AbortHandle,
}

fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

impl Listener {
    /// The address, with the port that the system picked.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Cuts this address off: open connections go silent for good, new ones are refused.
    ///
    /// Work that came in before goes on, as on a server that does not notice a partition.
    pub fn cut(&self) {
        self.lock().socket = None;
        self.silence();
    }

    /// Cuts this address off as a network does that drops packets: open connections go silent for good, new
    /// ones are left without an answer.
    pub fn drop_packets(&self) {
        self.lock().accepts = false;
        self.silence();
    }

    /// Takes new connections again. Those that were silent stay so, and those that nobody answered are reset.
    pub fn heal(&self) -> io::Result<()> {
        let _runtime = self.0.server.runtime.enter();
        self.lock().socket = None;
        let socket = bind(self.0.addr)?.listen(BACKLOG)?;
        let mut state = self.lock();
        if state.closed {
            return Ok(());
        }
        state.socket = Some(socket);
        state.accepts = true;
        state.wake();
        Ok(())
    }

    /// Makes the open connections silent for good, without closing them. New ones work.
    ///
    /// Silent connections no longer count against the limit: a real server closes them after its own timeout.
    pub fn silence(&self) {
        for connection in self.lock().connections.values() {
            if !connection.silent.swap(true, Ordering::SeqCst) {
                self.0.server.leave();
            }
        }
    }

    /// Closes the open connections; requests in progress on them are cancelled.
    pub fn close_connections(&self) {
        self.lock().connections.values().for_each(|connection| connection.task.abort());
    }

    /// Opens a listener and starts to accept.
    pub(super) fn open<F>(
        addr: SocketAddr,
        server: &Arc<Server>,
        serve: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = Answer> + Send + 'static,
    {
        let keeper = bind(addr)?;
        let listener = Self(Arc::new(Inner {
            addr: keeper.local_addr()?,
            server: server.clone(),
            state: Mutex::default(),
            _keeper: keeper,
        }));
        listener.heal()?;
        server.runtime.spawn(listener.clone().accept_all(serve));
        Ok(listener)
    }

    /// Takes no new connection ever again.
    pub(super) fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        state.socket = None;
        state.wake();
    }

    /// Closes the silent connections only.
    pub(super) fn close_silent(&self) {
        let state = self.lock();
        let silent = state.connections.values().filter(|c| c.silent.load(Ordering::SeqCst));
        silent.for_each(|connection| connection.task.abort());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no holder of the lock panics")
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<TcpStream>>> {
        let mut state = self.lock();
        if state.closed {
            return Poll::Ready(None);
        }
        state.acceptor = Some(cx.waker().clone());
        let Some(socket) = state.socket.as_ref().filter(|_| state.accepts) else {
            return Poll::Pending;
        };
        socket.poll_accept(cx).map(|accepted| Some(accepted.map(|(stream, _)| stream)))
    }

    async fn accept_all<F>(self, serve: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static)
    where
        F: Future<Output = Answer> + Send + 'static,
    {
        while let Some(accepted) = poll_fn(|cx| self.poll_accept(cx)).await {
            self.0.server.freeze.sockets().await;
            match accepted {
                Ok(stream) => self.admit(stream, &serve).await,
                Err(err) => {
                    log::warn!("stand-in: a connection can't be accepted: {err}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn admit<F>(
        &self,
        stream: TcpStream,
        serve: &(impl Fn(Request<Incoming>) -> F + Clone + Send + 'static),
    ) where
        F: Future<Output = Answer> + Send + 'static,
    {
        // A client that closes one connection and opens the next may be accepted before the close is seen, and
        // would be counted as one too many. The close is on its way already, so a short wait is enough.
        if self.0.server.is_full() {
            tokio::time::sleep(CLOSE_GRACE).await;
        }
        if self.0.server.enter() {
            self.start(stream, serve.clone());
        }
    }

    fn start<F>(&self, stream: TcpStream, serve: impl Fn(Request<Incoming>) -> F + Send + 'static)
    where
        F: Future<Output = Answer> + Send + 'static,
    {
        let _ = stream.set_nodelay(true);
        // A client may take the end of the connection as proof that its request has ended. hyper drops the socket before the
        // request; this one is dropped after both.
        let Ok(kept) = stream.as_fd().try_clone_to_owned() else {
            return self.0.server.leave();
        };
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        let silent = Arc::new(AtomicBool::new(false));
        let open = Open { listener: self.clone(), number };
        let stream = Stream::new(stream, silent.clone(), self.0.server.clone());
        let stop = self.0.server.stop.subscribe();
        let task = self.0.server.runtime.spawn(async move {
            let _open = open;
            let _kept = kept;
            serve_connection(stream, serve, stop).await;
        });
        state.connections.insert(number, Connection { silent, task: task.abort_handle() });
    }
}

impl State {
    fn wake(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.wake();
        }
    }
}

/// Forgets a connection when its task ends, however it ends.
struct Open {
    listener: Listener,
    number: u64,
}

impl Drop for Open {
    fn drop(&mut self) {
        let connection = self.listener.lock().connections.remove(&self.number);
        if connection.is_some_and(|connection| !connection.silent.load(Ordering::SeqCst)) {
            self.listener.0.server.leave();
        }
    }
}

async fn serve_connection<F>(
    stream: Stream,
    serve: impl Fn(Request<Incoming>) -> F,
    mut stop: watch::Receiver<bool>,
) where
    F: Future<Output = Answer>,
{
    let service = service_fn(serve);
    let mut connection =
        pin!(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopping(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("stand-in: connection ended: {err}");
    }
}

/// Waits until the server is to stop.
async fn stopping(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
