//! A simulated store, hosts and backend servers in one thread, on a clock that only `step` advances.

mod calls;
mod faults;
mod host;
mod server;

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

/// Probabilities of faults, for each step or message.
#[derive(Clone, Copy)]
pub struct FaultRates {
    /// The duty to grant is assigned to another host.
    pub duty_change: f64,
    /// A message to or from the store takes up to a second, or an answer never arrives.
    pub slow_store: f64,
    /// A host loses or regains its connection to the store.
    pub store_cut: f64,
    /// A host loses or regains its connection to a server.
    pub server_cut: f64,
    /// For up to 20 s, the host that has the duty reaches only one server and not the store, and no other
    /// host reaches this server. The duty is assigned to another host.
    pub split: f64,
    /// A host is suspended for up to 15 s.
    pub pause: f64,
    /// A host shuts down, exits within six seconds, and starts again.
    pub shutdown: f64,
    /// A server starts to drain, and ends some seconds later.
    pub drain: f64,
    /// A server's entry disappears from the list, or comes back, while the server keeps serving.
    pub unlist: f64,
    /// A server ends, and another one starts in its place some seconds later.
    pub crash: f64,
    /// A server restarts under the same name. Its entry shows this up to 2.5 s later.
    pub restart: f64,
    /// A grant or its answer is lost.
    pub lost_grant: f64,
    /// A server refuses a grant because it has seen a higher token than the map contains, as after a release
    /// whose record was never stored.
    pub stale_token: f64,
    /// A release or its answer is lost.
    pub lost_release: f64,
    /// The store is away for up to two seconds and comes back from a copy that lacks the records of up to six
    /// seconds. No host, some or all are killed then and start again.
    pub restore: f64,
}

impl FaultRates {
    pub const NONE: Self = Self {
        duty_change: 0.0,
        slow_store: 0.0,
        store_cut: 0.0,
        server_cut: 0.0,
        split: 0.0,
        pause: 0.0,
        shutdown: 0.0,
        drain: 0.0,
        unlist: 0.0,
        crash: 0.0,
        restart: 0.0,
        lost_grant: 0.0,
        stale_token: 0.0,
        lost_release: 0.0,
        restore: 0.0,
    };
}

/// A message in transit, named by its arrival.
pub enum Message {
    /// An append arrives at the store.
    Append { host: usize, at: usize, map: Map, sent_at: Instant, era: Era },
    /// The answer to an append arrives at the host: whether it was accepted, or `None` after a timeout.
    Appended {
        host: usize,
        at: usize,
        map: Map,
        sent_at: Instant,
        accepted: Option<bool>,
        era: Era,
    },
    /// The answer to a read of the newest record arrives at the host.
    Read { host: usize, sent_at: Instant, end: usize, map: Option<Map>, era: Era },
    /// The answer to a check for newer records arrives at the host.
    Checked { host: usize, sent_at: Instant, end: usize, era: Era },
    /// The next grant of a round may be sent.
    Round { host: usize, round: calls::GrantRound },
    /// A host learns that a former leader has stopped.
    PeerStopped { to: usize, leader: Leader, epoch: Epoch, others_left: Duration },
    /// A host receives the newest map of another host.
    PeerMap { to: usize, map: Map },
    /// A grant arrives at a server, or its timeout expires if it has not `arrived`.
    Grant { host: usize, round: calls::GrantRound, incarnation: u32, arrived: bool },
    /// A grant arrives at a server after its sender has exited.
    OrphanedGrant { to: SocketAddr, incarnation: u32, range: KeyRange, token: Token },
    /// A release arrives at a server. Its answer is lost unless `answered`.
    Release { host: usize, server: ServerId, range: KeyRange, token: Token, answered: bool },
    /// The answer to a release arrives at the host, or its timeout expires unless `answered`.
    Released {
        host: usize,
        range: KeyRange,
        token: Token,
        handover: Option<String>,
        answered: bool,
    },
}

