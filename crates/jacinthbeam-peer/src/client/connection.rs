//! One connection to a peer: opens streams and drives it until it ends.

use std::{fmt, future::poll_fn, sync::Arc};

use bytes::Bytes;
use h2::{
    SendStream,
    client::{ResponseFuture, SendRequest},
};
use http::{Method, Request, Uri, uri::PathAndQuery};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::Instant,
};

use crate::{
    client::{connect::Opened, probe},
    connection::{
        Limits, Silence, Status, Stream,
        silence::{Finding, Watch},
    },
    request::wire,
};

/// Streams kept for questions, so that slow forwarded requests can't hold up heartbeats.
const QUESTION_STREAMS: usize = 64;

/// What a stream is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Use {
    Question,
    Forward,
}

impl Use {
    fn path(self) -> &'static str {
        match self {
            Self::Question => wire::ASK,
            Self::Forward => wire::FORWARD,
        }
    }
}

/// Sends requests on a connection that another task drives.
pub(crate) struct Connection {
    send: SendRequest<Bytes>,
    pub(crate) status: Arc<Status>,
    silence: Silence,
    questions: Arc<Semaphore>,
    forwards: Arc<Semaphore>,
}

/// The connection takes no new stream; nothing was sent.
#[derive(Debug)]
pub(crate) struct Ended;

/// A request whose headers were handed to the connection.
pub(crate) struct Started {
    pub(crate) response: ResponseFuture,
    pub(crate) sender: SendStream<Bytes>,
    pub(crate) stream: Permitted,
}

/// An open stream, counted and within the limits until dropped.
#[derive(Debug)]
pub(crate) struct Permitted {
    _stream: Stream,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    pub(crate) fn new(opened: &Opened, limits: &Limits) -> Self {
        let theirs = opened.send.current_max_send_streams();
        let all = theirs.min(limits.max_streams as usize).min(Semaphore::MAX_PERMITS);
        let questions = QUESTION_STREAMS.min(all.div_ceil(2));
        let forwards = all.saturating_sub(questions).max(1);
        Self {
            send: opened.send.clone(),
            status: opened.status.clone(),
            silence: limits.silence,
            questions: Arc::new(Semaphore::new(questions.max(1))),
            forwards: Arc::new(Semaphore::new(forwards)),
        }
    }

    /// Starts a request; waits while too many are in progress.
    pub(crate) async fn start(&self, what: Use) -> Result<Started, Ended> {
        let semaphore = match what {
            Use::Question => &self.questions,
            Use::Forward => &self.forwards,
        };
        let permit = semaphore.clone().acquire_owned().await.map_err(|_| Ended)?;
        let stream = self.status.open().ok_or(Ended)?;
        let stream = Permitted { _stream: stream, _permit: permit };
        if what == Use::Forward {
            probe::probe(&self.status, &self.silence).await?;
        }
        let ready = self.send.clone().ready().await;
        let started = ready.and_then(|mut send| send.send_request(request(what), false));
        let (response, sender) = started.map_err(|_| {
            self.status.retire();
            Ended
        })?;
        Ok(Started { response, sender, stream })
    }

    /// To be called when a request that started at `since` has run out of time.
    ///
    /// A connection on which nothing was heard in all that time may have been forgotten by something between
    /// the ends, so new requests use another one. If bytes came, only the answer is slow.
    pub(crate) fn timed_out(&self, since: Instant) {
        if self.status.traffic.heard() < since {
            self.status.retire();
        }
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("status", &self.status).finish_non_exhaustive()
    }
}

fn request(what: Use) -> Request<()> {
    let mut uri = http::uri::Parts::default();
    uri.scheme = Some(http::uri::Scheme::HTTP);
    uri.authority = Some(http::uri::Authority::from_static("peer"));
    uri.path_and_query = Some(PathAndQuery::from_static(what.path()));
    let mut req = Request::new(());
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_parts(uri).expect("all parts are there");
    req.headers_mut().insert(wire::WIRE, wire::version());
    req
}

/// Why a connection ended.
#[derive(Debug)]
pub(crate) enum End {
    Idle,
    Retired,
    Silent,
    Closed(Option<h2::Error>),
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Idle => f.write_str("it was idle"),
            Self::Retired => f.write_str("another one takes its place"),
            Self::Silent => f.write_str("the peer no longer answers on it"),
            Self::Closed(None) => f.write_str("the peer closed it"),
            Self::Closed(Some(err)) => write!(f, "it was lost: {err}"),
        }
    }
}

/// Drives the connection until it ends. Dropping `opened` at the end closes the socket and fails what is left.
pub(crate) async fn drive(opened: Opened, limits: &Limits, mut client: watch::Receiver<()>) -> End {
    let Opened { send, mut driver, mut ping_pong, status } = opened;
    drop(send);
    let mut watch = Watch::new(limits.silence, Instant::now());
    let mut tick = tokio::time::interval(watch.every());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut client_gone = false;
    loop {
        tokio::select! {
            ended = &mut driver => {
                status.retire();
                return End::Closed(ended.err());
            }
            _ = tick.tick() => {}
            pong = poll_fn(|cx| ping_pong.poll_pong(cx)) => {
                if pong.is_ok() {
                    status.answered.notify_waiters();
                }
                continue;
            }
            () = status.probe.notified() => {
                // Fails if an earlier PING is still unanswered; its answer serves as well.
                drop(ping_pong.send_ping(h2::Ping::opaque()));
                continue;
            }
            _ = client.changed(), if !client_gone => {
                client_gone = true;
                status.retire();
            }
        }
        let now = Instant::now();
        match watch.check(now, status.traffic.heard(), status.streams() > 0) {
            Finding::Well => {}
            Finding::Ping => drop(ping_pong.send_ping(h2::Ping::opaque())),
            Finding::Suspect => status.retire(),
            Finding::Silent => {
                status.retire();
                return End::Silent;
            }
        }
        if status.is_retired() && status.streams() == 0 {
            return End::Retired;
        }
        if now.checked_sub(limits.idle).is_some_and(|since| status.retire_if_idle(since)) {
            return End::Idle;
        }
    }
}
