//! HTTP server for operators and load balancers: readiness, metrics, dump.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::spawn_local};

use crate::request::answer;

/// Answers each request with the result of `page`, called with method and path. Runs forever.
pub async fn serve<F>(listener: TcpListener, page: impl Fn(&Method, &str) -> F + 'static)
where
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let page = Rc::new(page);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!(part = "pages", event = "accept-failed", error = ?err);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let page = page.clone();
        let service = service_fn(move |req: http::Request<hyper::body::Incoming>| {
            let res = page(req.method(), req.uri().path());
            async move { Ok::<_, Infallible>(res.await) }
        });
        spawn_local(async move {
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(err) = conn.await {
                tracing::debug!(part = "pages", event = "ended", error = ?err);
            }
        });
    }
}

/// Readiness page for load balancers: whether this host accepts new callers.
pub fn ready(ready: bool) -> Response<Full<Bytes>> {
    match ready {
        true => answer::plain(StatusCode::OK, "ready".into()),
        false => answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready".into()),
    }
}
