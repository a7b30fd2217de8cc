//! A host that may become the leader: the work of its process around the grantor, without network.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Action, Event, Grantor, Leader, Map,
    grantor::{NoAnswer, RangeGrant, View},
};
use jacinthbeam_types::prelude::*;

use super::{Message, World, calls::GrantRound, service};

pub struct Host {
    grantor: Grantor,
    me: Leader,
    /// Whether the host has the duty to grant.
    pub duty: bool,
    /// The duty that the grantor was last informed of.
    reported_duty: Option<bool>,
    /// Whether the host can reach the store, apart from a network partition.
    pub has_store: bool,
    pub paused_until: Option<Instant>,
    /// When the process exits, if it is shutting down.
    exits_at: Option<Instant>,
    /// Whether the grantor was informed of the shutdown.
    shutdown_reported: bool,
    /// The latest era of the store that the host knows.
    era: Era,
    /// End offset of the records that the host knows.
    end: usize,
    /// The newest of these records, with its offset.
    newest: Option<(usize, Map)>,
    next_read: Option<Instant>,
    next_load: Option<Instant>,
    /// Messages that arrived while the host was suspended.
    inbox: Vec<Message>,
}

impl Host {
    pub fn new(service: ServiceName, me: Leader, first_start: bool) -> Self {
        Self {
            grantor: Grantor::new(service, me.clone()).at_first_start(first_start),
            me,
            duty: false,
            reported_duty: None,
            has_store: true,
            paused_until: None,
            exits_at: None,
            shutdown_reported: false,
            era: Era(0),
            end: 0,
            newest: None,
            next_read: None,
            next_load: None,
            inbox: Vec::new(),
        }
    }

    /// Starts a shutdown. The process exits at `exits_at`, unless an earlier shutdown set another time.
    pub fn shut_down_by(&mut self, exits_at: Instant) {
        self.exits_at.get_or_insert(exits_at);
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// The epoch in which the host leads, if it does.
    pub(super) fn epoch(&self) -> Option<Epoch> {
        self.grantor.map().filter(|_| self.grantor.leads()).map(|map| map.epoch)
    }
}

impl World {
    /// Runs one host for one step, unless it is suspended.
    pub(super) fn step_host(&mut self, n: usize) {
        let now = self.now;
        if self.hosts[n].is_paused(now) {
            return;
        }
        let late = std::mem::take(&mut self.hosts[n].inbox);
        late.into_iter().for_each(|message| self.deliver(message));
        self.poll_store(n);
        self.shut_down_or_exit(n);
        if self.hosts[n].reported_duty != Some(self.hosts[n].duty) && self.hosts[n].has_store {
            let duty = self.hosts[n].duty;
            self.hosts[n].reported_duty = Some(duty);
            self.feed(n, Event::Duty(duty));
        }
        if self.hosts[n].next_load.is_none_or(|at| now >= at) {
            self.hosts[n].next_load = Some(now + Duration::from_millis(500));
            let load = self.load();
            let from = format!("h{n}").parse().unwrap();
            self.feed(n, Event::Load { from, report: load });
        }
        self.feed(n, Event::Tick);
        self.gossip(n);
    }

    /// Informs the grantor of a shutdown, and replaces the process by a new incarnation when it exits.
    fn shut_down_or_exit(&mut self, n: usize) {
        let Some(exits_at) = self.hosts[n].exits_at else { return };
        if !std::mem::replace(&mut self.hosts[n].shutdown_reported, true) {
            self.trace(format!("h{n} shuts down"));
            self.feed(n, Event::ShutdownStarted);
        }
        if self.now < exits_at {
            return;
        }
        self.feed(n, Event::Exit);
        self.trace(format!("h{n} exits"));
        self.replace_process(n);
    }

    /// Replaces the process of a host by a new incarnation that knows nothing.
    pub(super) fn replace_process(&mut self, n: usize) {
        self.incarnations += 1;
        let me = Leader {
            incarnation: Incarnation(u64::from(self.incarnations) + 100),
            ..self.hosts[n].me.clone()
        };
        let (duty, has_store) = (self.hosts[n].duty, self.hosts[n].has_store);
        self.hosts[n] = Host { duty, has_store, ..Host::new(service(), me, false) };
        self.connections.retain(|(host, _), _| *host != n);
        // Grants that were sent may still arrive, but their answers don't.
        for (_, _, message) in &mut self.queue {
            if let Message::Grant { host, round, incarnation, arrived: true } = message
                && *host == n
            {
                let RangeGrant { range, token, .. } = round.grants[round.next].clone();
                *message = Message::OrphanedGrant {
                    to: round.to.addr,
                    incarnation: *incarnation,
                    range,
                    token,
                };
            }
        }
        self.queue.retain(|(_, _, message)| message.host() != Some(n));
    }

