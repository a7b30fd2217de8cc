//! Connections of callers.

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

use super::idle::{Activity, Noted};

/// Pause after an error of accept, which is mostly a want of descriptors that only time can end.
const AFTER_ERROR: Duration = Duration::from_millis(50);

/// Smallest buffer that hyper takes.
const LEAST_HEAD: usize = 8192;

/// Before the first configuration, connections are bounded by these.
const LIMITS_UNKNOWN: Limits = Limits {
    head: 16 << 10,
    body: 1 << 20,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

/// Whether this process is about to stop, and which connections it may close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves callers.
    Serving,
    /// Each answer is the last on its connection.
    Leaving,
    /// Connections without a request are closed too.
    Closing,
}

/// What every connection needs.
#[derive(Debug, Clone)]
pub struct Context {
    /// How far a stop has come.
    pub phase: watch::Receiver<Phase>,
    /// Open connections.
    pub open: Rc<Cell<usize>>,
}

/// Serves every connection with `serve`, which gets each request. Ends, and closes the listener, in phase [`Phase::Closing`]:
/// a request that came later might not be answered before the process is ended.
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
                let limits = limits().unwrap_or(LIMITS_UNKNOWN);
                let from = CallerAddr(from.ip());
                spawn_local(one(stream, from, cx.clone(), limits, serve.clone()));
            }
            Err(err) => {
                tracing::warn!(part = "connection", event = "accept-failed", error = ?err);
                tokio::time::sleep(AFTER_ERROR).await;
            }
        }
    }
}

/// Where a request comes from: an extension of each request that is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddr(pub IpAddr);

/// Counts a connection for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn one<S, F>(stream: TcpStream, from: CallerAddr, cx: Context, limits: Limits, serve: S)
where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let _counted = Counted::new(cx.open.clone());
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(part = "connection", event = "nodelay-failed", error = ?err);
    }
    let activity = Activity::new();
    let io = TokioIo::new(Noted::new(stream, activity.clone()));
    let (noted, phase) = (activity.clone(), cx.phase.clone());
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(from);
        let (noted, phase, serve) = (noted.clone(), phase.clone(), serve.clone());
        async move {
            noted.request_begins();
            let mut res = serve(req).await;
            if *phase.borrow() > Phase::Serving {
                res.headers_mut()
                    .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
            }
            noted.request_ends();
            Ok::<_, Infallible>(res)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head.max(LEAST_HEAD)).half_close(false);
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
            () = activity.overdue(limits.head_timeout, limits.idle_timeout), if !closing => {
                closing = true;
                if !activity.is_idle() {
                    // Half a head: there is no request to answer, and the rest may never come.
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
