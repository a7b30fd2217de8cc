//! A store, hosts and backend servers in one thread, on one clock that only `step` moves.

mod calls;
mod host;
mod server;
mod trouble;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_range::{KeyRange, Leader, Map, demand::LoadReport};
use jacinthbeam_route::{Server as Listed, Servers};
use jacinthbeam_types::prelude::*;

use host::Host;
use server::Server;

/// How often something goes wrong, in each step or for each message.
#[derive(Clone, Copy)]
pub struct Odds {
    /// The duty goes to another host.
    pub deal: f64,
    /// An answer of the store takes up to a second, or never comes.
    pub store_late: f64,
    /// A host loses or regains the store.
    pub store_cut: f64,
    /// A host loses or regains a server.
    pub server_cut: f64,
    /// The host that has the duty is left with one server, without the store, and nobody else reaches that server; for up to
    /// 20 s. The duty goes to another host.
    pub split: f64,
    /// A host stands still for up to 15 s.
    pub pause: f64,
    /// A host is told to stop, ends within six seconds, and starts again.
    pub stop: f64,
    /// A server says that it leaves, and ends some seconds later.
    pub drain: f64,
    /// A server's entry leaves the list, or comes back, while it serves on.
    pub unlist: f64,
    /// A server ends; another life of it comes some seconds later.
    pub crash: f64,
    /// A server starts again under its name. Its entry shows that up to 2.5 s later.
    pub reborn: f64,
    /// A grant is lost, or its answer.
    pub lost_grant: f64,
    /// A server has seen a higher token than the map knows of, as after a release whose record was never kept.
    pub refuse: f64,
    /// A release is lost, or its answer.
    pub lost_release: f64,
}

impl Odds {
    pub const CALM: Self = Self {
        deal: 0.0,
        store_late: 0.0,
        store_cut: 0.0,
        server_cut: 0.0,
        split: 0.0,
        pause: 0.0,
        stop: 0.0,
        drain: 0.0,
        unlist: 0.0,
        crash: 0.0,
        reborn: 0.0,
        lost_grant: 0.0,
        refuse: 0.0,
        lost_release: 0.0,
    };
}

/// Something on its way.
pub enum Message {
    /// An append arrives at the store.
    Append { host: usize, at: usize, map: Map, asked: Instant },
    /// Its answer arrives at the host.
    Appended { host: usize, at: usize, map: Map, asked: Instant, kept: Option<bool> },
    /// What a host reads of the store.
    Read { host: usize, asked: Instant, end: usize, map: Option<Map> },
    /// The answer to a look whether anything is newer.
    Checked { host: usize, asked: Instant, end: usize },
    /// The next grant of a round may be sent.
    Round { host: usize, round: calls::Round },
    /// A host that was replaced says that it has stopped.
    Stopped { to: usize, leader: Leader, epoch: Epoch, others_left: Duration },
    /// What another host knows arrives.
    Heard { to: usize, map: Map },
    /// A grant arrives.
    Grant { host: usize, round: calls::Round, life: u32, arrived: bool },
    /// A grant arrives whose sender has ended.
    Orphan { to: SocketAddr, life: u32, range: KeyRange, token: Token },
    /// A release arrives, and is answered if `answered`.
    Release { host: usize, server: ServerId, range: KeyRange, token: Token, answered: bool },
    /// Its answer arrives.
    Released {
        host: usize,
        range: KeyRange,
        token: Token,
        handover: Option<String>,
        answered: bool,
    },
}

impl Message {
    /// The host whose process sent it or waits for it.
    fn host(&self) -> Option<usize> {
        match self {
            Self::Appended { host, .. }
            | Self::Read { host, .. }
            | Self::Checked { host, .. }
            | Self::Round { host, .. }
            | Self::Grant { host, .. }
            | Self::Released { host, .. } => Some(*host),
            Self::Stopped { to, .. } | Self::Heard { to, .. } => Some(*to),
            Self::Append { .. } | Self::Release { .. } | Self::Orphan { .. } => None,
        }
    }
}