impl Message {
    /// The host that waits for the message. It is dropped when the host's process exits.
    fn host(&self) -> Option<usize> {
        match self {
            Self::Appended { host, .. }
            | Self::Read { host, .. }
            | Self::Checked { host, .. }
            | Self::Round { host, .. }
            | Self::Grant { host, .. }
            | Self::Released { host, .. } => Some(*host),
            Self::PeerStopped { to, .. } | Self::PeerMap { to, .. } => Some(*to),
            Self::Append { .. } | Self::Release { .. } | Self::OrphanedGrant { .. } => None,
        }
    }
}

pub struct World {
    pub now: Instant,
    begun: Instant,
    fault_rates: FaultRates,
    rng: fastrand::Rng,
    /// Records of the store.
    log: Vec<Map>,
    /// Rises each time that the store is restored.
    era: Era,
    /// When each of them was appended.
    log_times: Vec<Instant>,
    /// No host reaches the store before then.
    store_back_at: Option<Instant>,
    hosts: Vec<Host>,
    servers: BTreeMap<ServerName, Server>,
    /// Connections of hosts to server addresses.
    connections: BTreeMap<(usize, SocketAddr), calls::Connection>,
    /// Accepted grants, with the server incarnation that accepted each.
    accepted_grants: Vec<(KeyRange, Token, u32)>,
    /// The first grant of a key to another incarnation without a higher token.
    token_violation: Option<String>,
    /// Times and indexes of servers that will start.
    pending_starts: Vec<(Instant, usize)>,
    /// Number of incarnations of servers and restarted hosts so far.
    incarnations: u32,
    /// Hosts and servers that can't reach each other.
    cut_servers: BTreeSet<(usize, ServerName)>,
    unlisted: BTreeSet<ServerName>,
    split: Option<Split>,
    /// Messages in transit, by arrival time and number.
    queue: Vec<(Instant, u64, Message)>,
    sent: u64,
    trace: Vec<String>,
}

