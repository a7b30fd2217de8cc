//! Simulation, in virtual time, of hosts that exchange evidence of crashes while messages are
//! delayed or lost.
//!
//! Which peers a host polls is a simplified form of the real rules: the first host of its failure
//! domain, and that host polls the first one of each other domain. Everything else is decided by
//! the crate under test.
//!
//! Hosts, requests and callers are numbered: `n` is a host, `of` a request and `by` a caller.

mod poll;
mod store;

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use jacinthbeam_crash::{
    Evidence, Exchange, Fact, Fingerprint, Outcome, Prober, RecentSuccesses, Suspects,
    fingerprint::HeadDigest, probe::Rank,
};
use jacinthbeam_types::prelude::*;
use poll::Poll;

/// Simulated time of one step, in milliseconds.
const STEP_MS: u64 = 10;

/// Minimum time between two publications of new facts by a host, in milliseconds.
const PUBLISH_EVERY_MS: u64 = 50;

/// Time from the start of a host to its first caller, in milliseconds.
const STARTUP_MS: u64 = 1000;

/// Random conditions of a simulation.
#[derive(Clone, Copy)]
pub struct Conditions {
    /// Probability that a message is lost.
    pub message_loss: f64,
    /// Maximum latency of a message, in milliseconds.
    pub max_latency_ms: u64,
    /// Maximum number of ordinary requests that run on a server when it crashes.
    pub max_bystanders: usize,
}

struct Host {
    domain: usize,
    incarnation: u64,
    starts_at: u64,
    exchange: Exchange,
    suspects: Suspects,
    published_at: u64,
    published_end: u64,
    polls: BTreeMap<usize, Poll>,
    recent: RecentSuccesses,
    prober: Prober,
    /// Whether it has read the store since its start.
    has_read: bool,
    wrote_at: Option<u64>,
}

pub struct World {
    pub now: u64,
    pub rng: fastrand::Rng,
    conditions: Conditions,
    start: Instant,
    hosts: Vec<Host>,
    domains: usize,
    /// The failure domain that is partitioned from the others.
    partitioned: Option<usize>,
    /// Incarnations of hosts so far.
    incarnations: u64,
    /// Servers that have crashed so far.
    crashed_servers: u32,
    /// Records in the store, by host.
    store: BTreeMap<usize, Evidence>,
    /// Writes in flight: when they complete, and of which host.
    pending_writes: Vec<(u64, usize, Evidence)>,
    /// Number of writes so far.
    pub writes: u32,
}

fn head(n: u64) -> HeadDigest {
    HeadDigest::of(&[b"GET", &n.to_be_bytes()])
}

fn request(n: u64) -> Fingerprint {
    Fingerprint::of(head(n), b"")
}

fn caller(n: u64) -> IpAddr {
    Ipv4Addr::from(n as u32).into()
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n as u16 + 1))
}