pub struct World {
    pub now: Instant,
    begun: Instant,
    odds: Odds,
    rng: fastrand::Rng,
    log: Vec<Map>,
    hosts: Vec<Host>,
    servers: BTreeMap<ServerName, Server>,
    /// Connections of hosts to addresses.
    lines: BTreeMap<(usize, SocketAddr), calls::Line>,
    /// Grants that were taken, by the number of the life that took them.
    taken: Vec<(KeyRange, Token, u32)>,
    /// A key that went to another life without a higher token.
    low_token: Option<String>,
    reborn: Vec<(Instant, usize)>,
    lives: u32,
    cut_servers: BTreeSet<(usize, ServerName)>,
    unlisted: BTreeSet<ServerName>,
    split: Option<Split>,
    queue: Vec<(Instant, u64, Message)>,
    sent: u64,
    story: Vec<String>,
}

/// One host and one server on one side, the store and all others on the other.
struct Split {
    host: usize,
    server: ServerName,
    until: Instant,
}

const HOSTS: usize = 3;
const SERVERS: usize = 4;

fn service() -> ServiceName {
    "tiles".parse().unwrap()
}

impl World {
    pub fn new(odds: Odds, seed: u64) -> Self {
        let now = Instant::now();
        let leader = |n: usize| Leader {
            host: format!("h{n}").parse().unwrap(),
            incarnation: Incarnation(n as u64),
            addr: format!("127.0.0.1:{}", 100 + n).parse().unwrap(),
        };
        let mut world = Self {
            now,
            begun: now,
            odds,
            rng: fastrand::Rng::with_seed(seed),
            log: Vec::new(),
            hosts: (0..HOSTS).map(|n| Host::new(service(), leader(n))).collect(),
            servers: BTreeMap::new(),
            lines: BTreeMap::new(),
            taken: Vec::new(),
            low_token: None,
            reborn: Vec::new(),
            lives: 0,
            cut_servers: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            split: None,
            queue: Vec::new(),
            sent: 0,
            story: vec![format!("seed {seed}")],
        };
        (0..SERVERS).for_each(|place| world.bear(place));
        world.deal(0);
        world
    }

    fn bear(&mut self, place: usize) {
        self.lives += 1;
        let name: ServerName = format!("s{place}-{}", self.lives).parse().unwrap();
        let id = name.clone().into();
        self.servers.insert(name, Server::new(id, self.lives, place));
    }

    fn chance(&mut self, odds: f64) -> bool {
        self.rng.f64() < odds
    }

    fn tell(&mut self, text: String) {
        let at = (self.now - self.begun).as_secs_f64();
        self.story.push(format!("{at:8.3} {text}"));
    }

    fn send(&mut self, after: Duration, message: Message) {
        self.sent += 1;
        self.queue.push((self.now + after, self.sent, message));
    }

