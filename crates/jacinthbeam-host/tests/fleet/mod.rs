//! Hosts that follow a store, without network: what each decides is decided by the program's own code.

mod follow;
mod host;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_host::process::peers::{
    HostEntry,
    order::{self, Neighbours},
    source::{Answer, MAX_STALENESS},
};
use jacinthbeam_store::{Item, keyed::Changes};
use jacinthbeam_types::prelude::*;

use host::Host;

/// Milliseconds between two looks at each host; fewer looks at a fleet of thousands, since each takes time.
const STEP: u64 = 10;
const STEP_OF_LARGE: u64 = 50;

/// First reads of a reader: the operator's records, two pages of servers, hosts, one map.
const FIRST_READS: usize = 5;

/// Milliseconds between two reads of a reader, over all partitions.
const READ_EVERY: u64 = 200;

/// Milliseconds of the mean of the longest pauses between questions whether the store is back.
const PROBE_EVERY: u64 = 750;

/// Milliseconds after which a call, a question, or an attempt to connect counts as unanswered.
const CALL_WITHIN: u64 = 800;
const ANSWER_WITHIN: u64 = 1000;
const CONNECT_WITHIN: u64 = 250;

/// Milliseconds after which a host that asks the store looks for others, if it is answered and if not.
const LOOK_AGAIN: u64 = 1000;
const LOOK_AGAIN_LOST: u64 = 250;

/// Milliseconds in which all that start together have put their entries.
const SETTLE: u64 = 400;

/// Milliseconds after which hosts that have come are known to those that follow others.
const LISTED_EVERY: u64 = 200;

const FIRST_PORT: u16 = 1000;

/// What the store does with the calls of a host.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Store {
    Answers,
    Refuses,
    Silent,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Process {
    Runs,
    /// Nothing listens; the machine says so.
    Stopped,
    /// Nobody answers.
    Lost,
}

pub struct Fleet {
    pub calls: usize,
    pub rng: fastrand::Rng,
    begun: Instant,
    now: u64,
    hosts: Vec<Host>,
    listed: Vec<bool>,
    /// The hosts of each failure domain in their order.
    domains: Vec<Vec<usize>>,
}

