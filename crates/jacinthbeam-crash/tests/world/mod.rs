//! Hosts that exchange what they saw of servers that ended, in virtual time, with messages that are late or lost.
//!
//! Whom a host asks follows the program's rules in short: the first host of its failure domain, and that one the first of each other
//! domain. Everything else is decided by the crate under test.

mod news;
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
use news::Ask;

/// Milliseconds of one step.
const STEP: u64 = 10;

/// Milliseconds between two times that a host tells of facts.
const TELL_EVERY: u64 = 50;

/// Milliseconds from the start of a host to its first caller.
const READY_IN: u64 = 1000;

/// What goes wrong, by chance.
#[derive(Clone, Copy)]
pub struct Odds {
    /// Of a message to be lost.
    pub lost: f64,
    /// Longest way of a message, in milliseconds.
    pub latency: u64,
    /// Ordinary requests that run on a server when it ends, at the most.
    pub running: usize,
}

struct Host {
    domain: usize,
    life: u64,
    starts_at: u64,
    exchange: Exchange,
    suspects: Suspects,
    told_at: u64,
    told_end: u64,
    asks: BTreeMap<usize, Ask>,
    recent: RecentSuccesses,
    prober: Prober,
    /// Whether it has read the store since its start.
    has_read: bool,
    wrote_at: Option<u64>,
}

