//! Answers update requests from other hosts.

use std::{fmt, net::TcpListener, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, rt::Executor, server::conn::http2, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
};

use super::{
    forward::{self, Message},
    update::{StateUpdate, UpdateRequest},
};
use crate::process::serving::Forwarded;

/// Path of update requests.
pub(super) const PATH: &str = "/news";

/// Largest request in bytes: the revisions of some hundred ownership maps.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Runs the tasks of a connection on the current thread.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, task: F) {
        drop(spawn_local(async move { drop(task.await) }));
    }
}

/// Answers each request for an update with the one that `find` returns, which may wait, and passes on forwarded requests. Runs forever.
pub(crate) async fn run<F: Future<Output = StateUpdate> + 'static>(
    listener: TcpListener,
    find: impl Fn(UpdateRequest) -> F + 'static,
    forwarded: mpsc::UnboundedSender<Forwarded>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return tracing::error!(part = "peers", event = "no-listener", error = ?err),
    };
    let find = Rc::new(find);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!(part = "peers", event = "accept-failed", error = ?err);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        if let Err(err) = stream.set_nodelay(true) {
            tracing::debug!(part = "peers", event = "nodelay-failed", error = ?err);
        }
        let (find, forwarded) = (find.clone(), forwarded.clone());
        let service = service_fn(move |req: Request<Incoming>| {
            let (find, forwarded) = (find.clone(), forwarded.clone());
            async move {
                match req.uri().path() {
                    forward::PATH => pass_on(req, &forwarded).await,
                    _ => Ok(answer_one(req, &*find).await.map(Message::plain)),
                }
            }
        });
        spawn_local(async move {
            let conn = http2::Builder::new(LocalExecutor);
            if let Err(err) = conn.serve_connection(TokioIo::new(stream), service).await {
                tracing::debug!(part = "peers", event = "ended", error = ?err);
            }
        });
    }
}

/// The traffic thread has ended while it may have been serving a forwarded request. The stream of the request is reset.
#[derive(Debug)]
struct Abandoned;

impl fmt::Display for Abandoned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the traffic thread has ended")
    }
}

impl std::error::Error for Abandoned {}

/// Passes a forwarded request on to the traffic thread. The request is cancelled if this future is dropped.
async fn pass_on(
    req: Request<Incoming>,
    forwarded: &mpsc::UnboundedSender<Forwarded>,
) -> Result<Response<Message>, Abandoned> {
    let (reply, served) = oneshot::channel();
    if forwarded.send(Forwarded { req, reply }).is_err() {
        let mut declined = Response::new(Message::plain(Bytes::new()));
        *declined.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(declined);
    }
    served.await.map_err(|_| Abandoned)
}

async fn answer_one<F: Future<Output = StateUpdate>>(
    req: Request<Incoming>,
    find: &impl Fn(UpdateRequest) -> F,
) -> Response<Bytes> {
    if req.uri().path() != PATH {
        return plain(StatusCode::NOT_FOUND, "no such path\n");
    }
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
    let Ok(bytes) = body.map(|body| body.to_bytes()) else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "the request is too long\n");
    };
    match UpdateRequest::from_bytes(&bytes) {
        Ok(request) => Response::new(Bytes::from(find(request).await.to_bytes())),
        Err(err) => {
            tracing::warn!(part = "peers", event = "unreadable-question", error = ?err);
            plain(StatusCode::BAD_REQUEST, "the request can't be decoded\n")
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Bytes> {
    let mut res = Response::new(Bytes::from_static(text.as_bytes()));
    *res.status_mut() = status;
    res
}
