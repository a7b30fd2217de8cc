//! Load that arrives at random times, whether earlier requests have ended or not.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use jacinthbeam::{
    entry::request::{answer::VERDICT, call::DEADLINE},
    types::prelude::*,
};
use tokio::task::JoinSet;

use crate::client::Pool;

/// Keys of a service. Many, and all alike, so that no backend server gets more than its share.
const KEYS: u64 = 100_000;
/// Most requests of one service that are open at once, so that the load stays bounded.
const MOST_OPEN: usize = 6_000;
/// How long beyond its deadline a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);

/// What is called.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) service: ServiceName,
    pub(super) method: &'static str,
    pub(super) deadline: Duration,
    pub(super) hosts: Vec<SocketAddr>,
}

/// When requests are counted: those that end in it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

impl Window {
    pub(super) fn starting_in(warm_up: Duration, lasts: Duration) -> Self {
        let from = Instant::now() + warm_up;
        Self { from, until: from + lasts }
    }

    fn contains(&self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

/// How requests ended.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Latencies of those that were answered.
    pub(super) answered: Vec<Duration>,
    /// Refusals that say that the request did not run, by their text.
    pub(super) not_run: BTreeMap<String, u64>,
    /// Refusals that say that the request may have run, by their text.
    pub(super) may_have_run: BTreeMap<String, u64>,
    /// Connections that broke, and answers that never came.
    pub(super) broken: u64,
    /// Requests that were not sent, since too many were open.
    pub(super) not_sent: u64,
}

enum Ended {
    Answered(Duration),
    NotRun(String),
    MayHaveRun(String),
    Broken,
}

/// Load on one service.
pub(super) struct Generator {
    target: Target,
    rate: f64,
    window: Window,
    pool: Arc<Pool>,
}

impl Generator {
    pub(super) fn new(target: Target, rate: f64, window: Window, pool: Arc<Pool>) -> Self {
        Self { target, rate, window, pool }
    }

    pub(super) async fn run(self, mut rng: fastrand::Rng) -> Counts {
        let mut counts = Counts::default();
        let mut open = JoinSet::new();
        let target = Arc::new(self.target);
        let mut next = Instant::now();
        for number in 0u64.. {
            next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate);
            if next >= self.window.until {
                break;
            }
            tokio::time::sleep_until(next.into()).await;
            while let Some(ended) = open.try_join_next() {
                counts.add(self.window, ended.ok());
            }
            if open.len() >= MOST_OPEN {
                counts.not_sent += u64::from(self.window.contains(next));
                continue;
            }
            let host = target.hosts[rng.usize(..target.hosts.len())];
            let key = rng.u64(..KEYS);
            open.spawn(call(target.clone(), self.pool.clone(), host, key, number));
        }
        while let Some(ended) = open.join_next().await {
            counts.add(self.window, ended.ok());
        }
        counts
    }
}

impl Counts {
    fn add(&mut self, window: Window, ended: Option<(Instant, Ended)>) {
        let Some((_, ended)) = ended.filter(|(at, _)| window.contains(*at)) else { return };
        match ended {
            Ended::Answered(took) => self.answered.push(took),
            Ended::NotRun(why) => *self.not_run.entry(why).or_default() += 1,
            Ended::MayHaveRun(why) => *self.may_have_run.entry(why).or_default() += 1,
            Ended::Broken => self.broken += 1,
        }
    }
}

async fn call(
    target: Arc<Target>,
    pool: Arc<Pool>,
    host: SocketAddr,
    key: u64,
    number: u64,
) -> (Instant, Ended) {
    let started = Instant::now();
    let req = Request::builder()
        .method(target.method)
        .uri(format!("/{}/k{key}/{number}", target.service))
        .header(header::HOST, host.to_string())
        .header(DEADLINE, target.deadline.as_millis().to_string())
        .body(Full::<Bytes>::default())
        .expect("all parts are proper");
    let exchange = async {
        let mut connection = pool.take(host).await.ok()?;
        let res = connection.send(req).await?;
        pool.put(host, connection);
        Some(res)
    };
    let res = tokio::time::timeout(target.deadline + PATIENCE, exchange).await;
    let ended = match res {
        Ok(Some(res)) => judge(&res, started.elapsed()),
        Ok(None) | Err(_) => Ended::Broken,
    };
    (Instant::now(), ended)
}

fn judge(res: &Response<Bytes>, took: Duration) -> Ended {
    let verdict = res.headers().get(VERDICT).and_then(|value| value.to_str().ok());
    let why = || String::from_utf8_lossy(res.body()).trim().to_owned();
    match verdict.and_then(|text| text.parse().ok()) {
        Some(Verdict::Ran) if res.status().is_success() => Ended::Answered(took),
        Some(Verdict::NotRun) => Ended::NotRun(why()),
        Some(Verdict::MayHaveRun | Verdict::Ran) => Ended::MayHaveRun(why()),
        None => Ended::Broken,
    }
}