impl Fleet {
    /// A fleet of which nothing runs. One host in 20 has more processor than the others, as where the users' fleets are large.
    pub fn new(hosts: usize, domains: usize, seed: u64) -> Self {
        let make = |n: usize| {
            let large = hosts > 30 && (n / domains).is_multiple_of(20);
            let entry = HostEntry {
                addr: SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + n as u16)),
                domain: format!("d{}", n % domains).parse().unwrap(),
                processor: Millicores(if large { 500 } else { 100 }),
            };
            Host::new(format!("h{n:04}").parse().unwrap(), entry)
        };
        let hosts: Vec<Host> = (0..hosts).map(make).collect();
        let mut places = vec![Vec::new(); domains];
        (0..hosts.len()).for_each(|n| places[n % domains].push(n));
        for places in &mut places {
            // Names are in the order of numbers.
            places.sort_by_key(|n| std::cmp::Reverse(hosts[*n].entry.processor));
        }
        let mut fleet = Self {
            calls: 0,
            rng: fastrand::Rng::with_seed(seed),
            begun: Instant::now(),
            now: 0,
            listed: vec![false; hosts.len()],
            hosts,
            domains: places,
        };
        for places in &fleet.domains {
            places.iter().enumerate().for_each(|(place, n)| fleet.hosts[*n].place = place);
        }
        fleet
    }

    /// Starts all hosts that don't run, within so many milliseconds.
    pub fn start_all(&mut self, within: u64) {
        for host in self.hosts.iter_mut().filter(|host| host.process != Process::Runs) {
            *host = Host { place: host.place, ..Host::new(host.id.clone(), host.entry.clone()) };
            host.starts_at = self.now + self.rng.u64(0..within);
        }
    }

    /// A fleet that has run for a while.
    pub fn settle(&mut self) {
        self.start_all(300);
        self.run_for(3000);
    }

    /// Hosts at such places in the order of their domain lose power.
    pub fn kill(&mut self, of: impl Fn(usize) -> bool) {
        self.end(of, Process::Lost);
    }

    /// The processes of such hosts end.
    pub fn stop(&mut self, of: impl Fn(usize) -> bool) {
        self.end(of, Process::Stopped);
    }

    fn end(&mut self, of: impl Fn(usize) -> bool, process: Process) {
        for host in self.hosts.iter_mut().filter(|host| of(host.place)) {
            host.process = process;
            host.starts_at = u64::MAX;
        }
    }

    pub fn set_store(&mut self, of: impl Fn(usize) -> Store) {
        self.hosts.iter_mut().enumerate().for_each(|(n, host)| host.store = of(n));
    }

    pub fn run_for(&mut self, span: u64) {
        self.run_to(self.now + span);
    }

    pub fn run_to(&mut self, end: u64) {
        while self.now < end {
            self.now += if self.hosts.len() > 1000 { STEP_OF_LARGE } else { STEP };
            let mut order: Vec<usize> = (0..self.hosts.len()).collect();
            self.rng.shuffle(&mut order);
            order.into_iter().for_each(|n| self.step(n));
        }
    }

    /// Hosts that ask the store.
    pub fn readers(&self) -> usize {
        self.hosts.iter().filter(|host| host.process == Process::Runs && host.direct).count()
    }

    /// Milliseconds since the host that is furthest behind has heard of the store.
    pub fn oldest(&self) -> u64 {
        let runs = (0..self.hosts.len()).filter(|n| self.hosts[*n].process == Process::Runs);
        runs.map(|n| self.age(n)).max().unwrap_or_default()
    }

    fn at(&self) -> Instant {
        self.begun + Duration::from_millis(self.now)
    }

    fn age(&self, n: usize) -> u64 {
        let host = &self.hosts[n];
        let at = host.read_at.max(host.heard.map(|(at, _)| at));
        at.map_or(u64::MAX, |at| self.now - at)
    }

    fn is_fresh(&self, at: Option<u64>) -> bool {
        at.is_some_and(|at| u128::from(self.now - at) <= MAX_STALENESS.as_millis())
    }

    fn is_answered(&self, n: usize) -> bool {
        self.hosts[n].direct && self.is_fresh(self.hosts[n].read_at)
    }

    fn answer(&self, n: usize) -> Answer {
        let host = &self.hosts[n];
        let heard = host.heard.map_or(u8::MAX, |(_, steps)| steps);
        Answer {
            age: Duration::from_millis(self.age(n)),
            steps: if self.is_fresh(host.read_at) { 0 } else { heard },
            asks_store: host.direct,
        }
    }

    fn neighbours(&self, n: usize, listed: &[bool]) -> Neighbours {
        let (id, entry) = (&self.hosts[n].id, &self.hosts[n].entry);
        let hosts = self.of_interest(n, listed);
        Neighbours::of(id, entry, hosts.into_iter().map(|host| (&host.id, &host.entry)))
    }

    fn step(&mut self, n: usize) {
        if self.hosts[n].process != Process::Runs {
            if self.now < self.hosts[n].starts_at {
                return;
            }
            self.start(n);
        }
        if self.hosts[n].list_at.is_some_and(|at| self.now >= at) {
            self.hosts[n].list_at = None;
            self.learn_hosts(n);
        }
        if self.hosts[n].direct {
            self.read(n);
        }
        self.follow(n);
        self.help(n);
        while self.hosts[n].follows.is_none() && self.now >= self.hosts[n].wake_at {
            if self.hosts[n].neighbours.is_none() {
                return;
            }
            self.decide(n);
        }
    }

    /// Reads the list of hosts, and puts an entry there if there is none.
    fn start(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.process = Process::Runs;
        self.calls += 1;
        let items = self.listed_items(n);
        let listed = Changes { items, end: Offset(0), whole: true };
        let (id, entry) = (self.hosts[n].id.clone(), self.hosts[n].entry.clone());
        if order::is_listed(&id, &entry, &listed) {
            return self.learn_hosts(n);
        }
        self.calls += 1;
        self.listed[n] = true;
        if order::is_first(&id, &entry, &listed) {
            self.calls += 1;
        }
        self.hosts[n].list_at = Some(self.now + SETTLE);
    }

    /// The list of hosts as far as it matters to one: its own domain, and the first ones of the others.
    fn of_interest(&self, n: usize, listed: &[bool]) -> Vec<&Host> {
        let mut hosts = Vec::new();
        for (domain, places) in self.domains.iter().enumerate() {
            let most = if n % self.domains.len() == domain { places.len() } else { 4 };
            let listed = places.iter().filter(|of| listed[**of]).take(most);
            hosts.extend(listed.map(|of| &self.hosts[*of]));
        }
        hosts
    }

    fn listed_items(&self, n: usize) -> Vec<Item> {
        let item = |host: &Host| Item {
            key: host.id.to_string(),
            value: host.entry.to_bytes().into(),
            offset: Offset(0),
        };
        self.of_interest(n, &self.listed).into_iter().map(item).collect()
    }

    fn learn_hosts(&mut self, n: usize) {
        self.hosts[n].neighbours = Some(self.neighbours(n, &self.listed));
    }

    /// A host that asks the store itself.
    fn read(&mut self, n: usize) {
        if self.now < self.hosts[n].next_read {
            return;
        }
        let first = !std::mem::replace(&mut self.hosts[n].has_read, true);
        self.calls += if first { FIRST_READS } else { 1 };
        let host = &mut self.hosts[n];
        let pause = match host.store {
            Store::Answers => READ_EVERY,
            Store::Refuses => PROBE_EVERY,
            Store::Silent => CALL_WITHIN + PROBE_EVERY,
        };
        host.next_read = self.now + pause;
        if host.store == Store::Answers {
            host.read_at = Some(self.now);
            self.learn_hosts(n);
        }
    }
}
