//! Accepts and serves the connections of callers.

use std::{cell::Cell, convert::Infallible, future::Future, net::IpAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use jacinthbeam_route::Limits;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
};

use super::idle::{Activity, ActivityStream};

/// Delay after a failed `accept`. The usual cause is a lack of file descriptors, which only passes with time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits that apply before the first configuration was read.
const INITIAL_LIMITS: Limits = Limits {
    head: 16 << 10,
    body: 1 << 20,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

/// Shutdown phase of the process, which determines the connections that it may close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// Every response closes its connection.
    Leaving,
    /// Idle connections are closed too.
    Closing,
}

/// State shared by all connections.
#[derive(Debug, Clone)]
pub struct Context {
    /// The current shutdown phase.
    pub phase: watch::Receiver<Phase>,
    /// Number of open connections.
    pub open: Rc<Cell<usize>>,
}

/// Accepts connections and calls `serve` for each request. Returns and closes the listener in phase [`Phase::Closing`], since a
/// later request might not be answered before the process exits.
pub async fn run<S, F>(
    listener: TcpListener,
    cx: Context,
    limits: impl Fn() -> Option<Limits>,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let mut phase = cx.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, from)) => {
                let limits = limits().unwrap_or(INITIAL_LIMITS);
                let from = CallerAddr(from.ip());
                spawn_local(serve_connection(stream, from, cx.clone(), limits, serve.clone()));
            }
            Err(err) => {
                tracing::warn!(part = "connection", event = "accept-failed", error = ?err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Address of the caller, set as an extension of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddr(pub IpAddr);

/// Counts a connection as open until dropped.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection<S, F>(
    stream: TcpStream,
    from: CallerAddr,
    cx: Context,
    limits: Limits,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let _open = OpenGuard::new(cx.open.clone());
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(part = "connection", event = "nodelay-failed", error = ?err);
    }
    let activity = Activity::new();
    let io = TokioIo::new(ActivityStream::new(stream, activity.clone()));
    let (request_activity, phase) = (activity.clone(), cx.phase.clone());
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(from);
        let (activity, phase, serve) = (request_activity.clone(), phase.clone(), serve.clone());
        async move {
            activity.on_request_start();
            let mut res = serve(req).await;
            if *phase.borrow() > Phase::Serving {
                res.headers_mut()
                    .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
            }
            activity.on_request_end();
            Ok::<_, Infallible>(res)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head.max(MIN_BUFFER_BYTES)).half_close(false);
    let mut conn = std::pin::pin!(builder.serve_connection(io, service));
    let mut phase = cx.phase;
    let mut closing = false;
    loop {
        tokio::select! {
            ended = conn.as_mut() => {
                if let Err(err) = ended {
                    tracing::debug!(part = "connection", event = "ended", error = ?err);
                }
                return;
            }
            () = activity.timed_out(limits.head_timeout, limits.idle_timeout), if !closing => {
                closing = true;
                if !activity.is_idle() || activity.is_write_blocked() {
                    // Either the head is incomplete and there is no request to answer, or the caller has stopped reading its response.
                    return;
                }
                conn.as_mut().graceful_shutdown();
            }
            changed = phase.wait_for(|phase| *phase == Phase::Closing), if !closing => {
                closing = true;
                if changed.is_ok() {
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
