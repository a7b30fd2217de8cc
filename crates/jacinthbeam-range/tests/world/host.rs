//! A host that may grant: what the process does around the grantor, without network.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Action, Event, Grantor, Leader, Map,
    grantor::{NoAnswer, RangeGrant, View},
};
use jacinthbeam_types::prelude::*;

use super::{Message, World, calls::Round, service};

pub struct Host {
    grantor: Grantor,
    me: Leader,
    pub duty: bool,
    told_duty: Option<bool>,
    pub has_store: bool,
    pub paused_until: Option<Instant>,
    /// When it ends, if it was told to stop.
    ends_at: Option<Instant>,
    told_stop: bool,
    /// Records before this offset are known, and the newest of them.
    end: usize,
    newest: Option<(usize, Map)>,
    next_read: Option<Instant>,
    next_load: Option<Instant>,
    /// Messages that came while the host stood still.
    inbox: Vec<Message>,
}

impl Host {
    pub fn new(service: ServiceName, me: Leader) -> Self {
        Self {
            grantor: Grantor::new(service, me.clone()),
            me,
            duty: false,
            told_duty: None,
            has_store: true,
            paused_until: None,
            ends_at: None,
            told_stop: false,
            end: 0,
            newest: None,
            next_read: None,
            next_load: None,
            inbox: Vec::new(),
        }
    }

