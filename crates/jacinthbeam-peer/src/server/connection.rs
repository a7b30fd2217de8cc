//! One accepted connection, from handshake to end.

use std::{fmt, future::Future, io, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{net::TcpStream, sync::watch, time::Instant};

use crate::{
    body::Body,
    connection::{
        Limits, Status,
        io::Io,
        silence::{Finding, Watch},
    },
    message::{Answer, ForwardHead, ForwardReply, Question},
    server::{Cancelled, bind::Server, handle::Phase, request},
};

/// A connection that is told to end is closed once it has been without streams for this long.
///
/// The farewell of `h2` waits for an answer, and a silent peer never gives one; without this bound each
/// silent connection would hold up a planned stop to the end of its time.
const DRAINED_AFTER: Duration = Duration::from_millis(500);

/// Why a connection ended early.
#[derive(Debug)]
pub(crate) enum Error {
    Socket(io::Error),
    HandshakeTimeout(Duration),
    Protocol(h2::Error),
    Silent,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket(err) => write!(f, "the socket failed: {err}"),
            Self::HandshakeTimeout(bound) => write!(f, "no handshake within {bound:?}"),
            Self::Protocol(err) => write!(f, "the peer broke the protocol or went away: {err}"),
            Self::Silent => f.write_str("the peer no longer answers"),
        }
    }
}

/// Serves the connection until it ends.
pub(crate) async fn run<A, AF, F, FF>(
    tcp: TcpStream,
    server: Arc<Server<A, F>>,
    mut phases: watch::Receiver<Phase>,
    status: Arc<Status>,
) -> Result<(), Error>
where
    A: Fn(Question) -> AF + Send + Sync + 'static,
    AF: Future<Output = Answer> + Send + 'static,
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    let limits = &server.options.limits;
    let io = Io::new(tcp, status.traffic.clone()).map_err(Error::Socket)?;
    let bound = server.options.handshake;
    let handshake = builder(limits).handshake::<_, Bytes>(io);
    let mut connection = tokio::time::timeout(bound, handshake)
        .await
        .map_err(|_| Error::HandshakeTimeout(bound))?
        .map_err(Error::Protocol)?;
    let mut ping_pong = connection.ping_pong().expect("taken only once");
    let mut watch = Watch::new(limits.silence, Instant::now());
    let mut tick = tokio::time::interval(watch.every());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut draining = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((req, respond))) => {
                    let stream = status.open();
                    tokio::spawn(request::serve(server.clone(), req, respond, stream));
                }
                Some(Err(err)) => return Err(Error::Protocol(err)),
                None => return Ok(()),
            },
            _ = tick.tick() => {
                let now = Instant::now();
                match watch.check(now, status.traffic.heard(), status.streams() > 0) {
                    Finding::Ping => drop(ping_pong.send_ping(h2::Ping::opaque())),
                    Finding::Silent => return Err(Error::Silent),
                    Finding::Well | Finding::Suspect => {}
                }
                let idle = status.idle_since().map(|since| now.duration_since(since));
                if draining && idle >= Some(DRAINED_AFTER) && !connection.has_streams() {
                    return Ok(());
                }
                if !draining && idle >= Some(limits.idle) {
                    draining = true;
                    connection.graceful_shutdown();
                }
            }
            _ = phases.wait_for(|phase| *phase == Phase::Draining), if !draining => {
                draining = true;
                connection.graceful_shutdown();
            }
            _ = std::future::poll_fn(|cx| ping_pong.poll_pong(cx)) => {}
        }
    }
}

fn builder(limits: &Limits) -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(limits.stream_window())
        .initial_connection_window_size(limits.connection_window())
        .max_header_list_size(limits.max_header())
        .max_concurrent_streams(limits.max_streams)
        .max_concurrent_reset_streams(limits.max_reset_streams())
        .max_pending_accept_reset_streams(limits.max_reset_streams())
        .max_send_buffer_size(limits.stream_window() as usize);
    builder
}
