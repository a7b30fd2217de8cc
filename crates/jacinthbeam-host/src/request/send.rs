//! Sends one request to one backend server and determines the outcome.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body::Body as _;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use jacinthbeam_connection::headers::strip;
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::ServerId;
use tokio::time::Instant as TimerInstant;

use super::{backpressure, memory::BodyMemory, permit::Permit};
use crate::{
    connection::{
        carried::AttemptDigest,
        pool::{self, PooledConnection},
    },
    process::{server_state::ServerState, traffic::Traffic},
    send_outcome::{Lost, NotRun, SendOutcome},
    wire::{Forward, ResponseKind},
};

/// A request that was read completely.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// Headers without the hop-by-hop headers of the caller's connection.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Id of the caller's attempt.
    pub id: HeaderValue,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Maximum size of a response body.
///
/// A response is buffered completely before the caller gets any of it, so that a truncated one can't look complete and the
/// request can be retried.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Time for hyper to mark the connection as ready after a response. It takes one poll of the connection's task.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Time past the deadline for which a response is still awaited, so that the server's own answer to a passed deadline arrives.
pub(super) const RESPONSE_GRACE: Duration = Duration::from_millis(60);

/// Counts a request as in flight at a server until dropped.
struct InFlightGuard(Rc<ServerState>, Instant);

impl InFlightGuard {
    fn new(state: Rc<ServerState>, begun: Instant) -> Self {
        state.stats.borrow_mut().begin(begun);
        Self(state, begun)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.stats.borrow_mut().end(self.1);
    }
}

/// What one send has to keep to.
#[derive(Debug, Clone, Copy)]
pub struct SendLimits {
    /// Maximum number of connections of this host to the server.
    pub max_connections: u32,
    /// When the response is due.
    pub deadline: Instant,
    /// The permit, if the server was known to be rate-limited when the send was decided.
    pub permit: Option<Permit>,
}

/// Sends a request and waits for the complete response until shortly after the deadline. Dropping the future cancels the request
/// at the server.
pub async fn send(
    traffic: &Traffic,
    request: &BufferedRequest,
    server: &Server,
    limits: SendLimits,
) -> SendOutcome {
    let state = traffic.server(server);
    let begun = traffic.now();
    let _in_flight = InFlightGuard::new(state.clone(), begun);
    let sent = match exchange(traffic, request, server, &state, limits).await {
        Ok(sent) => sent,
        Err(not_run) => SendOutcome::NotRun(not_run),
    };
    record_outcome(traffic, &state, &sent, begun);
    sent
}

fn record_outcome(traffic: &Traffic, state: &ServerState, sent: &SendOutcome, begun: Instant) {
    let now = traffic.now();
    let mut stats = state.stats.borrow_mut();
    match sent {
        SendOutcome::Answered { success: true, .. } => {
            stats.on_answer(now.saturating_duration_since(begun))
        }
        SendOutcome::Answered { success: false, .. } => stats.on_error(),
        SendOutcome::NotRun(NotRun::Full) => stats.on_full(now),
        SendOutcome::NotRun(NotRun::NotListening | NotRun::Unreachable) => stats.on_failure(now),
        SendOutcome::NotRun(NotRun::OtherServer) => state.ended.set(true),
        SendOutcome::NotRun(
            NotRun::NotOwner
            | NotRun::NoConnection
            | NotRun::RateLimited
            | NotRun::Paused
            | NotRun::Refused,
        ) => {}
        SendOutcome::Lost(_) => {
            stats.on_failure(now);
            // The cause of the broken connection may have broken the idle ones as well, without this host having noticed.
            state.pool.clear();
        }
    }
}

async fn exchange(
    traffic: &Traffic,
    request: &BufferedRequest,
    server: &Server,
    state: &ServerState,
    limits: SendLimits,
) -> Result<SendOutcome, NotRun> {
    let SendLimits { max_connections, deadline, permit } = limits;
    let attempt = AttemptDigest::of(&request.id);
    let mut conn = map_pool_error(traffic.acquire(server, max_connections, attempt).await)?;
    loop {
        // The server may have stated something else while the request waited for the connection.
        if let Err(refused) = backpressure::readmit(traffic, server, state, permit).await {
            state.pool.return_unused(conn, traffic.now());
            return Err(refused);
        }
        let sent_at = traffic.now();
        let left = deadline.saturating_duration_since(sent_at);
        let by = TimerInstant::now() + left + RESPONSE_GRACE;
        let req = prepare(traffic, request, server, left);
        let sent = tokio::time::timeout_at(by, conn.send(attempt, req)).await;
        match sent {
            Err(_) => return Ok(SendOutcome::Lost(Lost::Late)),
            Ok(Ok(res)) => {
                let kind = classify(traffic, request, &server.id, &conn, &res);
                backpressure::apply(traffic, server, state, &res, kind, sent_at);
                return Ok(read_response(traffic, request, state, conn, kind, res, by).await);
            }
            Ok(Err(mut err)) => match (err.take_message(), conn.reused) {
                // hyper returns a request only if no byte of it was written.
                (Some(_), true) => {
                    conn = map_pool_error(traffic.connect(server, max_connections).await)?
                }
                (Some(_), false) => return Err(NotRun::Unreachable),
                (None, _) => {
                    let (id, err) = (&request.id, err.into_error());
                    tracing::debug!(part = "request", id = ?id, event = "connection-ended", error = ?err);
                    return Ok(SendOutcome::Lost(Lost::Broken));
                }
            },
        }
    }
}

