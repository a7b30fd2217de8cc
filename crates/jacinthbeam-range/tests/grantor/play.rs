//! A granting host with its servers, step by step.

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

/// The same server after it has started again under its name.
pub fn started_again(n: u16) -> Server {
    let before = server(n, false);
    Server { id: ServerId::new(before.id.name().clone(), Some(Born(5))), ..before }
}

/// A granting host with its servers, whose answers the test chooses.
pub struct Play {
    pub now: Instant,
    pub servers: Servers,
    pub grantor: Grantor,
    pub map: Option<Map>,
    /// Whether questions to the store get no answer.
    pub store_is_away: bool,
    /// When the connection to each server was opened.
    pub lines: BTreeMap<ServerId, Instant>,
    /// Servers that give no answer.
    pub silent: Vec<ServerId>,
    /// Servers at whose addresses another life answers.
    pub ended: Vec<ServerId>,
    /// Releases that were ordered and are not answered yet.
    pub releases: Vec<(KeyRange, Token)>,
    /// Grants that were sent, with their time.
    pub sent: Vec<(Instant, ServerId, RangeGrant)>,
    pub records: Vec<Map>,
    pub resigned: bool,
    /// What was told to a successor.
    pub told: Vec<Duration>,
}

impl Play {
    /// A host that leads over two servers, and has granted everything.
    pub fn leading() -> Self {
        let mut play = Self::new(1, None);
        play.run(Duration::from_secs(2));
        assert!(play.grantor.leads());
        play
    }

    /// A host that has the duty, and finds this record. Two servers are listed, and both answer.
    pub fn new(n: u64, map: Option<Map>) -> Self {
        Self::among(2, n, map, &[])
    }

    /// The same among some servers, of which these have been silent from before.
    pub fn among(count: u16, n: u64, map: Option<Map>, silent: &[u16]) -> Self {
        let mut play = Self::without_duty(count, n, map.clone(), silent);
        play.feed(Event::Duty(true));
        play.feed(Event::Read { sent_at: play.now, map });
        play
    }

    /// The same among two servers for a host that knows the record and has no duty yet.
    pub fn waiting(n: u64, map: Option<Map>, silent: &[u16]) -> Self {
        let mut play = Self::without_duty(2, n, map.clone(), silent);
        play.feed(Event::Read { sent_at: play.now, map });
        play
    }

    fn without_duty(count: u16, n: u64, map: Option<Map>, silent: &[u16]) -> Self {
        let mut servers = Servers::default();
        for n in 1..=count {
            servers.insert(server(n, false));
        }
        let grantor = Grantor::new("tiles".parse().unwrap(), leader(n));
        let now = Instant::now();
        Self {
            now,
            servers,
            grantor,
            map,
            store_is_away: false,
            lines: BTreeMap::new(),
            silent: silent.iter().map(|n| server(*n, false).id).collect(),
            ended: Vec::new(),
            releases: Vec::new(),
            sent: Vec::new(),
            records: Vec::new(),
            resigned: false,
            told: Vec::new(),
        }
    }

    pub fn feed(&mut self, event: Event) {
        let view = View { now: self.now, servers: &self.servers, servers_stable: true };
        for action in self.grantor.step(view, event) {
            self.carry_out(action);
        }
    }

    pub fn carry_out(&mut self, action: Action) {
        match action {
            Action::Record(map) => {
                self.records.push(map.clone());
                self.map = Some(map);
                self.feed(Event::Recorded { sent_at: self.now });
            }
            Action::Check if self.store_is_away => {}
            Action::Check => self.feed(Event::Read { sent_at: self.now, map: self.map.clone() }),
            Action::Grant { to, grants, connection, until } => {
                assert!(self.now < until);
                // Open for long, unless the test says otherwise.
                let long_ago = self.now - Duration::from_secs(1);
                let line = *self.lines.entry(to.server.clone()).or_insert(long_ago);
                if connection != Some(line) {
                    return self.feed(Event::Granted {
                        server: to.server,
                        outcome: Outcome::Opened(line),
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
                self.told.push(others_left);
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

    /// The same while calls to the store are not answered. Returns whether a record was sent.
    pub fn feed_without_store(&mut self, event: Event) -> bool {
        let view = View { now: self.now, servers: &self.servers, servers_stable: true };
        let mut recorded = false;
        self.store_is_away = true;
        for action in self.grantor.step(view, event) {
            match action {
                Action::Record(_) => recorded = true,
                Action::Check => {}
                action => self.carry_out(action),
            }
        }
        self.store_is_away = false;
        recorded
    }

    /// Runs while calls to the store are not answered.
    pub fn run_without_store(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.feed_without_store(Event::Tick);
        }
    }

    /// Runs until `what` holds, and returns how long that took.
    pub fn until(&mut self, what: impl Fn(&Self) -> bool) -> Duration {
        let begun = self.now;
        while !what(self) {
            self.run(TICK);
            assert!(self.now - begun < Duration::from_secs(60), "it never happens");
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
