//! Callers: an open loop of requests at a steady rate, through random hosts.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthbeam::{
    native::request::{DEADLINE, KEY, REQUEST, VERDICT},
    range::Key,
    types::prelude::*,
};
use tokio::net::TcpStream;

/// What callers wait for at the most.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// Keys of a service that are asked for.
const KEYS: usize = 2000;

/// Exponent of the distribution of requests over keys: the busiest of 2000 keys gets one in nine.
const SKEW: f64 = 0.9;

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Name of the attempt; unique.
    pub id: String,
    /// Path that leads to the service.
    pub path: String,
    /// The service.
    pub service: ServiceName,
    /// Text of the key, if the service has any.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// A success, whole.
    Ran,
    /// A refusal with the promise that it did not run.
    NotRun,
    /// A failure that promises nothing.
    MayHaveRun,
    /// No answer: the connection was refused, broke off, or stayed silent for too long.
    Nothing,
}

/// One request and its end.
#[derive(Debug, Clone)]
pub struct Note {
    /// The request.
    pub ask: Ask,
    /// Number of its key.
    pub key: Option<Key>,
    /// The host that took it.
    pub host: SocketAddr,
    /// When it was sent.
    pub sent: Instant,
    /// When the caller knew the end.
    pub ended: Instant,
    /// What the caller was told.
    pub told: Told,
}

/// Draws keys: few of them are asked for often.
#[derive(Debug)]
pub struct Keys {
    /// Sums of the weights.
    sums: Vec<f64>,
}

impl Default for Keys {
    fn default() -> Self {
        let mut sum = 0.0;
        let weights = (1..=KEYS).map(|rank| (rank as f64).powf(-SKEW));
        Self {
            sums: weights
                .map(|weight| {
                    sum += weight;
                    sum
                })
                .collect(),
        }
    }
}

impl Keys {
    /// A key's text.
    pub fn draw(&self, rng: &mut fastrand::Rng) -> String {
        let at = rng.f64() * self.sums.last().copied().unwrap_or_default();
        format!("key-{}", self.sums.partition_point(|sum| *sum <= at))
    }
}

/// Asks once, through `host`.
pub async fn ask(host: SocketAddr, ask: Ask) -> Note {
    let sent = Instant::now();
    let key = ask.key.as_ref().map(|key| jacinthbeam::native::request::key_of(key.as_bytes()));
    // The host's own answer to a passed deadline comes a little after it.
    let within = PATIENCE + Duration::from_millis(500);
    let told = match tokio::time::timeout(within, exchange(host, &ask)).await {
        Ok(Some(told)) => told,
        Ok(None) | Err(_) => Told::Nothing,
    };
    Note { ask, key, host, sent, ended: Instant::now(), told }
}

async fn exchange(host: SocketAddr, ask: &Ask) -> Option<Told> {
    let method = if ask.idempotent { Method::GET } else { Method::POST };
    let mut req = Request::builder()
        .method(method)
        .uri(&ask.path)
        .header(header::HOST, "load.example")
        .header(REQUEST, &ask.id)
        .header(DEADLINE, PATIENCE.as_millis() as u64);
    if let Some(key) = &ask.key {
        req = req.header(KEY, key);
    }
    let req = req.body(Empty::<Bytes>::new()).expect("paths and ids are valid");
    let (status, verdict) = send(host, req).await?;
    Some(match verdict.as_ref().and_then(|text| text.to_str().ok()?.parse().ok()) {
        Some(Verdict::Ran) if status.is_success() => Told::Ran,
        Some(Verdict::NotRun) => Told::NotRun,
        _ => Told::MayHaveRun,
    })
}

/// Status and verdict of a whole answer.
async fn send(
    host: SocketAddr,
    req: Request<Empty<Bytes>>,
) -> Option<(StatusCode, Option<HeaderValue>)> {
    let stream = TcpStream::connect(host).await.ok()?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(conn);
    let res = sender.send_request(req).await.ok();
    let answer = match res {
        Some(res) => {
            let head = (res.status(), res.headers().get(VERDICT).cloned());
            res.into_body().collect().await.ok().map(|_| head)
        }
        None => None,
    };
    driver.abort();
    answer
}

/// Whether a host says that it takes callers.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let req = Request::get("/readyz").header(header::HOST, "balancer");
    let req = req.body(Empty::new()).expect("the path is valid");
    send(addr, req).await.is_some_and(|(status, _)| status == StatusCode::OK)
}
