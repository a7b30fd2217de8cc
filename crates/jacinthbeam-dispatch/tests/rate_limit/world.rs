//! A fleet and a server that states a rate limit, without network and on a simulated clock.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::rate_limit::{Admission, KnownLimit, PermitIssuer, Statement, issuer};
use jacinthbeam_types::prelude::*;

/// What the server may get in any window from hosts that know its limit.
pub const WINDOW_MS: u64 = 4000;
pub const OVERRUN: f64 = 1.5;
pub const SLACK: f64 = 5.0;

/// Time in which a host that has passed on a limit has to obey it.
const TIME_TO_OBEY_MS: u64 = 500;

/// Time that an answer of the server takes, and the longest way of a request there.
const ANSWER_MS: u64 = 200;
const MAX_TRANSIT_MS: u64 = 300;

/// Longest way of a datagram between hosts, which have a small share of a processor.
const MAX_DATAGRAM_MS: u64 = 100;

/// How long a host leaves a server alone whose issuers are silent.
const SILENCE_BLOCK: Duration = Duration::from_millis(250);

const STEP_MS: u64 = 10;

struct Host {
    id: HostId,
    limit: KnownLimit,
    issuer: PermitIssuer,
    /// Index into [`World::lists`].
    list: usize,
    /// When it first got an answer with a limit.
    told_ms: Option<u64>,
    frozen_until_ms: u64,
    /// Requests from it are not counted until then, as after a restart or a freeze.
    excused_until_ms: u64,
}

/// An answer on its way.
struct Answer {
    at_ms: u64,
    to: usize,
    sent: Instant,
    rate: Option<Rate>,
}

pub struct World {
    begun: Instant,
    hosts: Vec<Host>,
    /// The host lists in use, each with the issuers that it selects.
    lists: Vec<Vec<HostId>>,
    answers: Vec<Answer>,
    /// Arrivals at the server that count.
    arrivals_ms: Vec<u64>,
    /// Requests that were sent to the server, and those that were refused.
    pub served: u64,
    pub refused: u64,
    /// Whether each host issues permits to itself, which is what sharing prevents.
    pub alone: bool,
    rng: fastrand::Rng,
}

pub fn server() -> ServerId {
    "s1".parse().unwrap()
}

pub fn host_id(n: usize) -> HostId {
    format!("h{n}").parse().unwrap()
}

