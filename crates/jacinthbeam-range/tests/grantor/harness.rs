//! Drives one granting host step by step, against servers and a store controlled by the test.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_range::{
    Action, Event, Grantor, KeyRange, Leader, Map,
    grantor::{Outcome, RangeGrant, View},
};
use jacinthbeam_route::{Server, Servers};
use jacinthbeam_types::prelude::*;

pub const TICK: Duration = Duration::from_millis(100);

pub fn leader(n: u64) -> Leader {
    Leader {
        host: format!("h{n}").parse().unwrap(),
        incarnation: Incarnation(n),
        addr: format!("127.0.0.1:{n}").parse().unwrap(),
    }
}

pub fn server(n: u16, draining: bool) -> Server {
    Server {
        id: format!("s{n}").parse().unwrap(),
        service: "tiles".parse().unwrap(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().unwrap(),
        domain: "d".parse().unwrap(),
        slots: 3,
        draining,
        warmup_left: Duration::ZERO,
        cold_rate: None,
    }
}

/// The same server after a restart under its name.
pub fn restarted(n: u16) -> Server {
    let before = server(n, false);
    Server { id: ServerId::new(before.id.name().clone(), Some(Born(5))), ..before }
}

/// A granting host with its servers, whose answers the test chooses.
pub struct Harness {
    pub now: Instant,
    pub servers: Servers,
    pub max_owners: usize,
    pub servers_stable: bool,
    pub grantor: Grantor,
    pub map: Option<Map>,
    /// Era of the store.
    pub era: Era,
    /// Whether calls to the store get no answer.
    pub store_unreachable: bool,
    /// When the connection to each server was opened.
    pub connections: BTreeMap<ServerId, Instant>,
    /// Servers that give no answer.
    pub silent: Vec<ServerId>,
    /// Servers at whose addresses another incarnation answers.
    pub ended: Vec<ServerId>,
    /// Releases that were ordered and are not answered yet.
    pub releases: Vec<(KeyRange, Token)>,
    /// All grants that were sent, each with its time.
    pub sent: Vec<(Instant, ServerId, RangeGrant)>,
    pub records: Vec<Map>,
    pub resigned: bool,
    /// Values of `others_left` that were reported to a successor or to all hosts.
    pub reported_others_left: Vec<Duration>,
}

impl Harness {
    /// A host that leads over two servers and has granted all keys.
    pub fn leading() -> Self {
        let mut harness = Self::new(1, None);
        harness.run(Duration::from_secs(2));
        assert!(harness.grantor.leads());
        harness
    }

    /// A host that has the duty and reads this record. Two servers are listed, and both answer.
    pub fn new(n: u64, map: Option<Map>) -> Self {
        Self::with_servers(2, n, map, &[])
    }

    /// The same with `count` servers, of which some are silent from the start.
    pub fn with_servers(count: u16, n: u64, map: Option<Map>, silent: &[u16]) -> Self {
        let mut harness = Self::without_duty(count, n, map.clone(), silent);
        harness.feed(Event::Duty(true));
        harness.feed(Event::Read { sent_at: harness.now, map, era: Era(0) });
        harness
    }

    /// A host that has read the record and doesn't have the duty yet, with two servers.
    pub fn on_standby(n: u64, map: Option<Map>, silent: &[u16]) -> Self {
        let mut harness = Self::without_duty(2, n, map.clone(), silent);
        harness.feed(Event::Read { sent_at: harness.now, map, era: Era(0) });
        harness
    }

    pub fn without_duty(count: u16, n: u64, map: Option<Map>, silent: &[u16]) -> Self {
        let mut servers = Servers::default();
        for n in 1..=count {
            servers.insert(server(n, false));
        }
        let grantor = Grantor::new("tiles".parse().unwrap(), leader(n));
        let now = Instant::now();
        Self {
            now,
            servers,
            max_owners: usize::MAX,
            servers_stable: true,
            grantor,
            map,
            era: Era(0),
            store_unreachable: false,
            connections: BTreeMap::new(),
            silent: silent.iter().map(|n| server(*n, false).id).collect(),
            ended: Vec::new(),
            releases: Vec::new(),
            sent: Vec::new(),
            records: Vec::new(),
            resigned: false,
            reported_others_left: Vec::new(),
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let view = View {
            now: self.now,
            servers: &self.servers,
            servers_stable: self.servers_stable,
            max_owners: self.max_owners,
        };
        self.grantor.step(view, event)
    }

    pub fn feed(&mut self, event: Event) {
        for action in self.step(event) {
            self.execute(action);
        }
    }

    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Record(map) => {
                self.records.push(map.clone());
                self.map = Some(map);
                self.feed(Event::Recorded { sent_at: self.now });
            }
            Action::Check if self.store_unreachable => {}
            Action::Check => {
                let (map, era) = (self.map.clone(), self.era);
                self.feed(Event::Read { sent_at: self.now, map, era })
            }
            Action::Grant { to, grants, connection, until } => {
                assert!(self.now < until);
                // Connections have been open for a while, unless the test sets another time.
                let long_ago = self.now - Duration::from_secs(1);
                let current = *self.connections.entry(to.server.clone()).or_insert(long_ago);
                if connection != Some(current) {
                    return self.feed(Event::Granted {
                        server: to.server,
                        outcome: Outcome::Opened(current),
                        last_call: None,
                        confirmed: Vec::new(),
                        refused: Vec::new(),
                    });
                }
                let silent = self.silent.contains(&to.server);
                let ended = self.ended.contains(&to.server);
                let outcome = match (ended, silent) {
                    (true, _) => Outcome::Ended,
                    (_, true) => Outcome::Silent,
                    _ => Outcome::Answered,
                };
                let confirmed = match silent || ended {
                    true => Vec::new(),
                    false => grants.iter().map(|grant| (grant.range, grant.token)).collect(),
                };
                let sent = grants.into_iter().map(|grant| (self.now, to.server.clone(), grant));
                self.sent.extend(sent);
                let (server, last_call) = (to.server, Some(self.now));
                let refused = Vec::new();
                self.feed(Event::Granted { server, outcome, last_call, confirmed, refused });
            }
            Action::Release { range, token, .. } => self.releases.push((range, token)),
            Action::NotifySuccessor { others_left, .. }
            | Action::BroadcastStopped { others_left, .. } => {
                self.reported_others_left.push(others_left);
            }
            Action::Resign => self.resigned = true,
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.feed(Event::Tick);
        }
    }

    /// Like `feed`, while calls to the store get no answer. Returns whether a record was appended.
    pub fn feed_without_store(&mut self, event: Event) -> bool {
        let mut recorded = false;
        self.store_unreachable = true;
        for action in self.step(event) {
            match action {
                Action::Record(_) => recorded = true,
                Action::Check => {}
                action => self.execute(action),
            }
        }
        self.store_unreachable = false;
        recorded
    }

    /// Like `run`, while calls to the store get no answer.
    pub fn run_without_store(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.feed_without_store(Event::Tick);
        }
    }

    /// Runs until `what` holds, and returns how long that took.
    pub fn run_until(&mut self, what: impl Fn(&Self) -> bool) -> Duration {
        let begun = self.now;
        while !what(self) {
            self.run(TICK);
            assert!(self.now - begun < Duration::from_secs(60), "condition not met within 60 s");
        }
        self.now - begun
    }

    pub fn keys_of(&self, n: u16) -> u32 {
        let id = server(n, false).id;
        let map = self.map.as_ref().unwrap();
        map.owned_by(&id).map(|held| held.range.width()).sum()
    }

    pub fn last_grant_to(&self, n: u16) -> Instant {
        let id = server(n, false).id;
        self.sent.iter().filter(|(_, to, _)| *to == id).map(|(at, _, _)| *at).max().unwrap()
    }
}
