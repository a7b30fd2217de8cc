//! The requests that a whole fleet sends to a server that states a rate limit, without network and on a simulated clock.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::rate_limit::{Admission, KnownLimit, PermitIssuer, Statement, issuer};
use jacinthbeam_types::prelude::*;

/// What the server may get in any window from hosts that know its limit.
const WINDOW_MS: u64 = 4000;
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;

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

struct World {
    begun: Instant,
    hosts: Vec<Host>,
    /// The host lists in use, each with the issuers that it selects.
    lists: Vec<Vec<HostId>>,
    answers: Vec<Answer>,
    /// Arrivals at the server that count.
    arrivals_ms: Vec<u64>,
    served: u64,
    refused: u64,
    /// Whether each host issues permits to itself, which is what sharing prevents.
    alone: bool,
    rng: fastrand::Rng,
}

fn server() -> ServerId {
    "s1".parse().unwrap()
}

fn host_id(n: usize) -> HostId {
    format!("h{n}").parse().unwrap()
}

impl World {
    fn new(hosts: usize, seed: u64) -> Self {
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
    fn play(&mut self, from_ms: u64, end_ms: u64, demand: f64, rate: impl Fn(u64) -> Option<Rate>) {
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
    fn most_in_a_window(&self) -> usize {
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

fn allowed(rate: Rate) -> usize {
    (OVERRUN * rate.per_second() * WINDOW_MS as f64 / 1000.0 + SLACK) as usize
}

const SIZES: [usize; 3] = [12, 100, 984];

/// Limits in thousandths of a request per second, down to none at all.
const LIMITS: [Rate; 6] = [Rate(0), Rate(100), Rate(1000), Rate(2400), Rate(6200), Rate(50_000)];

/// Guards against a fleet that together exceeds a limit, however many hosts share it and whatever the limit is.
#[test]
fn calm_fleets_stay_within_the_limit() {
    for (hosts, rate) in SIZES.iter().flat_map(|hosts| LIMITS.map(|rate| (*hosts, rate))) {
        let mut world = World::new(hosts, u64::from(rate.0));
        world.play(0, 30_000, 200.0, |_| Some(rate));
        let most = world.most_in_a_window();
        assert!(most <= allowed(rate), "{hosts} hosts, {rate}: {most} in a window");
    }
}

/// Guards against a limit that is divided among hosts that mostly have no use for their part.
#[test]
fn what_is_allowed_is_used_by_the_hosts_that_need_it() {
    for hosts in SIZES {
        let mut world = World::new(hosts, 1);
        world.play(0, 10_000, 60.0, |_| Some(Rate(10_000)));
        world.served = 0;
        world.play(10_000, 40_000, 60.0, |_| Some(Rate(10_000)));
        assert!(world.served >= 240, "{hosts} hosts: {} of 300", world.served);
        let mut world = World::new(hosts, 2);
        world.play(0, 60_000, 1.0, |_| Some(Rate(10_000)));
        assert_eq!(world.refused, 0, "{hosts} hosts, a tenth of the limit is asked for");
    }
}

/// Guards against bursts when the limit changes while requests are under way, and at its edges.
#[test]
fn a_limit_that_changes_each_second_is_obeyed() {
    for hosts in SIZES {
        let rate = |ms: u64| Some(Rate([1000, 6000, 2000, 4000][(ms / 1000 % 4) as usize]));
        let mut world = World::new(hosts, 3);
        world.play(0, 40_000, 100.0, rate);
        let most = world.most_in_a_window();
        assert!(most <= allowed(Rate(6000)), "{hosts} hosts: {most} in a window");
    }
}

/// Guards against a burst after an idle time, from hosts that have saved up their part.
#[test]
fn an_idle_time_allows_no_burst() {
    for hosts in SIZES {
        let rate = |_| Some(Rate(2400));
        let mut world = World::new(hosts, 4);
        world.play(0, 5000, 100.0, rate);
        world.play(5000, 55_000, 0.0, rate);
        world.play(55_000, 65_000, 300.0, rate);
        let most = world.most_in_a_window();
        assert!(most <= allowed(Rate(2400)), "{hosts} hosts: {most} in a window");
    }
}

/// Guards against a limit that is exceeded while hosts freeze, restart, join, leave, and know different hosts.
#[test]
fn a_changing_fleet_stays_within_the_limit() {
    for (hosts, seed) in SIZES.into_iter().flat_map(|hosts| (0..4).map(move |seed| (hosts, seed))) {
        let rate = Rate([1000, 2400, 6200, 20_000][seed as usize]);
        let mut world = World::new(hosts, seed);
        for second in 0..40 {
            let ms = second * 1000;
            world.disturb(ms);
            world.play(ms, ms + 1000, 200.0, |_| Some(rate));
        }
        let most = world.most_in_a_window();
        assert!(most <= allowed(rate), "{hosts} hosts, seed {seed}, {rate}: {most} in a window");
    }
}

impl World {
    /// Freezes, restarts and replaces a host, and lets a part of the hosts know one host less than the others for a while.
    fn disturb(&mut self, ms: u64) {
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

/// Guards against hosts that never learn that a limit is withdrawn, since they are not allowed to send.
#[test]
fn a_withdrawn_limit_is_forgotten_by_all_hosts() {
    for (hosts, rate) in SIZES.iter().flat_map(|hosts| LIMITS.map(|rate| (*hosts, rate))) {
        let mut world = World::new(hosts, 5);
        world.play(0, 10_000, 100.0, |_| Some(rate));
        world.play(10_000, 50_000, 100.0, |_| None);
        world.refused = 0;
        world.play(50_000, 60_000, 100.0, |_| None);
        assert_eq!(world.refused, 0, "{hosts} hosts, {rate}");
    }
}

/// The sharing is what keeps the fleet within the limit: hosts that issue permits to themselves exceed it.
#[test]
fn hosts_that_share_nothing_exceed_the_limit() {
    for hosts in SIZES {
        let mut world = World::new(hosts, 6);
        world.alone = true;
        world.play(0, 30_000, 200.0, |_| Some(Rate(2400)));
        assert!(world.most_in_a_window() > allowed(Rate(2400)), "{hosts} hosts");
    }
}

/// Guards against a response that was overtaken on its way, and withdraws a limit that was stated after it.
#[test]
fn an_overtaken_response_withdraws_nothing() {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let mut limit = KnownLimit::default();
    assert!(limit.apply(Statement::of_response(Some(Rate(2000)), at(100), at(200))));
    assert!(!limit.apply(Statement::of_response(None, at(150), at(900))));
    assert_eq!(limit.rate(), Some(Rate(2000)));
    assert!(limit.apply(Statement::of_response(Some(Rate(500)), at(150), at(901))));
    assert!(limit.apply(Statement::of_response(None, at(902), at(950))));
    assert_eq!(limit.admission(at(951)), Admission::Unlimited);
}

/// Guards against the loss of a count at the restart of an issuer: its new process has no burst to give away.
#[test]
fn an_issuer_starts_empty() {
    let begun = Instant::now();
    let statement = Statement { rate: Some(Rate(2000)), as_of: begun };
    let mut issuer = PermitIssuer::new(begun);
    assert!(!issuer.request(&server(), statement, 2, begun).granted);
    let later = begun + Duration::from_secs(1);
    assert!(issuer.request(&server(), statement, 2, later).granted);
}

/// Guards against hosts that select different issuers although they know the same hosts.
#[test]
fn issuers_depend_on_the_set_of_hosts_only() {
    let ids: Vec<HostId> = (0..984).map(host_id).collect();
    let mut by_host: BTreeMap<HostId, usize> = BTreeMap::new();
    for n in 0..2000 {
        let server: ServerId = format!("s{n}").parse().unwrap();
        let selected = issuer::select(&server, ids.iter());
        assert_eq!(selected, issuer::select(&server, ids.iter().rev()));
        assert_eq!(selected.len(), issuer::ISSUERS);
        selected.into_iter().for_each(|host| *by_host.entry(host).or_default() += 1);
    }
    assert!(by_host.values().all(|servers| *servers < 20), "a host issues for too many servers");
}

/// Guards against a limit that gets newer each time that hosts tell each other of it, until no response is new enough to withdraw it.
#[test]
fn a_statement_does_not_get_newer_on_its_way() {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let known = Statement::of_response(Some(Rate(2000)), at(0), at(100));
    let (mut issuer, mut limit) = (PermitIssuer::new(begun), KnownLimit::default());
    limit.apply(known);
    for asked in (1000..9000).step_by(50) {
        let arrived = at(asked + 20);
        let statement = limit.newest().unwrap();
        let statement = Statement::relayed(statement.rate, statement.age(at(asked)), arrived);
        let decision = issuer.request(&server(), statement, 2, arrived);
        let age = decision.statement.age(arrived);
        limit.apply(Statement::relayed(decision.statement.rate, age, at(asked)));
    }
    assert_eq!(limit.newest(), Some(known));
}
