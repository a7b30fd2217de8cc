//! Answers update requests from other hosts.

use std::{convert::Infallible, net::TcpListener, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, rt::Executor, server::conn::http2, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::task::spawn_local;

use super::update::{self, StateUpdate, UpdateRequest};
use crate::request::answer;

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

/// Answers each request with the update that `find` returns, which may wait. Runs forever.
pub(crate) async fn run<F: Future<Output = StateUpdate> + 'static>(
    listener: TcpListener,
    find: impl Fn(UpdateRequest) -> F + 'static,
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
        let find = find.clone();
        let service = service_fn(move |req| {
            let find = find.clone();
            async move { Ok::<_, Infallible>(answer_one(req, &*find).await) }
        });
        spawn_local(async move {
            let conn = http2::Builder::new(LocalExecutor);
            if let Err(err) = conn.serve_connection(TokioIo::new(stream), service).await {
                tracing::debug!(part = "peers", event = "ended", error = ?err);
            }
        });
    }
}

async fn answer_one<F: Future<Output = StateUpdate>>(
    req: Request<Incoming>,
    find: &impl Fn(UpdateRequest) -> F,
) -> Response<Full<Bytes>> {
    if req.uri().path() != PATH {
        return answer::plain(StatusCode::NOT_FOUND, format!("hosts ask at {PATH}"));
    }
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
    let Ok(bytes) = body.map(|body| body.to_bytes()) else {
        return answer::plain(StatusCode::PAYLOAD_TOO_LARGE, "the question is too long".into());
    };
    match update::from_bytes(&bytes) {
        Ok(request) => {
            Response::new(Full::new(Bytes::from(update::to_bytes(&find(request).await))))
        }
        Err(err) => {
            tracing::warn!(part = "peers", event = "unreadable-question", error = ?err);
            answer::plain(StatusCode::BAD_REQUEST, "the question can't be read".into())
        }
    }
}
