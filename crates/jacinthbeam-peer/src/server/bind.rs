//! Opens the listening socket and accepts connections.

use std::{fmt, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    body::Body,
    connection::Status,
    message::{Answer, ForwardHead, ForwardReply, Question},
    server::{
        Cancelled, Handle, Handler, Options, connection,
        handle::{Census, Phase},
    },
};

/// Pause after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The server can't listen.
#[derive(Debug)]
pub struct Error {
    /// Where it was to listen.
    pub addr: SocketAddr,
    /// What the system said.
    pub source: io::Error,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't listen for peers on {}: {}", self.addr, self.source)
    }
}

impl std::error::Error for Error {}

/// What every connection of one server shares.
pub(crate) struct Server<A, F> {
    pub(crate) handler: Handler<A, F>,
    pub(crate) options: Options,
}

/// Starts to answer peers on `addr`. Has to be called inside a `tokio` runtime, whose tasks then do the work.
pub fn bind<A, AF, F, FF>(
    addr: SocketAddr,
    options: Options,
    handler: Handler<A, F>,
) -> Result<Handle, Error>
where
    A: Fn(Question) -> AF + Send + Sync + 'static,
    AF: Future<Output = Answer> + Send + 'static,
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    let listener = listen(addr).map_err(|source| Error { addr, source })?;
    serve_on(listener, options, handler).map_err(|source| Error { addr, source })
}

/// Like [`bind`], on a socket that listens already.
pub fn serve_on<A, AF, F, FF>(
    listener: TcpListener,
    options: Options,
    handler: Handler<A, F>,
) -> io::Result<Handle>
where
    A: Fn(Question) -> AF + Send + Sync + 'static,
    AF: Future<Output = Answer> + Send + 'static,
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    let local_addr = listener.local_addr()?;
    let (phase, phases) = watch::channel(Phase::Serving);
    let census = Arc::new(Census::default());
    let server = Arc::new(Server { handler, options });
    let accepting = tokio::spawn(accept(listener, server, phases, census.clone()));
    Ok(Handle::new(local_addr, phase, accepting, census))
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts until the server stops, then waits for the connections to end. Dropping it drops them.
async fn accept<A, AF, F, FF>(
    listener: TcpListener,
    server: Arc<Server<A, F>>,
    mut phases: watch::Receiver<Phase>,
    census: Arc<Census>,
) where
    A: Fn(Question) -> AF + Send + Sync + 'static,
    AF: Future<Output = Answer> + Send + 'static,
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.join_next(), if !connections.is_empty() => continue,
            _ = phases.wait_for(|phase| *phase == Phase::Draining) => break,
        };
        match accepted {
            Ok((tcp, _)) if connections.len() < server.options.max_connections => {
                connections.spawn(serve(tcp, server.clone(), phases.clone(), census.clone()));
            }
            Ok((tcp, peer)) => {
                log::warn!("peer: closed a connection of {peer}, there are too many");
                drop(tcp);
            }
            Err(err) => {
                log::warn!("peer: can't accept a connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve<A, AF, F, FF>(
    tcp: TcpStream,
    server: Arc<Server<A, F>>,
    phases: watch::Receiver<Phase>,
    census: Arc<Census>,
) where
    A: Fn(Question) -> AF + Send + Sync + 'static,
    AF: Future<Output = Answer> + Send + 'static,
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    let status = Status::new(Arc::default());
    let _entry = census.enter(status.clone());
    if let Err(err) = connection::run(tcp, server, phases, status).await {
        log::debug!("peer: a connection ended: {err}");
    }
}