    /// Sends the newest map to a random host, at random times.
    fn gossip(&mut self, n: usize) {
        let newest = self.hosts[n].newest.clone().map(|(_, map)| map);
        if let (Some(map), true) = (newest, self.rng.f64() < 0.1) {
            let (to, after) = (self.rng.usize(0..self.hosts.len()), self.network_delay());
            if self.can_communicate(n, to) {
                self.send(after, Message::PeerMap { to, map });
            }
        }
    }

    /// Reads the store at regular intervals. A host may read its own record before it receives the answer to
    /// the append.
    fn poll_store(&mut self, n: usize) {
        let (now, has_store) = (self.now, self.has_store(n));
        let host = &mut self.hosts[n];
        if !has_store || host.next_read.is_some_and(|at| now < at) {
            return;
        }
        host.next_read = Some(now + Duration::from_millis(400));
        self.send_read(n);
    }

    fn send_read(&mut self, n: usize) {
        let (now, after) = (self.now, self.store_delay());
        let (end, map, era) = (self.log.len(), self.log.last().cloned(), self.era);
        self.send(after, Message::Read { host: n, sent_at: now, end, map, era });
    }

    /// Passes an event to the host's grantor and executes the resulting actions.
    pub(super) fn feed(&mut self, n: usize, event: Event) {
        let listed = self.listed();
        let view =
            View { now: self.now, servers: &listed, servers_stable: true, max_owners: usize::MAX };
        let led = self.hosts[n].grantor.leads();
        let actions = self.hosts[n].grantor.step(view, event);
        let leads = self.hosts[n].grantor.leads();
        if led != leads {
            self.trace(format!("h{n} leads: {leads}"));
        }
        for action in actions {
            self.execute(n, action);
        }
    }