pub struct World {
    pub now: u64,
    pub rng: fastrand::Rng,
    odds: Odds,
    begun: Instant,
    hosts: Vec<Host>,
    domains: usize,
    cut: Option<usize>,
    lives: u64,
    /// Servers that have ended so far.
    servers: u32,
    /// What the store holds.
    store: BTreeMap<usize, Evidence>,
    /// Writes on their way to it: when they are kept, and of which host.
    writes: Vec<(u64, usize, Evidence)>,
    /// Writes so far.
    pub written: u32,
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
    pub fn new(hosts: usize, domains: usize, odds: Odds, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            odds,
            begun: Instant::now(),
            hosts: Vec::new(),
            domains,
            cut: None,
            lives: 0,
            servers: 0,
            store: BTreeMap::new(),
            writes: Vec::new(),
            written: 0,
        };
        for n in 0..hosts {
            let host = world.host(n, 0);
            world.hosts.push(host);
        }
        world.run_for(READY_IN);
        world
    }

    fn host(&mut self, n: usize, starts_at: u64) -> Host {
        self.lives += 1;
        Host {
            domain: n % self.domains,
            life: self.lives,
            starts_at,
            exchange: Exchange::new(format!("h{n}").parse().unwrap(), Incarnation(self.lives)),
            suspects: Suspects::default(),
            told_at: 0,
            told_end: 0,
            asks: BTreeMap::new(),
            recent: RecentSuccesses::default(),
            prober: Prober::default(),
            has_read: false,
            wrote_at: None,
        }
    }

    /// The process of a host ends and starts again.
    pub fn restart(&mut self, n: usize) {
        let starts_at = self.now + self.rng.u64(100..1500);
        // What a process that ends had under way may be lost.
        self.writes.retain(|(_, of, ..)| *of != n);
        self.hosts[n] = self.host(n, starts_at);
    }

    pub fn restart_all(&mut self) {
        (0..self.hosts.len()).for_each(|n| self.restart(n));
    }

    /// Cuts a failure domain off from the others, or heals that.
    pub fn cut(&mut self, domain: Option<usize>) {
        self.cut = domain;
    }

    pub fn domain(&self, n: usize) -> usize {
        self.hosts[n].domain
    }

    /// Whether callers reach a host.
    pub fn serves(&self, n: usize) -> bool {
        self.now >= self.hosts[n].starts_at + READY_IN
    }

    fn runs(&self, n: usize) -> bool {
        self.now >= self.hosts[n].starts_at
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        let across = |n: usize| Some(self.hosts[n].domain) == self.cut;
        self.runs(a) && self.runs(b) && across(a) == across(b)
    }

    fn at(&self) -> Instant {
        self.begun + Duration::from_millis(self.now)
    }

    pub fn refuses(&self, n: usize, of: u64, by: u64) -> bool {
        self.hosts[n].suspects.is_quarantined(&request(of), caller(by))
    }

    /// Whether a host sends an attempt of a request, as requests are admitted.
    pub fn admits(&mut self, n: usize, of: u64, by: u64) -> bool {
        if self.refuses(n, of, by) {
            return false;
        }
        let (at, time_of_day) = (self.at(), self.time_of_day());
        let rank = Rank { index: n as u32, hosts: self.hosts.len() as u32 };
        let host = &mut self.hosts[n];
        let (request, caller) = (request(of), caller(by));
        let Some(last) = host.suspects.on_probation(&request, caller) else { return true };
        host.prober.admit(request, rank, at.saturating_duration_since(last), time_of_day)
    }

    /// A server ends under attempts of one request from several callers, each at a host of its own.
    pub fn end_server_under(&mut self, of: u64, attempts: &[(usize, u64)]) {
        self.servers += 1;
        let server = ServerName::into(format!("s{}", self.servers).parse().unwrap());
        for (n, by) in attempts {
            let caller = caller(*by);
            self.see(*n, of, Outcome::Crashed { server: ServerId::clone(&server), caller });
        }
    }

    /// A server ends under this request, and under ordinary ones of other hosts.
    pub fn end_server(&mut self, n: usize, of: Option<(u64, u64)>) {
        self.servers += 1;
        let server = ServerName::into(format!("s{}", self.servers).parse().unwrap());
        let mut running: Vec<(usize, (u64, u64))> = of.map(|of| (n, of)).into_iter().collect();
        for _ in 0..self.rng.usize(0..=self.odds.running) {
            let at = self.rng.usize(..self.hosts.len());
            running.push((at, (1000 + self.rng.u64(..1 << 40), self.rng.u64(1..200))));
        }
        for (at, (of, by)) in running {
            self.see(
                at,
                of,
                Outcome::Crashed { server: ServerId::clone(&server), caller: caller(by) },
            );
        }
    }

    /// A host sees something.
    pub fn see(&mut self, n: usize, of: u64, outcome: Outcome) {
        let at = self.at();
        if self.runs(n) {
            self.hosts[n].exchange.observe(Fact { request: request(of), outcome, at }, at);
        }
    }

    /// Facts that hosts have come to know so far, all hosts together.
    pub fn facts_known(&self) -> u64 {
        self.hosts.iter().map(|host| host.exchange.end().0).sum()
    }

    /// An ordinary request of a caller is answered at a host, if that doesn't refuse it. Returns whether it is.
    pub fn answer(&mut self, n: usize, of: u64, by: u64) -> bool {
        if self.refuses(n, of, by) {
            return false;
        }
        let at = self.at();
        self.hosts[n].recent.add(head(of), Bytes::new(), caller(by), at);
        if self.hosts[n].suspects.get(&request(of)).is_some() {
            self.see(n, of, Outcome::Succeeded { caller: caller(by) });
        }
        true
    }

    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.write();
            (0..self.hosts.len())
                .filter(|n| self.runs(*n))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|n| {
                    self.tell(n);
                    self.ask(n);
                });
        }
    }

    fn time_of_day(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.now)
    }

    /// Makes new facts act.
    fn tell(&mut self, n: usize) {
        self.record(n);
        let (now, at) = (self.now, self.at());
        let host = &mut self.hosts[n];
        let end = host.exchange.end().0;
        if end != host.told_end && now >= host.told_at + TELL_EVERY {
            (host.told_at, host.told_end) = (now, end);
            host.suspects = host.exchange.suspects();
            for fact in host.recent.facts_for(&host.suspects) {
                host.exchange.observe(fact, at);
            }
        }
    }
}