impl World {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let begun = Instant::now();
        let host = |n| Host {
            id: host_id(n),
            limit: KnownLimit::default(),
            issuer: PermitIssuer::new(begun),
            list: 0,
            told_ms: None,
            frozen_until_ms: 0,
            excused_until_ms: 0,
        };
        let mut world = Self {
            begun,
            hosts: (0..hosts).map(host).collect(),
            lists: Vec::new(),
            answers: Vec::new(),
            arrivals_ms: Vec::new(),
            served: 0,
            refused: 0,
            alone: false,
            rng: fastrand::Rng::with_seed(seed),
        };
        world.lists.push(world.issuers_among(0..hosts));
        world
    }

    fn issuers_among(&self, hosts: impl Iterator<Item = usize>) -> Vec<HostId> {
        let ids: Vec<HostId> = hosts.map(|n| self.hosts[n].id.clone()).collect();
        issuer::select(&server(), ids.iter())
    }

    fn at(&self, ms: u64) -> Instant {
        self.begun + Duration::from_millis(ms)
    }

    /// One request arrives at a host.
    fn request(&mut self, n: usize, ms: u64, rate: Option<Rate>) {
        let now = self.at(ms);
        if self.hosts[n].frozen_until_ms > ms {
            return;
        }
        let admitted = match self.hosts[n].limit.admission(now) {
            Admission::Unlimited => true,
            Admission::Blocked(_) => false,
            Admission::PermitRequired => self.ask(n, ms),
        };
        if !admitted {
            self.refused += 1;
            return;
        }
        self.served += 1;
        let transit = self.rng.u64(1..=MAX_TRANSIT_MS).pow(3) / MAX_TRANSIT_MS.pow(2);
        let host = &self.hosts[n];
        let obeys = host.told_ms.is_some_and(|told| told + TIME_TO_OBEY_MS <= ms + transit);
        if obeys && host.excused_until_ms <= ms {
            self.arrivals_ms.push(ms + transit);
        }
        let at_ms = ms + transit + self.rng.u64(1..=ANSWER_MS);
        self.answers.push(Answer { at_ms, to: n, sent: now, rate });
    }

    /// Asks the issuers in turn. Requests and decisions take up to [`MAX_DATAGRAM_MS`] each.
    fn ask(&mut self, n: usize, ms: u64) -> bool {
        let now = self.at(ms);
        let mut issuers = match self.alone {
            true => vec![self.hosts[n].id.clone()],
            false => self.lists[self.hosts[n].list].clone(),
        };
        self.rng.shuffle(&mut issuers);
        let count = issuers.len();
        let known = self.hosts[n].limit.newest().unwrap();
        for id in issuers {
            let at_issuer = now + Duration::from_millis(self.rng.u64(..=MAX_DATAGRAM_MS));
            let issuer = self.hosts.iter_mut().find(|host| host.id == id).unwrap();
            if issuer.frozen_until_ms > ms {
                continue;
            }
            let statement = Statement::relayed(known.rate, known.age(now), at_issuer);
            let mut decision = issuer.issuer.request(&server(), statement, count, at_issuer);
            let Statement { rate, .. } = decision.statement;
            decision.statement = Statement::relayed(rate, decision.statement.age(at_issuer), now);
            let limit = &mut self.hosts[n].limit;
            limit.apply(decision.statement);
            if !decision.granted {
                limit.on_denied(now, decision.wait);
            }
            return decision.granted;
        }
        self.hosts[n].limit.on_denied(now, SILENCE_BLOCK);
        false
    }

    fn deliver(&mut self, ms: u64) {
        let now = self.at(ms);
        let answers = std::mem::take(&mut self.answers);
        let (due, later) = answers.into_iter().partition(|answer: &Answer| answer.at_ms <= ms);
        self.answers = later;
        for answer in due {
            let host = &mut self.hosts[answer.to];
            let statement = Statement::of_response(answer.rate, answer.sent, now);
            let is_withdrawn = host.limit.apply(statement) && answer.rate.is_none();
            if answer.rate.is_some() {
                host.told_ms.get_or_insert(ms);
            }
            if is_withdrawn {
                self.notify_issuers(answer.to, statement);
            }
        }
    }

    fn notify_issuers(&mut self, n: usize, statement: Statement) {
        for id in self.lists[self.hosts[n].list].clone() {
            let issuer = self.hosts.iter_mut().find(|host| host.id == id).unwrap();
            issuer.issuer.apply(&server(), statement);
        }
    }

    /// Plays until `end_ms` with this many requests a second, evenly spread over the hosts. `rate` is the limit at a time.
    pub fn play(
        &mut self,
        from_ms: u64,
        end_ms: u64,
        demand: f64,
        rate: impl Fn(u64) -> Option<Rate>,
    ) {
        let mut due = 0.0;
        for ms in (from_ms..end_ms).step_by(STEP_MS as usize) {
            self.deliver(ms);
            due += demand * STEP_MS as f64 / 1000.0 * 2.0 * self.rng.f64();
            while due >= 1.0 {
                due -= 1.0;
                let n = self.rng.usize(..self.hosts.len());
                self.request(n, ms, rate(ms));
            }
        }
    }

    /// The most requests that count in any window.
    pub fn most_in_a_window(&self) -> usize {
        let mut arrivals = self.arrivals_ms.clone();
        arrivals.sort_unstable();
        let in_window = |(first, at): (usize, &u64)| {
            arrivals[first..].iter().take_while(|other| **other < at + WINDOW_MS).count()
        };
        arrivals.iter().enumerate().map(in_window).max().unwrap_or_default()
    }

    /// Restarts a host: it knows nothing any more.
    fn restart(&mut self, n: usize, ms: u64) {
        let now = self.at(ms);
        let host = &mut self.hosts[n];
        host.limit = KnownLimit::default();
        host.issuer = PermitIssuer::new(now);
        host.told_ms = None;
    }
}

impl World {
    /// Freezes, restarts and replaces a host, and lets a part of the hosts know one host less than the others for a while.
    pub fn disturb(&mut self, ms: u64) {
        let count = self.hosts.len();
        let (frozen, restarted) = (self.rng.usize(..count), self.rng.usize(..count));
        self.hosts[frozen].frozen_until_ms = ms + 2000;
        self.hosts[frozen].excused_until_ms = ms + 5000;
        self.restart(restarted, ms);
        self.hosts[restarted].excused_until_ms = ms + 3000;
        let missing = self.rng.usize(..count);
        let list = self.issuers_among((0..count).filter(|n| *n != missing));
        self.lists.truncate(1);
        self.lists.push(list);
        for host in &mut self.hosts {
            host.list = usize::from(self.rng.f64() < 0.3);
        }
    }
}