    fn execute(&mut self, n: usize, action: Action) {
        let sent_at = self.now;
        match action {
            Action::Record(map) => {
                let at = self.hosts[n].end;
                let after = self.store_delay();
                self.trace(format!("h{n} records {}.{} at {at}", map.epoch, map.version));
                let era = self.hosts[n].era;
                self.send(after, Message::Append { host: n, at, map, sent_at, era });
            }
            Action::Check if self.has_store(n) => {
                let (end, after, era) = (self.log.len(), self.store_delay(), self.era);
                self.send(after, Message::Checked { host: n, sent_at, end, era });
            }
            Action::Grant { to, grants, connection, until } => {
                let epoch = self.hosts[n].epoch().expect("only a host that leads grants");
                let round = GrantRound {
                    to,
                    grants,
                    next: 0,
                    connection,
                    until,
                    epoch,
                    last_call: None,
                    confirmed: Vec::new(),
                    refused: Vec::new(),
                };
                self.send(Duration::ZERO, Message::Round { host: n, round });
            }
            Action::Release { from, range, token } => {
                let after = self.network_delay();
                let probability = self.fault_rates.lost_release;
                let (lost, answered) = (self.chance(probability), !self.chance(probability));
                let server = from.server;
                if lost || !self.reaches(n, server.name()) {
                    let answer = Message::Released {
                        host: n,
                        range,
                        token,
                        handover: None,
                        answered: false,
                    };
                    self.send(Duration::from_millis(500), answer);
                } else {
                    let release = Message::Release { host: n, server, range, token, answered };
                    self.send(after, release);
                }
            }
            Action::NotifySuccessor { to, epoch, others_left } => {
                let leader = self.hosts[n].me.clone();
                let to = (0..self.hosts.len()).find(|n| self.hosts[*n].me == to);
                let after = self.store_delay();
                if let Some(to) = to.filter(|to| self.can_communicate(n, *to) && self.rng.bool()) {
                    self.send(after, Message::PeerStopped { to, leader, epoch, others_left });
                }
            }
            Action::BroadcastStopped { epoch, others_left } => {
                let leader = self.hosts[n].me.clone();
                for to in (0..self.hosts.len()).filter(|to| *to != n) {
                    let after = self.store_delay();
                    if self.can_communicate(n, to) && self.rng.bool() {
                        let leader = leader.clone();
                        self.send(after, Message::PeerStopped { to, leader, epoch, others_left });
                    }
                }
            }
            Action::Check | Action::Resign => {}
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Appended { host, .. }
            | Message::Read { host, .. }
            | Message::Checked { host, .. }
            | Message::Round { host, .. }
            | Message::Released { host, .. } => Some(*host),
            Message::PeerStopped { to, .. } | Message::PeerMap { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(host) = to.filter(|host| self.hosts[*host].is_paused(self.now)) {
            self.hosts[host].inbox.push(message);
            return;
        }
        match message {
            Message::Append { host, at, map, sent_at, era } => {
                self.on_append(host, at, map, sent_at, era);
            }
            Message::Appended { host, at, map, sent_at, accepted, era } => {
                self.on_appended(host, at, map, sent_at, accepted, era);
            }
            Message::Read { host, sent_at, end, map, era } => {
                self.on_read(host, sent_at, end, map, era);
            }
            Message::Checked { host, sent_at, end, era } => {
                if era == self.hosts[host].era && end == self.hosts[host].end {
                    let map = self.hosts[host].newest.clone().map(|(_, map)| map);
                    self.feed(host, Event::Read { sent_at, map, era });
                }
            }
            Message::PeerStopped { to, leader, epoch, others_left } => {
                self.feed(to, Event::PeerStopped { leader, epoch, others_left });
            }
            Message::PeerMap { to, map } => self.feed(to, Event::PeerMap(map)),
            Message::Round { host, round } => self.on_round(host, round),
            Message::Grant { host, round, incarnation, arrived } => {
                self.on_grant(host, round, incarnation, arrived);
            }
            Message::OrphanedGrant { to, incarnation, range, token } => {
                let now = self.now;
                let server = self
                    .servers
                    .values_mut()
                    .find(|s| s.addr == to && s.incarnation == incarnation);
                if server.is_some_and(|server| server.grant(now, range, token)) {
                    self.record_accepted_grant(incarnation, range, token);
                }
            }
            Message::Release { host, server, range, token, answered } => {
                self.on_release(host, &server, range, token, answered);
            }
            Message::Released { host, range, token, handover, answered } => {
                let what = if answered { "has ended there" } else { "gave no answer there" };
                self.trace(format!("{range} under token {token}: what ran {what}"));
                let handover = if answered { Ok(handover) } else { Err(NoAnswer) };
                self.feed(host, Event::Released { range, token, handover });
            }
        }
    }

    fn on_append(&mut self, host: usize, at: usize, map: Map, sent_at: Instant, era: Era) {
        if !self.has_store(host) {
            // The append is lost, and the host's timeout expires.
            let lost = Message::Appended { host, at, map, sent_at, accepted: None, era };
            return self.send(Duration::from_millis(500), lost);
        }
        let accepted = at == self.log.len();
        if accepted {
            self.log.push(map.clone());
            self.log_times.push(self.now);
            // Hosts long-poll the store, so they receive the record immediately, possibly before the host that
            // appended it receives its answer.
            let polling = (0..self.hosts.len()).filter(|n| self.has_store(*n));
            polling.collect::<Vec<_>>().into_iter().for_each(|n| self.send_read(n));
        }
        let probability = self.fault_rates.slow_store * 0.3;
        let is_lost = self.chance(probability);
        let after = if is_lost { Duration::from_millis(800) } else { self.store_delay() };
        // An append that is answered in a later era than it was decided in may have met another record.
        let accepted = if is_lost || era != self.era { None } else { Some(accepted) };
        self.send(after, Message::Appended { host, at, map, sent_at, accepted, era });
    }

    fn on_appended(
        &mut self,
        n: usize,
        at: usize,
        map: Map,
        sent_at: Instant,
        accepted: Option<bool>,
        era: Era,
    ) {
        if accepted != Some(true) || era != self.hosts[n].era {
            return self.feed(n, Event::NotRecorded);
        }
        let host = &mut self.hosts[n];
        host.end = host.end.max(at + 1);
        if host.newest.as_ref().is_none_or(|(offset, _)| *offset < at) {
            host.newest = Some((at, map));
        }
        self.feed(n, Event::Recorded { sent_at });
    }

    fn on_read(&mut self, n: usize, sent_at: Instant, end: usize, map: Option<Map>, era: Era) {
        let host = &mut self.hosts[n];
        if era < host.era {
            return;
        }
        if era > host.era {
            (host.era, host.end, host.newest) = (era, 0, None);
        }
        host.end = host.end.max(end);
        let known_end = host.newest.as_ref().map_or(0, |(offset, _)| offset + 1);
        if let Some(map) = map.filter(|_| known_end < end) {
            host.newest = Some((end - 1, map));
        }
        let map = self.hosts[n].newest.clone().map(|(_, map)| map);
        self.feed(n, Event::Read { sent_at, map, era });
    }
}
