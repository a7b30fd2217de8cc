//! Sending requests and judging what comes back.

use std::{
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use hyper::{body::Incoming, client::conn::TrySendError};
use jacinthbeam_types::prelude::*;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    AnswerBody, Failure, RequestBody, Snapshot, head,
    shared::{Checkout, Held, Place, Shared},
};
use jacinthbeam_connection as connection;

/// Largest body of a refusal that is read so that its connection can be used again, in bytes.
const MAX_REFUSAL_BODY: usize = 16 << 10;

/// What can be tuned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Bound of one attempt to connect. Default 300 ms.
    pub connect_timeout: Duration,
    /// A connection that was idle for this long is closed. Default 10 s; must be shorter than the time after which
    /// backend servers close idle connections, or requests meet the closing and end as may-have-run.
    pub max_idle: Duration,
    /// IP number of this host that connections come from. Default `None`: the system picks one.
    pub source: Option<IpAddr>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            max_idle: Duration::from_secs(10),
            source: None,
        }
    }
}

/// A backend server's answer to a request that ran.
pub type Answer = Response<AnswerBody>;

/// The connections to one backend server. Dropping the pool closes the idle ones; answers in progress go on.
#[derive(Debug)]
pub struct Pool {
    shared: Arc<Shared>,
    connect_timeout: Duration,
    source: Option<IpAddr>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.shared.close();
    }
}

impl Pool {
    /// A pool of at most `connections` connections to `server`, expected at `addr`.
    ///
    /// `clock` gives the time for `deadline` of [`Pool::send`] and for the age of idle connections.
    pub fn open(
        server: ServerId,
        addr: SocketAddr,
        connections: u32,
        options: Options,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let shared = Shared::new(server, addr, connections, options.max_idle, clock);
        Self {
            shared: Arc::new(shared),
            connect_timeout: options.connect_timeout,
            source: options.source,
        }
    }

    /// Sends a request and returns its answer, whose body is bounded by `deadline` too.
    ///
    /// Waits for a connection if all are in use. Dropping the future or the answer's body closes the connection,
    /// which cancels the request at the backend server.
    pub async fn send(
        &self,
        req: Request<RequestBody>,
        deadline: std::time::Instant,
    ) -> Result<Answer, Failure> {
        let (closed, _) = oneshot::channel();
        self.send_watched(req, deadline, closed, || Ok(())).await
    }

    /// The same. `may_send` is asked when there is a connection, right before the request is written; its refusal is `not-run`.
    ///
    /// `closed` is told when the request was given up and the backend server has then closed its end of the connection, which
    /// says that it has ended the request. In every other case `closed` is dropped, half a second after the request was given up at the latest.
    pub async fn send_watched(
        &self,
        mut req: Request<RequestBody>,
        deadline: std::time::Instant,
        closed: oneshot::Sender<()>,
        may_send: impl Fn() -> Result<(), Reason>,
    ) -> Result<Answer, Failure> {
        let left = deadline.saturating_duration_since(self.shared.clock.now());
        if left.is_zero() {
            return Err(Failure::not_run(Reason::DeadlinePassed));
        }
        let deadline = Instant::now() + left;
        let id = head::prepare(&mut req, self.shared.addr)?;
        let mut held = self.connection(deadline).await?;
        // The lease that the request is sent under may have ended while it waited for a connection, and its slot may have
        // another owner. Sent all the same, it would run there at a server that checks nothing.
        if let Err(reason) = may_send() {
            self.shared.put(held);
            return Err(Failure::not_run(reason));
        }
        let mut sent = pin!(held.connection.sender.try_send_request(req));
        // Bound after `sent`, so dropped before it: hyper closes the whole socket when it sees that nobody waits.
        let mut held = held;
        held.connection.closed = Some(closed);
        match timeout_at(deadline, sent.as_mut()).await {
            Ok(Ok(res)) => self.judge(held, res, id.as_ref(), deadline),
            Ok(Err(err)) => Err(unanswered(err)),
            Err(_) => {
                self.shared.silent(held);
                Err(Failure::may_have_run(Reason::DeadlinePassed))
            }
        }
    }

