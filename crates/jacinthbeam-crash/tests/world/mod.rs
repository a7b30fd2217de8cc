//! Hosts that exchange what they saw of servers that ended, in virtual time, with messages that are late or lost.
//!
//! Whom a host asks follows the program's rules in short: the first host of its failure domain, and that one the first of each other
//! domain. Everything else is decided by the crate under test.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use jacinthbeam_crash::{
    Evidence, Exchange, Fact, Fingerprint, Outcome, Prober, RecentAnswers, Suspects,
    exchange::{Answer, Question},
    fingerprint::Head,
    probe::Rank,
};
use jacinthbeam_types::prelude::*;

/// Milliseconds of one step.
const STEP: u64 = 10;

/// Milliseconds that a host waits for news within its domain and across, before it answers without.
const WAIT_NEAR: u64 = 700;
const WAIT_FAR: u64 = 2000;

/// Milliseconds beyond that wait after which a question counts as lost, and until the next one.
const LOST_AFTER: u64 = 300;
const NEXT_IN: u64 = 300;

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
    recent: RecentAnswers,
    prober: Prober,
    /// Whether it has read the store since its start.
    has_read: bool,
    wrote_at: Option<u64>,
}

/// A question on its way, at the other host, or its answer on its way back.
struct Ask {
    question: Question,
    at: u64,
    arrives: Option<u64>,
    waits_until: u64,
    answer: Option<(u64, Answer)>,
    gives_up: u64,
    /// Life of the host that it is at.
    to_life: u64,
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

/// Milliseconds until a write is kept, and from one write of a host to the next.
const WRITE_TAKES: u64 = 20;
const WRITE_EVERY: u64 = 200;

fn head(n: u64) -> Head {
    Head::of(&[b"GET", &n.to_be_bytes()])
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
            recent: RecentAnswers::default(),
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
        self.hosts[n].suspects.refuse(&request(of), caller(by))
    }

    /// Whether a host sends an attempt of a request, as requests are admitted.
    pub fn admits(&mut self, n: usize, of: u64, by: u64) -> bool {
        if self.refuses(n, of, by) {
            return false;
        }
        let (at, time_of_day) = (self.at(), self.time_of_day());
        let rank = Rank { of: n as u32, among: self.hosts.len() as u32 };
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
            self.hosts[n].exchange.see(Fact { request: request(of), outcome, at }, at);
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

    /// Keeps what has reached the store.
    fn write(&mut self) {
        let now = self.now;
        for (_, n, evidence) in self.writes.extract_if(.., |write| write.0 <= now) {
            self.store.insert(n, evidence);
        }
    }

    fn time_of_day(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.now)
    }

    /// Reads the store once, and writes what there is to write.
    fn record(&mut self, n: usize) {
        let (at, time_of_day) = (self.at(), self.time_of_day());
        let is_reader = self.first_before(n).is_none();
        let host = &mut self.hosts[n];
        if !std::mem::replace(&mut host.has_read, true) {
            for evidence in self.store.values() {
                host.exchange.take_recorded(evidence.clone(), at, time_of_day);
            }
        }
        if !is_reader || host.wrote_at.is_some_and(|at| self.now < at + WRITE_EVERY) {
            return;
        }
        if let Some(evidence) = host.exchange.take_record(at, time_of_day) {
            host.wrote_at = Some(self.now);
            self.writes.push((self.now + WRITE_TAKES, n, evidence));
            self.written += 1;
        }
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
            for fact in host.recent.clear(&host.suspects) {
                host.exchange.see(fact, at);
            }
        }
    }

    /// The host of its failure domain that a host follows.
    fn first_before(&self, n: usize) -> Option<usize> {
        let before = (n % self.domains..n).step_by(self.domains);
        before.into_iter().find(|other| self.reach(n, *other))
    }

    /// Whom a host asks.
    fn asked(&self, n: usize) -> Vec<usize> {
        let domains = self.domains;
        match self.first_before(n) {
            Some(first) => vec![first],
            None => {
                let far = (0..domains).filter(|domain| *domain != n % domains);
                far.filter_map(|d| (d..self.hosts.len()).step_by(domains).next()).collect()
            }
        }
    }

    fn ask(&mut self, n: usize) {
        for to in self.asked(n) {
            match self.hosts[n].asks.remove(&to) {
                Some(ask) => self.go_on(n, to, ask),
                None => self.begin(n, to),
            }
        }
    }

    fn begin(&mut self, n: usize, to: usize) {
        let at = self.at();
        let wait = if self.domain(n) == self.domain(to) { WAIT_NEAR } else { WAIT_FAR };
        let question = self.hosts[n].exchange.question(addr(to), at);
        let is_whole = question.end == self.hosts[n].exchange.end();
        let wait = if is_whole { wait } else { 0 };
        let arrives = self.way(n, to);
        let ask = Ask {
            question,
            at: self.now,
            arrives,
            waits_until: self.now + wait,
            answer: None,
            gives_up: self.now + wait + LOST_AFTER,
            to_life: self.hosts[to].life,
        };
        self.hosts[n].asks.insert(to, ask);
    }

    /// When a message arrives that is sent now.
    fn way(&mut self, from: usize, to: usize) -> Option<u64> {
        let arrives = self.now + self.rng.u64(1..=self.odds.latency);
        (self.reach(from, to) && self.rng.f64() >= self.odds.lost).then_some(arrives)
    }

    fn go_on(&mut self, n: usize, to: usize, mut ask: Ask) {
        let (now, at) = (self.now, self.at());
        if let Some((arrives, answer)) = ask.answer.take() {
            if now >= arrives {
                self.hosts[n].exchange.on_answer(addr(to), answer, at);
                return;
            }
            ask.answer = Some((arrives, answer));
        } else if self.is_waiting(to, &ask) {
            let answer = self.hosts[to].exchange.answer(&ask.question, at);
            ask.question.facts.clear();
            if !answer.facts.is_empty() || now >= ask.waits_until {
                ask.answer = self.way(to, n).map(|arrives| (arrives, answer));
                ask.arrives = None;
            }
        }
        let more = self.hosts[n].exchange.to_tell() > ask.question.end;
        let asks_anew =
            more && ask.waits_until > ask.at && self.hosts[n].told_end > ask.question.end.0;
        if now >= ask.gives_up + NEXT_IN || asks_anew {
            return;
        }
        self.hosts[n].asks.insert(to, ask);
    }

    /// Whether a question is at a host that runs on since it was asked.
    fn is_waiting(&self, to: usize, ask: &Ask) -> bool {
        let has_come = ask.arrives.is_some_and(|arrives| self.now >= arrives);
        has_come && self.runs(to) && self.hosts[to].life == ask.to_life
    }
}