    /// A short way, as between hosts and servers.
    fn short(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..4))
    }

    /// The way to the store or back: mostly short, at times up to a second.
    fn store_way(&mut self) -> Duration {
        let late = self.odds.store_late;
        if self.chance(late) {
            return Duration::from_millis(self.rng.u64(1..1000));
        }
        self.short()
    }

    fn listed(&self) -> Servers {
        let mut listed = Servers::default();
        for server in self.servers.values().filter(|s| !self.unlisted.contains(s.id.name())) {
            listed.insert(Listed {
                id: server.listed.clone(),
                service: service(),
                addr: server.addr,
                domain: "d".parse().unwrap(),
                slots: 3,
                draining: server.leaves_at.is_some(),
                warmup_left: Duration::ZERO,
                cold_rate: None,
            });
        }
        listed
    }

    fn deal(&mut self, to: usize) {
        for n in 0..HOSTS {
            self.hosts[n].duty = n == to;
        }
        self.tell(format!("duty to h{to}"));
    }

    /// One step of time: troubles, messages, then every host's own work.
    pub fn step(&mut self, by: Duration) {
        let end = self.now + by;
        self.trouble();
        loop {
            let next = (0..self.queue.len()).min_by_key(|n| (self.queue[*n].0, self.queue[*n].1));
            let Some(next) = next.filter(|n| self.queue[*n].0 <= end) else { break };
            let (at, _, message) = self.queue.swap_remove(next);
            self.now = self.now.max(at);
            self.deliver(message);
        }
        self.now = end;
        for n in 0..HOSTS {
            self.host_step(n);
        }
    }

    /// Whether a host reaches the store.
    fn has_store(&self, n: usize) -> bool {
        let split = self.split.as_ref().is_some_and(|split| split.host == n);
        self.hosts[n].has_store && !split
    }

    /// Whether a host reaches a server.
    fn reaches(&self, n: usize, name: &ServerName) -> bool {
        let split = self.split.as_ref();
        let split = split.is_some_and(|split| (split.host == n) != (split.server == *name));
        !split && !self.cut_servers.contains(&(n, name.clone()))
    }

    /// Whether two hosts reach each other.
    fn meet(&self, a: usize, b: usize) -> bool {
        self.split.as_ref().is_none_or(|split| (split.host == a) == (split.host == b))
    }

    /// A few hot keys side by side, which move on every four seconds.
    fn load(&mut self) -> LoadReport {
        let mut report = LoadReport::default();
        let hot = (self.now - self.begun).as_secs() / 4 * 13_000;
        for _ in 0..8 {
            let key = match self.rng.bool() {
                true => (hot as u16).wrapping_add(self.rng.u16(0..100)),
                false => self.rng.u16(..),
            };
            *report.keys.entry(jacinthbeam_range::Key(key)).or_default() += 1;
        }
        report
    }

    /// Notes a grant that a server has taken. Each key must go from one life to the next under a higher token.
    fn note_taken(&mut self, life: u32, range: KeyRange, token: Token) {
        let other = self
            .taken
            .iter()
            .find(|(of, before, by)| *by != life && *before >= token && of.overlaps(range));
        if let Some((of, before, by)) = other {
            let text = format!("life {life} took {range} ({token}), life {by} had {of} ({before})");
            self.low_token.get_or_insert(text);
        }
        self.taken.retain(|(of, _, by)| *by != life || *of != range);
        self.taken.push((range, token, life));
        if self.taken.len() > 2000 {
            self.taken.drain(..500);
        }
    }

    /// Two servers that hold the same key, or two lives that had it under one token, if there are any.
    pub fn clash(&self) -> Option<String> {
        if self.low_token.is_some() {
            return self.low_token.clone();
        }
        let servers: Vec<&Server> = self.servers.values().collect();
        for (n, one) in servers.iter().enumerate() {
            for other in &servers[n + 1..] {
                for (a, token_a) in one.holds(self.now) {
                    for (b, token_b) in other.holds(self.now) {
                        if a.overlaps(b) {
                            let (one, other) = (&one.id, &other.id);
                            return Some(format!(
                                "{one} holds {a} ({token_a}), {other} {b} ({token_b})"
                            ));
                        }
                    }
                }
            }
        }
        None
    }

    /// Keys that no server holds.
    pub fn unowned(&self) -> Vec<KeyRange> {
        let held = self.servers.values().flat_map(|server| server.holds(self.now));
        let mut held: Vec<KeyRange> = held.map(|(range, _)| range).collect();
        held.sort_unstable_by_key(|range| range.first);
        let mut unowned = Vec::new();
        let mut next = 0;
        for range in held {
            let first = u32::from(range.first.0);
            if next < first {
                unowned.extend(KeyRange::new(next as u16, (first - 1) as u16));
            }
            next = next.max(u32::from(range.last.0) + 1);
        }
        if let Ok(first) = u16::try_from(next) {
            unowned.extend(KeyRange::new(first, u16::MAX));
        }
        unowned
    }

    /// Records that were kept.
    pub fn records(&self) -> usize {
        self.log.len()
    }

    /// What happened to this range, but for its renewals.
    pub fn told_of(&self, range: KeyRange) -> Vec<String> {
        let text = range.to_string();
        self.story.iter().filter(|line| line.contains(&text)).cloned().collect()
    }

    /// What happened last.
    pub fn story(&self) -> String {
        let from = self.story.len().saturating_sub(120);
        format!("{}\n{}", self.story[0], self.story[from..].join("\n"))
    }
}