    /// The process is told to stop, and ends at `ends_at`.
    pub fn stops_until(&mut self, ends_at: Instant) {
        self.ends_at.get_or_insert(ends_at);
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    pub(super) fn epoch(&self) -> Option<Epoch> {
        self.grantor.map().filter(|_| self.grantor.leads()).map(|map| map.epoch)
    }
}

impl World {
    /// A host's own work: it reads the store, and time passes for its grantor.
    pub(super) fn host_step(&mut self, n: usize) {
        let now = self.now;
        if self.hosts[n].is_paused(now) {
            return;
        }
        let late = std::mem::take(&mut self.hosts[n].inbox);
        late.into_iter().for_each(|message| self.deliver(message));
        self.follow(n);
        self.stop_or_end(n);
        if self.hosts[n].told_duty != Some(self.hosts[n].duty) && self.hosts[n].has_store {
            let duty = self.hosts[n].duty;
            self.hosts[n].told_duty = Some(duty);
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

    /// A host that was told to stop ends after some time, and another life of it begins.
    fn stop_or_end(&mut self, n: usize) {
        let Some(ends_at) = self.hosts[n].ends_at else { return };
        if !std::mem::replace(&mut self.hosts[n].told_stop, true) {
            self.tell(format!("h{n} is told to stop"));
            self.feed(n, Event::ShutdownStarted);
        }
        if self.now < ends_at {
            return;
        }
        self.feed(n, Event::Exit);
        self.tell(format!("h{n} ends"));
        self.lives += 1;
        let me = Leader {
            incarnation: Incarnation(u64::from(self.lives) + 100),
            ..self.hosts[n].me.clone()
        };
        let (duty, has_store) = (self.hosts[n].duty, self.hosts[n].has_store);
        self.hosts[n] = Host { duty, has_store, ..Host::new(service(), me) };
        self.lines.retain(|(host, _), _| *host != n);
        // What was sent may still arrive; answers reach nobody.
        for (_, _, message) in &mut self.queue {
            if let Message::Grant { host, round, life, arrived: true } = message
                && *host == n
            {
                let RangeGrant { range, token, .. } = round.calls[round.next].clone();
                *message = Message::Orphan { to: round.to.addr, life: *life, range, token };
            }
        }
        self.queue.retain(|(_, _, message)| message.host() != Some(n));
    }

    /// Hosts tell each other what they know, at times.
    fn gossip(&mut self, n: usize) {
        let known = self.hosts[n].newest.clone().map(|(_, map)| map);
        if let (Some(map), true) = (known, self.rng.f64() < 0.1) {
            let (to, after) = (self.rng.usize(0..self.hosts.len()), self.short());
            if self.meet(n, to) {
                self.send(after, Message::Heard { to, map });
            }
        }
    }

    /// Reads come back some time after the record, before or after the answer to the append that made it.
    fn follow(&mut self, n: usize) {
        let (now, has_store) = (self.now, self.has_store(n));
        let host = &mut self.hosts[n];
        if !has_store || host.next_read.is_some_and(|at| now < at) {
            return;
        }
        host.next_read = Some(now + Duration::from_millis(400));
        self.send_read(n);
    }

    fn send_read(&mut self, n: usize) {
        let (now, after) = (self.now, self.store_way());
        let (end, map) = (self.log.len(), self.log.last().cloned());
        self.send(after, Message::Read { host: n, asked: now, end, map });
    }

    pub(super) fn feed(&mut self, n: usize, event: Event) {
        let listed = self.listed();
        let view = View { now: self.now, servers: &listed, servers_stable: true };
        let led = self.hosts[n].grantor.leads();
        let actions = self.hosts[n].grantor.step(view, event);
        let leads = self.hosts[n].grantor.leads();
        if led != leads {
            self.tell(format!("h{n} leads: {leads}"));
        }
        for action in actions {
            self.carry_out(n, action);
        }
    }

    fn carry_out(&mut self, n: usize, action: Action) {
        let asked = self.now;
        match action {
            Action::Record(map) => {
                let at = self.hosts[n].end;
                let after = self.store_way();
                self.tell(format!("h{n} records {}.{} at {at}", map.epoch, map.version));
                self.send(after, Message::Append { host: n, at, map, asked });
            }
            Action::Check if self.has_store(n) => {
                let (end, after) = (self.log.len(), self.store_way());
                self.send(after, Message::Checked { host: n, asked, end });
            }
            Action::Grant { to, grants: calls, connection: over, until } => {
                let epoch = self.hosts[n].epoch().expect("only a host that leads grants");
                let round = Round {
                    to,
                    calls,
                    next: 0,
                    over,
                    until,
                    epoch,
                    last_call: None,
                    confirmed: Vec::new(),
                    refused: Vec::new(),
                };
                self.send(Duration::ZERO, Message::Round { host: n, round });
            }
            Action::Release { from, range, token } => {
                let after = self.short();
                let odds = self.odds.lost_release;
                let (lost, answered) = (self.chance(odds), !self.chance(odds));
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
                let after = self.store_way();
                if let Some(to) = to.filter(|to| self.meet(n, *to) && self.rng.bool()) {
                    self.send(after, Message::Stopped { to, leader, epoch, others_left });
                }
            }
            Action::BroadcastStopped { epoch, others_left } => {
                let leader = self.hosts[n].me.clone();
                for to in (0..self.hosts.len()).filter(|to| *to != n) {
                    let after = self.store_way();
                    if self.meet(n, to) && self.rng.bool() {
                        let leader = leader.clone();
                        self.send(after, Message::Stopped { to, leader, epoch, others_left });
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
            Message::Stopped { to, .. } | Message::Heard { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(host) = to.filter(|host| self.hosts[*host].is_paused(self.now)) {
            self.hosts[host].inbox.push(message);
            return;
        }
        match message {
            Message::Append { host, at, map, asked } => {
                self.on_append(host, at, map, asked);
            }
            Message::Appended { host, at, map, asked, kept, .. } => {
                self.on_appended(host, at, map, asked, kept);
            }
            Message::Read { host, asked, end, map } => self.on_read(host, asked, end, map),
            Message::Checked { host, asked, end } => {
                if end == self.hosts[host].end {
                    let map = self.hosts[host].newest.clone().map(|(_, map)| map);
                    self.feed(host, Event::Read { sent_at: asked, map });
                }
            }
            Message::Stopped { to, leader, epoch, others_left } => {
                self.feed(to, Event::PeerStopped { leader, epoch, others_left });
            }
            Message::Heard { to, map } => self.feed(to, Event::PeerMap(map)),
            Message::Round { host, round } => self.on_round(host, round),
            Message::Grant { host, round, life, arrived } => {
                self.on_grant(host, round, life, arrived);
            }
            Message::Orphan { to, life, range, token } => {
                let now = self.now;
                let server = self.servers.values_mut().find(|s| s.addr == to && s.life == life);
                if server.is_some_and(|server| server.grant(now, range, token)) {
                    self.note_taken(life, range, token);
                }
            }
            Message::Release { host, server, range, token, answered } => {
                self.on_release(host, &server, range, token, answered);
            }
            Message::Released { host, range, token, handover, answered } => {
                let what = if answered { "has ended there" } else { "gave no answer there" };
                self.tell(format!("{range} under token {token}: what ran {what}"));
                let handover = if answered { Ok(handover) } else { Err(NoAnswer) };
                self.feed(host, Event::Released { range, token, handover });
            }
        }
    }

    fn on_append(&mut self, host: usize, at: usize, map: Map, asked: Instant) {
        if !self.has_store(host) {
            // Nothing arrives; the host learns of it by its timeout.
            let lost = Message::Appended { host, at, map, asked, kept: None };
            return self.send(Duration::from_millis(500), lost);
        }
        let kept = at == self.log.len();
        if kept {
            self.log.push(map.clone());
            // Hosts wait for the next record, so they hear of it at once, perhaps before the answer arrives.
            let waiting = (0..self.hosts.len()).filter(|n| self.has_store(*n));
            waiting.collect::<Vec<_>>().into_iter().for_each(|n| self.send_read(n));
        }
        let late = self.odds.store_late * 0.3;
        let unanswered = self.chance(late);
        let after = if unanswered { Duration::from_millis(800) } else { self.store_way() };
        let kept = if unanswered { None } else { Some(kept) };
        self.send(after, Message::Appended { host, at, map, asked, kept });
    }

    fn on_appended(&mut self, n: usize, at: usize, map: Map, asked: Instant, kept: Option<bool>) {
        if kept != Some(true) {
            return self.feed(n, Event::NotRecorded);
        }
        let host = &mut self.hosts[n];
        host.end = host.end.max(at + 1);
        if host.newest.as_ref().is_none_or(|(offset, _)| *offset < at) {
            host.newest = Some((at, map));
        }
        self.feed(n, Event::Recorded { sent_at: asked });
    }

    fn on_read(&mut self, n: usize, asked: Instant, end: usize, map: Option<Map>) {
        let host = &mut self.hosts[n];
        host.end = host.end.max(end);
        let known = host.newest.as_ref().map_or(0, |(offset, _)| offset + 1);
        if let Some(map) = map.filter(|_| known < end) {
            host.newest = Some((end - 1, map));
        }
        let map = self.hosts[n].newest.clone().map(|(_, map)| map);
        self.feed(n, Event::Read { sent_at: asked, map });
    }
}
