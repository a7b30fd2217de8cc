//! Reads of chosen keys at a steady pace, to measure when the keys are not served.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam::types::prelude::*;
use tokio::{sync::watch, task::JoinSet};

use super::{Backend, Balancer, Ended, Kind, Note, Notes, Sending, generate::MOST_HOSTS};

/// Time between two reads of a key.
pub const PROBE_EVERY: Duration = Duration::from_millis(100);
/// Deadline of a read. Short, so that few wait at a time for a key that is not served.
const DEADLINE: Duration = Duration::from_millis(1500);

/// Which entry hosts probes are sent through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Through {
    /// Any.
    Any,
    /// Those of this failure domain.
    Inside(FailureDomain),
    /// Those of the other failure domains.
    Outside(FailureDomain),
}

impl Through {
    fn takes(&self, backend: &Backend) -> bool {
        match self {
            Self::Any => true,
            Self::Inside(domain) => backend.domain == *domain,
            Self::Outside(domain) => backend.domain != *domain,
        }
    }
}

/// Running probes.
#[derive(Debug)]
pub struct Probes {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    notes: Notes,
}

impl Probes {
    /// Reads each key at [`PROBE_EVERY`], through hosts that `through` is true for.
    pub fn spawn(
        keys: &[(ServiceName, String)],
        balancer: &Arc<Balancer>,
        through: Through,
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let notes = Notes::default();
        let mut tasks = JoinSet::new();
        for (at, (service, key)) in keys.iter().enumerate() {
            let probe = Probe {
                service: service.clone(),
                key: key.clone(),
                balancer: balancer.clone(),
                notes: notes.clone(),
                through: through.clone(),
            };
            // Spread, so that the reads of all keys don't arrive together.
            let offset = PROBE_EVERY.mul_f64(at as f64 / keys.len() as f64);
            tasks.spawn(probe.run(offset, stopped.clone()));
        }
        Self { stop, tasks, notes }
    }

    /// Stops reading, and gives the notes when all reads have ended.
    pub async fn stop(mut self) -> Vec<Note> {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        self.notes.take()
    }
}

#[derive(Clone)]
struct Probe {
    service: ServiceName,
    key: String,
    balancer: Arc<Balancer>,
    notes: Notes,
    through: Through,
}

impl Probe {
    async fn run(self, offset: Duration, mut stop: watch::Receiver<bool>) {
        let mut reads = JoinSet::new();
        tokio::time::sleep(offset).await;
        let mut tick = tokio::time::interval(PROBE_EVERY);
        for number in 0u64.. {
            tokio::select! {
                _ = tick.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            while reads.try_join_next().is_some() {}
            reads.spawn(self.clone().read(number));
        }
        while reads.join_next().await.is_some() {}
    }

    async fn read(self, number: u64) {
        let sending = Sending {
            method: "GET",
            path: format!("/{}/{}/probe{number}", self.service, self.key),
            deadline: DEADLINE,
            idempotency_key: None,
            service_time: None,
            body: Bytes::new(),
        };
        let hosts =
            self.balancer.shuffled(&mut fastrand::Rng::new(), |host| self.through.takes(host));
        for host in hosts.into_iter().take(MOST_HOSTS) {
            let sent = Instant::now();
            let ended = sending.send(host.addr).await;
            if ended == Ended::NotSent {
                continue;
            }
            self.notes.push(Note {
                kind: Kind::Probe,
                service: self.service,
                key: self.key,
                path: sending.path,
                remembered: false,
                host: host.host,
                sent,
                ended_at: Instant::now(),
                ended,
            });
            return;
        }
    }
}
