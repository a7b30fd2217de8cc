//! HTTP connections of operators: `GET /dump`, `GET /metrics`, `GET /health`.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::timeout,
};

use super::listen::Bounded;
use crate::process::{control::Event, metrics::Metrics};

/// Connections of operators at a time. Few are needed, and they must not take what traffic needs.
const CONNECTIONS: usize = 32;
/// Time in which a connection must have ended. Answers are small.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the control thread must answer.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// What operators may ask for.
#[derive(Debug)]
pub struct Operators {
    /// The control thread.
    pub control: mpsc::Sender<Event>,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Serves operators until the task is dropped.
pub async fn serve_operators(listener: TcpListener, operators: Arc<Operators>) {
    let listener = Bounded::new(listener, CONNECTIONS);
    loop {
        let accepted = listener.accept().await;
        let operators = operators.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| answer(operators.clone(), req));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(CONNECTION_TIMEOUT)
                .serve_connection(TokioIo::new(accepted.stream), service);
            // A slow or broken client ends its own connection only.
            let _ = timeout(CONNECTION_TIMEOUT, connection).await;
            drop(accepted.room);
        });
    }
}

async fn answer(
    operators: Arc<Operators>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if req.method() != Method::GET {
        return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n"));
    }
    Ok(match req.uri().path() {
        "/dump" => dump(&operators).await,
        "/metrics" => text(StatusCode::OK, operators.metrics.scrape()),
        "/health" => text(StatusCode::OK, "alive\n"),
        _ => text(StatusCode::NOT_FOUND, "there are /dump, /metrics and /health\n"),
    })
}

async fn dump(operators: &Operators) -> Response<Full<Bytes>> {
    let (reply, dump) = oneshot::channel();
    let asked = operators.control.send(Event::Dump { reply });
    let answered = timeout(DUMP_TIMEOUT, async { asked.await.ok().and(dump.await.ok()) }).await;
    let Ok(Some(dump)) = answered else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the control thread does not answer\n");
    };
    match serde_json::to_string_pretty(&dump) {
        Ok(json) => with_type(StatusCode::OK, json + "\n", "application/json"),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    with_type(status, text, "text/plain; charset=utf-8")
}

fn with_type(
    status: StatusCode,
    body: impl Into<Bytes>,
    content_type: &'static str,
) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