/// A network partition: one host and one server on one side, the store and all others on the other.
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
    pub fn new(fault_rates: FaultRates, seed: u64) -> Self {
        let now = Instant::now();
        let leader = |n: usize| Leader {
            host: format!("h{n}").parse().unwrap(),
            incarnation: Incarnation(n as u64),
            addr: format!("127.0.0.1:{}", 100 + n).parse().unwrap(),
        };
        let mut world = Self {
            now,
            begun: now,
            fault_rates,
            rng: fastrand::Rng::with_seed(seed),
            log: Vec::new(),
            era: Era(1),
            log_times: Vec::new(),
            store_back_at: None,
            hosts: (0..HOSTS).map(|n| Host::new(service(), leader(n), true)).collect(),
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            accepted_grants: Vec::new(),
            token_violation: None,
            pending_starts: Vec::new(),
            incarnations: 0,
            cut_servers: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            split: None,
            queue: Vec::new(),
            sent: 0,
            trace: vec![format!("seed {seed}")],
        };
        (0..SERVERS).for_each(|index| world.start_server(index));
        world.assign_duty(0);
        world
    }

    fn start_server(&mut self, index: usize) {
        self.incarnations += 1;
        let name: ServerName = format!("s{index}-{}", self.incarnations).parse().unwrap();
        let id = name.clone().into();
        self.servers.insert(name, Server::new(id, self.incarnations, index));
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.f64() < probability
    }

    fn trace(&mut self, text: String) {
        let at = (self.now - self.begun).as_secs_f64();
        self.trace.push(format!("{at:8.3} {text}"));
    }

    fn send(&mut self, after: Duration, message: Message) {
        self.sent += 1;
        self.queue.push((self.now + after, self.sent, message));
    }

    /// Random delay of a message between hosts and servers.
    fn network_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..4))
    }

    /// Random delay of a message to or from the store: usually short, sometimes up to a second.
    fn store_delay(&mut self) -> Duration {
        let probability = self.fault_rates.slow_store;
        if self.chance(probability) {
            return Duration::from_millis(self.rng.u64(1..1000));
        }
        self.network_delay()
    }

    /// The list of servers that the hosts have.
    fn listed(&self) -> Servers {
        let mut listed = Servers::default();
        for server in self.servers.values().filter(|s| !self.unlisted.contains(s.id.name())) {
            listed.insert(Listed {
                id: server.listed_id.clone(),
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

    fn assign_duty(&mut self, to: usize) {
        for n in 0..HOSTS {
            self.hosts[n].duty = n == to;
        }
        self.trace(format!("duty to h{to}"));
    }

    /// Advances the clock by one step: injects faults, delivers messages, then runs every host.
    pub fn step(&mut self, by: Duration) {
        let end = self.now + by;
        self.inject_faults();
        loop {
            let next = (0..self.queue.len()).min_by_key(|n| (self.queue[*n].0, self.queue[*n].1));
            let Some(next) = next.filter(|n| self.queue[*n].0 <= end) else { break };
            let (at, _, message) = self.queue.swap_remove(next);
            self.now = self.now.max(at);
            self.deliver(message);
        }
        self.now = end;
        for n in 0..HOSTS {
            self.step_host(n);
        }
    }

    /// Whether a host can reach the store.
    fn has_store(&self, n: usize) -> bool {
        let split = self.split.as_ref().is_some_and(|split| split.host == n);
        let down = self.store_back_at.is_some_and(|at| self.now < at);
        self.hosts[n].has_store && !split && !down
    }

    /// Whether a host can reach a server.
    fn reaches(&self, n: usize, name: &ServerName) -> bool {
        let split = self.split.as_ref();
        let split = split.is_some_and(|split| (split.host == n) != (split.server == *name));
        !split && !self.cut_servers.contains(&(n, name.clone()))
    }

    /// Whether two hosts can reach each other.
    fn can_communicate(&self, a: usize, b: usize) -> bool {
        self.split.as_ref().is_none_or(|split| (split.host == a) == (split.host == b))
    }

    /// A load report with a hundred adjacent hot keys, others every four seconds.
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

    /// Records a grant that a server has accepted. Each key must pass from one incarnation to the next under
    /// a higher token.
    fn record_accepted_grant(&mut self, incarnation: u32, range: KeyRange, token: Token) {
        let other = self
            .accepted_grants
            .iter()
            .find(|(of, before, by)| *by != incarnation && *before >= token && of.overlaps(range));
        if let Some((of, before, by)) = other {
            let text = format!(
                "incarnation {incarnation} accepted {range} ({token}), incarnation {by} had {of} ({before})"
            );
            self.token_violation.get_or_insert(text);
        }
        self.accepted_grants.retain(|(of, _, by)| *by != incarnation || *of != range);
        self.accepted_grants.push((range, token, incarnation));
        if self.accepted_grants.len() > 2000 {
            self.accepted_grants.drain(..500);
        }
    }

    /// Two servers that hold the same key, or two incarnations that had a key without a rising token, if any.
    pub fn violation(&self) -> Option<String> {
        if self.token_violation.is_some() {
            return self.token_violation.clone();
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

    /// Ranges that no server holds.
    pub fn unowned_ranges(&self) -> Vec<KeyRange> {
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

    /// Number of records in the store.
    pub fn record_count(&self) -> usize {
        self.log.len()
    }

    /// Trace lines that name this range. Renewals aren't traced.
    pub fn trace_of(&self, range: KeyRange) -> Vec<String> {
        let text = range.to_string();
        self.trace.iter().filter(|line| line.contains(&text)).cloned().collect()
    }

    /// The seed and the last trace lines.
    pub fn recent_trace(&self) -> String {
        let from = self.trace.len().saturating_sub(120);
        format!("{}\n{}", self.trace[0], self.trace[from..].join("\n"))
    }
}