impl World {
    pub fn new(hosts: usize, domains: usize, conditions: Conditions, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            conditions,
            start: Instant::now(),
            hosts: Vec::new(),
            domains,
            partitioned: None,
            incarnations: 0,
            crashed_servers: 0,
            store: BTreeMap::new(),
            pending_writes: Vec::new(),
            writes: 0,
        };
        for n in 0..hosts {
            let host = world.host(n, 0);
            world.hosts.push(host);
        }
        world.run_for(STARTUP_MS);
        world
    }

    fn host(&mut self, n: usize, starts_at: u64) -> Host {
        self.incarnations += 1;
        Host {
            domain: n % self.domains,
            incarnation: self.incarnations,
            starts_at,
            exchange: Exchange::new(
                format!("h{n}").parse().unwrap(),
                Incarnation(self.incarnations),
            ),
            suspects: Suspects::default(),
            published_at: 0,
            published_end: 0,
            polls: BTreeMap::new(),
            recent: RecentSuccesses::default(),
            prober: Prober::default(),
            has_read: false,
            wrote_at: None,
        }
    }

    /// Restarts the process of a host.
    pub fn restart(&mut self, n: usize) {
        let starts_at = self.now + self.rng.u64(100..1500);
        // Writes in flight are lost with the process.
        self.pending_writes.retain(|(_, of, ..)| *of != n);
        self.hosts[n] = self.host(n, starts_at);
    }

    pub fn restart_all(&mut self) {
        (0..self.hosts.len()).for_each(|n| self.restart(n));
    }

    /// Partitions a failure domain from the others; `None` heals the partition.
    pub fn partition(&mut self, domain: Option<usize>) {
        self.partitioned = domain;
    }

    pub fn domain(&self, n: usize) -> usize {
        self.hosts[n].domain
    }

    /// Whether a host is ready to serve callers.
    pub fn is_ready(&self, n: usize) -> bool {
        self.now >= self.hosts[n].starts_at + STARTUP_MS
    }

    fn is_running(&self, n: usize) -> bool {
        self.now >= self.hosts[n].starts_at
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let is_inside = |n: usize| Some(self.hosts[n].domain) == self.partitioned;
        self.is_running(a) && self.is_running(b) && is_inside(a) == is_inside(b)
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Whether a host refuses a request because it is quarantined.
    pub fn refuses(&self, n: usize, of: u64, by: u64) -> bool {
        self.hosts[n].suspects.is_quarantined(&request(of), caller(by))
    }

    /// Whether a host admits an attempt of a request, under quarantine and probation.
    pub fn admits(&mut self, n: usize, of: u64, by: u64) -> bool {
        if self.refuses(n, of, by) {
            return false;
        }
        let (at, time_of_day) = (self.instant(), self.time_of_day());
        let rank = Rank { index: n as u32, hosts: self.hosts.len() as u32 };
        let host = &mut self.hosts[n];
        let (request, caller) = (request(of), caller(by));
        let Some(last) = host.suspects.on_probation(&request, caller) else { return true };
        host.prober.admit(request, rank, at.saturating_duration_since(last), time_of_day)
    }

    /// Crashes a server under attempts of one request, given as pairs of host and caller.
    pub fn crash_server_under(&mut self, of: u64, attempts: &[(usize, u64)]) {
        self.crashed_servers += 1;
        let server = ServerName::into(format!("s{}", self.crashed_servers).parse().unwrap());
        for (n, by) in attempts {
            let caller = caller(*by);
            self.observe(*n, of, Outcome::Crashed { server: ServerId::clone(&server), caller });
        }
    }

    /// Crashes a server that runs this request, given as request and caller, and ordinary ones.
    pub fn crash_server(&mut self, n: usize, of: Option<(u64, u64)>) {
        self.crashed_servers += 1;
        let server = ServerName::into(format!("s{}", self.crashed_servers).parse().unwrap());
        let mut running: Vec<(usize, (u64, u64))> = of.map(|of| (n, of)).into_iter().collect();
        for _ in 0..self.rng.usize(0..=self.conditions.max_bystanders) {
            let at = self.rng.usize(..self.hosts.len());
            running.push((at, (1000 + self.rng.u64(..1 << 40), self.rng.u64(1..200))));
        }
        for (at, (of, by)) in running {
            self.observe(
                at,
                of,
                Outcome::Crashed { server: ServerId::clone(&server), caller: caller(by) },
            );
        }
    }

    /// Makes a host observe an outcome.
    pub fn observe(&mut self, n: usize, of: u64, outcome: Outcome) {
        let at = self.instant();
        if self.is_running(n) {
            self.hosts[n].exchange.observe(Fact { request: request(of), outcome, at }, at);
        }
    }

    /// Number of facts that hosts have merged so far, summed over all hosts.
    pub fn total_facts(&self) -> u64 {
        self.hosts.iter().map(|host| host.exchange.end().0).sum()
    }

    /// Serves an ordinary request of a caller at a host, unless the host refuses it. Returns
    /// whether it was served.
    pub fn serve(&mut self, n: usize, of: u64, by: u64) -> bool {
        if self.refuses(n, of, by) {
            return false;
        }
        let at = self.instant();
        self.hosts[n].recent.add(head(of), Bytes::new(), caller(by), at);
        if self.hosts[n].suspects.get(&request(of)).is_some() {
            self.observe(n, of, Outcome::Succeeded { caller: caller(by) });
        }
        true
    }

    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            self.complete_writes();
            (0..self.hosts.len())
                .filter(|n| self.is_running(*n))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|n| {
                    self.publish(n);
                    self.poll(n);
                });
        }
    }

    fn time_of_day(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.now)
    }

    /// Applies new facts to the decisions of a host.
    fn publish(&mut self, n: usize) {
        self.record(n);
        let (now, at) = (self.now, self.instant());
        let host = &mut self.hosts[n];
        let end = host.exchange.end().0;
        if end != host.published_end && now >= host.published_at + PUBLISH_EVERY_MS {
            (host.published_at, host.published_end) = (now, end);
            host.suspects = host.exchange.suspects();
            for fact in host.recent.facts_for(&host.suspects) {
                host.exchange.observe(fact, at);
            }
        }
    }
}