fn map_pool_error(
    result: Result<PooledConnection, pool::Error>,
) -> Result<PooledConnection, NotRun> {
    result.map_err(|err| match err {
        pool::Error::Full => NotRun::NoConnection,
        err if err.is_refused() => NotRun::NotListening,
        pool::Error::Connect(_) | pool::Error::Silent => NotRun::Unreachable,
    })
}

fn prepare(
    traffic: &Traffic,
    request: &BufferedRequest,
    server: &Server,
    left: Duration,
) -> Request<pool::Body> {
    let mut req = Request::new(pool::body(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.target.clone();
    *req.headers_mut() = request.headers.clone();
    (traffic.wire.set_forward_headers)(
        req.headers_mut(),
        &Forward { id: &request.id, left, server: &server.id },
    );
    req
}

fn classify(
    traffic: &Traffic,
    request: &BufferedRequest,
    server: &ServerId,
    conn: &PooledConnection,
    res: &Response<Incoming>,
) -> ResponseKind {
    let (id, status) = (&request.id, res.status());
    let kind = match status.is_informational() {
        // Hosts request no upgrade, and hyper skips all other interim responses.
        true => ResponseKind::Foreign,
        false => (traffic.wire.classify_response)(status, res.headers(), id, server),
    };
    if kind == ResponseKind::Foreign {
        let names = match (traffic.wire.response_id)(res.headers()) {
            None => "none",
            Some(named) if named == id => "this",
            Some(named) if conn.has_carried(AttemptDigest::of(named)) => "earlier",
            Some(_) => "unknown",
        };
        traffic.counters.on_foreign_response(names);
        tracing::info!(part = "request", id = ?id, event = "foreign-answer", server = %server, status = %status, names);
    }
    kind
}

async fn read_response(
    traffic: &Traffic,
    request: &BufferedRequest,
    state: &ServerState,
    conn: PooledConnection,
    kind: ResponseKind,
    res: Response<Incoming>,
    by: TimerInstant,
) -> SendOutcome {
    if kind == ResponseKind::Foreign {
        return SendOutcome::Lost(Lost::Broken);
    }
    let keep_alive = keep_alive(res.headers());
    // A copy of a response that names no request would be taken for the response to the next one.
    let is_identified = (traffic.wire.response_id)(res.headers()).is_some();
    let closes = closes_connection(res.headers()) || !is_identified;
    let (mut head, body) = res.into_parts();
    let read =
        tokio::time::timeout_at(by, read_body(body, MAX_RESPONSE_BYTES, &traffic.response_memory))
            .await;
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(err)) => {
            tracing::info!(part = "request", id = ?request.id, event = "answer-cut", error = ?err);
            return not_run_outcome(kind).unwrap_or(SendOutcome::Lost(Lost::Broken));
        }
        Err(_) => return not_run_outcome(kind).unwrap_or(SendOutcome::Lost(Lost::Late)),
    };
    if !closes {
        return_connection(traffic, state, conn, keep_alive).await;
    }
    if let Some(refused) = not_run_outcome(kind) {
        return refused;
    }
    strip(&mut head.headers, &[]);
    // hyper writes the length of the body that it is given.
    head.headers.remove(header::CONTENT_LENGTH);
    let success = kind == ResponseKind::Answer { success: true };
    SendOutcome::Answered { res: Response::from_parts(head, Full::new(bytes)), success }
}

/// Reads a response body of at most `max_bytes` bytes completely. While there is no memory for more of it, the server's connection is not read,
/// unless the body exceeds its share of the memory.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, BoxError> {
    let mut body = Limited::new(body, max_bytes);
    let mut reservation = memory.reservation();
    // Reserved together, so that responses of known lengths don't wait for each other half read.
    let announced = usize::try_from(body.size_hint().lower())?;
    reservation.wait_extend_to(announced.min(max_bytes)).await?;
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        reservation.wait_extend_to(buffer.len() + data.len()).await?;
        buffer.extend_from_slice(&data);
    }
    Ok(reservation.attach(buffer.freeze()))
}

/// Returns a connection to the pool if the request was written completely and no bytes follow the response.
///
/// A server may answer before it has read a long body. The next bytes that it reads must be the rest of that body, not another
/// request.
async fn return_connection(
    traffic: &Traffic,
    state: &ServerState,
    mut conn: PooledConnection,
    bound: Option<Duration>,
) {
    let ready = tokio::time::timeout(READY_TIMEOUT, conn.inner.sender.ready()).await;
    if matches!(ready, Ok(Ok(()))) && conn.inner.is_quiet() {
        state.pool.release(conn, traffic.now(), bound);
    }
}

/// The outcome of a response that says that the request did not run; `None` if it may have run.
fn not_run_outcome(kind: ResponseKind) -> Option<SendOutcome> {
    let not_run = match kind {
        ResponseKind::Full => NotRun::Full,
        ResponseKind::NotOwner => NotRun::NotOwner,
        ResponseKind::OtherServer => NotRun::OtherServer,
        ResponseKind::Refused => NotRun::Refused,
        ResponseKind::Answer { .. } | ResponseKind::Foreign => return None,
    };
    Some(SendOutcome::NotRun(not_run))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let mut names =
        values.iter().filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// The server's idle timeout from `keep-alive: timeout=`, in whole seconds.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
