//! One request over HTTP, on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthbeam::{
    entry::request::{
        answer::{REQUEST, VERDICT},
        call::{DEADLINE, IDEMPOTENCY_KEY},
    },
    types::prelude::*,
};
use jacinthbeam_standin::backend::{Echo, SERVICE_MS};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use super::note::{Answered, Ended};

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_millis(500);
/// How long beyond the deadline a caller waits, to tell a late answer from one that never comes.
const PATIENCE: Duration = Duration::from_secs(3);

/// What to send.
#[derive(Debug, Clone)]
pub struct Sending {
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path, which names service and key.
    pub path: String,
    /// Deadline that the router is told.
    pub deadline: Duration,
    /// The caller's name for the effect that it wants at most once.
    pub idempotency_key: Option<String>,
    /// Time that the backend server takes, if not its own.
    pub service_time: Option<Duration>,
    /// Body of the request.
    pub body: Bytes,
}

impl Sending {
    /// Sends it to a host and waits for its end.
    pub async fn send(&self, host: SocketAddr) -> Ended {
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(host)).await else {
            return Ended::NotSent;
        };
        let _ = stream.set_nodelay(true);
        let until = Instant::now() + self.deadline + PATIENCE;
        match timeout_at(until, self.exchange(stream, host)).await {
            Ok(Some(answered)) => Ended::Answered(answered),
            Ok(None) => Ended::Broken,
            Err(_) => Ended::Late,
        }
    }

    /// `None` if the connection ended before the whole answer.
    async fn exchange(&self, stream: TcpStream, host: SocketAddr) -> Option<Answered> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let exchange = async {
            let res = sender.send_request(self.request(host)).await.ok()?;
            let (parts, body) = res.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(self.judge(&Response::from_parts(parts, ()), &body))
        };
        let mut exchange = std::pin::pin!(exchange);
        // An error of the connection reaches the exchange too.
        tokio::select! {
            answered = &mut exchange => answered,
            _ = connection => exchange.await,
        }
    }

    fn request(&self, host: SocketAddr) -> Request<Full<Bytes>> {
        let mut req = Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header(header::HOST, host.to_string())
            .header(DEADLINE, self.deadline.as_millis().to_string());
        if let Some(key) = &self.idempotency_key {
            req = req.header(IDEMPOTENCY_KEY, key);
        }
        if let Some(time) = self.service_time {
            req = req.header(SERVICE_MS, time.as_millis().to_string());
        }
        req.body(Full::new(self.body.clone())).expect("all parts are proper")
    }

    fn judge(&self, res: &Response<()>, body: &Bytes) -> Answered {
        let text = |name: &str| res.headers().get(name).and_then(|value| value.to_str().ok());
        let verdict: Option<Verdict> = text(VERDICT).and_then(|text| text.parse().ok());
        let is_answer = verdict == Some(Verdict::Ran) && res.status().is_success();
        Answered {
            status: res.status().as_u16(),
            verdict,
            request: text(REQUEST).and_then(|text| text.parse().ok()),
            refusal: match is_answer {
                true => String::new(),
                false => String::from_utf8_lossy(body).trim().to_owned(),
            },
            own: !is_answer || self.is_own(body),
        }
    }

    /// Whether the answer is whole and about this request.
    fn is_own(&self, body: &Bytes) -> bool {
        let Ok(echo) = serde_json::from_slice::<Echo>(body) else { return false };
        echo.method == self.method
            && echo.path == self.path
            && echo.body_bytes == self.body.len() as u64
    }
}
