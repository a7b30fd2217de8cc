//! HTTP connections of callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use jacinthbeam_types::prelude::*;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use super::{
    first::First,
    listen::{Accepted, Bounded},
};
use crate::{
    process::Traffic,
    request::{answer, body::OutBody, serve::serve},
};

/// Bounds of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Connections open at a time. Default 4096.
    pub connections: usize,
    /// Longest head of a request in bytes. Default 16 KiB.
    pub head: usize,
    /// Time without a whole head of a request after which an HTTP/1 connection is closed, and
    /// without a sign of life after which an HTTP/2 connection is asked for one. Default 60 s.
    pub idle: Duration,
    /// Requests in progress on one HTTP/2 connection. Default 128.
    pub streams: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { connections: 4096, head: 16 << 10, idle: Duration::from_secs(60), streams: 128 }
    }
}

/// Serves callers until `stop` turns true, then lets the requests in progress end.
///
/// Returns when the last connection is closed.
pub async fn serve_callers(
    cx: Arc<Traffic>,
    listener: TcpListener,
    options: Options,
    mut stop: watch::Receiver<bool>,
) {
    let listener = Bounded::new(listener, options.connections);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        spawn_connection(&cx, accepted, options, &graceful, &stop);
    }
    // The system has accepted connections that wait to be taken up. Closing the listener would reset them, and their callers
    // would get no verdict, though nothing of theirs was run.
    let last = Instant::now() + LAST_ACCEPTS;
    while let Ok(accepted) = timeout_at(last, listener.accept_beyond_bound()).await {
        spawn_connection(&cx, accepted, options, &graceful, &stop);
    }
    // A listener that stays open would take callers in that nobody serves any more.
    drop(listener);
    // A connection whose first bytes are still unread counts as idle and would be closed on them.
    sleep(LINGER).await;
    graceful.shutdown().await;
}

fn spawn_connection(
    cx: &Arc<Traffic>,
    accepted: Accepted,
    options: Options,
    graceful: &GracefulShutdown,
    stop: &watch::Receiver<bool>,
) {
    let Accepted { stream, from, room } = accepted;
    let cx = cx.clone();
    let stop = stop.clone();
    let used = AtomicBool::new(false);
    let service = service_fn(move |req: Request<Incoming>| {
        let cx = cx.clone();
        // The first request of a connection was on its way when the stop began, and is served; on a connection in use the
        // caller learns of the stop and goes elsewhere.
        let refused = used.swap(true, Ordering::Relaxed) && *stop.borrow();
        async move {
            Ok::<_, Infallible>(match refused {
                true => refuse_stopping(&cx),
                false => serve(cx, req).await,
            })
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle)
        .max_buf_size((options.head * HEAD_SLACK).max(MIN_BUFFER))
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(options.idle)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_header_list_size((options.head * HEAD_SLACK) as u32)
        .max_concurrent_streams(options.streams);
    let stream = TokioIo::new(First::new(stream, options.idle));
    let connection = builder.serve_connection(stream, service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("callers: connection from {from} ended: {err}");
        }
        drop(room);
    });
}

fn refuse_stopping(cx: &Traffic) -> Response<OutBody> {
    let id = cx.ids.next(cx.me.incarnation);
    answer::refused(id, &Refusal::not_run(Reason::Stopping))
}

/// Time in which the connections that wait are taken up. Bounded as a whole, since new ones may go on coming.
const LAST_ACCEPTS: Duration = Duration::from_millis(50);
/// Time in which a request that is on its way when the listener closes is read.
const LINGER: Duration = Duration::from_millis(100);
/// Time that a caller has to answer a PING.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// `hyper` reads heads up to this times the limit, so that a head somewhat too long is refused with
/// a verdict, which its own refusal does not carry.
const HEAD_SLACK: usize = 2;
/// Smallest buffer that `hyper` takes for HTTP/1, in bytes.
const MIN_BUFFER: usize = 8192;
