//! Generators of load: each service's requests arrive at random times, whether earlier ones have ended or not.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam::types::prelude::*;
use tokio::{sync::watch, task::JoinSet};

use super::{Balancer, Ended, Kind, Load, Note, Notes, Sending, ServiceLoad, Zipf};

/// Deadline that callers give.
const DEADLINE: Duration = Duration::from_secs(4);
/// Times that a caller sends one order.
const MOST_SENDS: u32 = 4;
/// Pause of a caller before it sends an order again.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Share of answered orders with an idempotency key that are sent once more, as by a caller that lost the answer.
const NEEDLESS_REPEATS: f64 = 0.05;
/// Hosts that a caller is sent to in turn while none takes the connection.
pub(super) const MOST_HOSTS: usize = 3;

/// Running generators.
#[derive(Debug)]
pub struct Generators {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// What the generator of one service works with.
#[derive(Debug, Clone)]
struct Generator {
    service: ServiceName,
    load: Load,
    rate: ServiceLoad,
    balancer: Arc<Balancer>,
    notes: Notes,
    number: Arc<AtomicU64>,
}

impl Generators {
    /// Starts one generator for each service. The same seed gives the same requests, apart from their times.
    pub fn spawn(load: &Load, seed: u64, balancer: &Arc<Balancer>, notes: &Notes) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let mut rng = fastrand::Rng::with_seed(seed);
        let number = Arc::new(AtomicU64::new(0));
        for (service, rate) in &load.services {
            let generator = Generator {
                service: service.clone(),
                load: load.clone(),
                rate: *rate,
                balancer: balancer.clone(),
                notes: notes.clone(),
                number: number.clone(),
            };
            tasks.spawn(generator.run(rng.fork(), stopped.clone()));
        }
        Self { stop, tasks }
    }

    /// Sends no more, and waits until what was sent has ended.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

impl Generator {
    async fn run(self, mut rng: fastrand::Rng, mut stop: watch::Receiver<bool>) {
        let zipf = Zipf::new(self.load.keys, self.load.zipf);
        let mut callers = JoinSet::new();
        let began = tokio::time::Instant::now();
        let mut next = began;
        loop {
            next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate.rate);
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            while callers.try_join_next().is_some() {}
            let key = self.load.key(zipf.draw(&mut rng), began.elapsed());
            let order = rng.f64() < self.rate.orders;
            let service_time = (rng.f64() < self.load.long).then_some(self.load.long_time);
            let caller = Caller { generator: self.clone(), key, service_time, rng: rng.fork() };
            match order {
                true => callers.spawn(caller.order()),
                false => callers.spawn(caller.read()),
            };
        }
        while callers.join_next().await.is_some() {}
    }
}

/// One caller with one wish.
struct Caller {
    generator: Generator,
    key: String,
    service_time: Option<Duration>,
    rng: fastrand::Rng,
}

impl Caller {
    async fn read(mut self) {
        let sending = Sending {
            method: "GET",
            path: self.path(),
            deadline: DEADLINE,
            idempotency_key: None,
            service_time: self.service_time,
            body: Bytes::new(),
        };
        self.send(Kind::Read, &sending).await;
    }

    /// An order without an idempotency key is repeated only if it was not run. One with a key is repeated after any
    /// failure, through whatever host the balancer picks.
    async fn order(mut self) {
        let path = self.path();
        let keyed = self.rng.f64() < self.generator.load.keyed;
        let sending = Sending {
            method: "POST",
            idempotency_key: keyed.then(|| path.trim_matches('/').replace('/', ":")),
            body: Bytes::from(format!("order {path}")),
            path,
            deadline: DEADLINE,
            service_time: self.service_time,
        };
        for _ in 0..MOST_SENDS {
            let (ended, verdict) = self.send(Kind::Order, &sending).await;
            let unsent = ended == Ended::NotSent || verdict == Some(Verdict::NotRun);
            let again = match verdict {
                Some(Verdict::Ran) => keyed && self.rng.f64() < NEEDLESS_REPEATS,
                _ => keyed || unsent,
            };
            if !again {
                return;
            }
            tokio::time::sleep(REPEAT_AFTER).await;
        }
    }

    fn path(&self) -> String {
        let number = self.generator.number.fetch_add(1, Ordering::Relaxed);
        format!("/{}/{}/n{number}", self.generator.service, self.key)
    }

    async fn send(&mut self, kind: Kind, sending: &Sending) -> (Ended, Option<Verdict>) {
        let hosts = self.generator.balancer.shuffled(&mut self.rng, |_| true);
        for host in hosts.into_iter().take(MOST_HOSTS) {
            let sent = Instant::now();
            let ended = sending.send(host.addr).await;
            if ended == Ended::NotSent {
                continue;
            }
            let note = Note {
                kind,
                service: self.generator.service.clone(),
                key: self.key.clone(),
                path: sending.path.clone(),
                remembered: sending.idempotency_key.is_some(),
                host: host.host,
                sent,
                ended_at: Instant::now(),
                ended: ended.clone(),
            };
            let verdict = note.verdict();
            self.generator.notes.push(note);
            return (ended, verdict);
        }
        (Ended::NotSent, None)
    }
}