    /// Closes connections that were idle for too long. They aren't used again in any case; this frees them.
    pub fn expire(&self) {
        self.shared.expire();
    }

    /// Counts for the dump.
    pub fn snapshot(&self) -> Snapshot {
        self.shared.snapshot()
    }

    async fn connection(&self, deadline: Instant) -> Result<Held, Failure> {
        loop {
            // Listens before it looks, so that no place that becomes free in between is missed.
            let mut freed = pin!(self.shared.freed.notified());
            freed.as_mut().enable();
            match self.shared.checkout() {
                Checkout::Idle(held) if held.connection.is_quiet() => return Ok(held),
                Checkout::Idle(held) => {
                    drop(held);
                    continue;
                }
                Checkout::Place(place) => return self.dial(place, deadline).await,
                Checkout::Closed => return Err(Failure::not_run(Reason::Stopping)),
                Checkout::Full => {}
            }
            if timeout_at(deadline, freed).await.is_err() {
                return Err(Failure::not_run(Reason::Overloaded));
            }
        }
    }

    async fn dial(&self, place: Place, deadline: Instant) -> Result<Held, Failure> {
        let (id, generation) = (place.id, place.generation);
        let connect_by = deadline.min(Instant::now() + self.connect_timeout);
        let how = connection::Options { source: self.source, reset: false };
        match timeout_at(connect_by, connection::open(how, self.shared.addr, place)).await {
            Ok(Ok(connection)) => Ok(Held { connection, id, generation }),
            Err(_) if connect_by == deadline => Err(Failure::not_run(Reason::DeadlinePassed)),
            Ok(Err(_)) | Err(_) => Err(Failure::not_run(Reason::Unreachable)),
        }
    }

    /// Decides what an answer's head is worth. Whenever it is no answer, the connection is closed by `held`'s drop.
    fn judge(
        &self,
        held: Held,
        res: Response<Incoming>,
        id: Option<&HeaderValue>,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        if !head::belongs_to(&res, &self.shared.server, id) {
            ::log::warn!(
                "backend: answer of another server or request in place of {}",
                self.shared.server
            );
            return Err(Failure::may_have_run(Reason::PeerProtocol));
        }
        if res.status() == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Failure::may_have_run(Reason::PeerProtocol));
        }
        let refusal = Failure::told_by(res.status(), res.headers())?;
        let (mut head, incoming) = res.into_parts();
        let exact = incoming.size_hint().exact();
        if refusal.is_none() && !head::has_provable_end(&head.headers, exact) {
            return Err(Failure::may_have_run(Reason::AnswerCut));
        }
        head::strip(&mut head.headers);
        let body = AnswerBody::new(incoming, held, self.shared.clone(), deadline);
        match refusal {
            None => Ok(Response::from_parts(head, body)),
            Some(refusal) => {
                tokio::spawn(drain(body));
                Err(refusal)
            }
        }
    }
}

/// Reads the text of a refusal, so that shedding doesn't cost the backend server a new connection each time.
async fn drain(mut body: AnswerBody) {
    let mut seen = 0;
    while let Some(Ok(bytes)) = body.next().await {
        seen += bytes.len();
        if seen > MAX_REFUSAL_BODY {
            return;
        }
    }
}

/// hyper gives a request back only if the connection's task never took it up, so that nothing of it was written. Once
/// it was taken up, nothing is proven, though perhaps no byte has left.
fn unanswered(err: TrySendError<Request<RequestBody>>) -> Failure {
    if err.message().is_some() {
        return Failure::not_run(Reason::ConnectionLost);
    }
    // A body that breaks off on the caller's side is the caller's doing.
    let cancelled = err.error().is_user();
    Failure::may_have_run(if cancelled { Reason::Cancelled } else { Reason::ConnectionLost })
}
