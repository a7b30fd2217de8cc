//! An entry host around the attendants, and what messages do.

use std::{collections::BTreeMap, time::Instant};

use jacinthbeam_config::CutOff;
use jacinthbeam_lease::{
    Action, Attendant, Cx, Event, Members, Observed, Probed, Proofs, Timing, Witness,
    attendant::{Identity, Reply},
    membership::Heard,
};
use jacinthbeam_state::{Envelope, RecordId, State, record::SlotTarget};
use jacinthbeam_types::prelude::*;

use super::{Mail, Server, TIMEOUT, World, local, name};

/// How long requests that run take to end.
const DRAIN_MS: u64 = 30;

pub struct Host {
    pub id: HostId,
    pub incarnation: Incarnation,
    pub state: State,
    pub attendants: Vec<Attendant>,
    pub paused_until: u64,
    pub log_cut_until: u64,
    pub cut: BTreeMap<usize, u64>,
    pub apart: BTreeMap<usize, u64>,
    drift: i64,
    members: Members,
    proofs: Proofs,
    witness: Witness,
    observed: Observed,
    elected: Vec<Option<bool>>,
    asks: BTreeMap<usize, u64>,
    handed_over: usize,
}

impl Host {
    pub fn new(at: usize, drift: i64, start: Instant, servers: &[Server]) -> Self {
        let id: HostId = name(&char::from(b'a' + at as u8).to_string());
        let incarnation = Incarnation(100 + at as u64);
        let heard = Heard {
            host: id.clone(),
            incarnation,
            peer_address: ([127, 0, 0, 1], 7000 + at as u16).into(),
            stopping: false,
            unreachable: Default::default(),
            attends: Default::default(),
        };
        let attendant = |server: &Server| {
            Attendant::new(Identity {
                server: server.id.clone(),
                service: name("tilecast"),
                cell: name("kamloops-a"),
                host: id.clone(),
                incarnation,
            })
        };
        Self {
            attendants: servers.iter().map(attendant).collect(),
            elected: vec![None; servers.len()],
            members: Members::new(start, heard, &Timing::default()),
            state: State::new(),
            paused_until: 0,
            log_cut_until: 0,
            cut: BTreeMap::new(),
            apart: BTreeMap::new(),
            drift,
            proofs: Proofs::new(),
            witness: Witness::new(incarnation, name("kamloops-a")),
            observed: Observed::new(start),
            asks: BTreeMap::new(),
            handed_over: 0,
            id,
            incarnation,
        }
    }

    pub fn as_witness(&self) -> jacinthbeam_state::Witness {
        jacinthbeam_state::Witness {
            host: self.id.clone(),
            incarnation: self.incarnation,
            peer_address: self.members.own().peer_address,
        }
    }

    pub fn pause(&mut self, until: u64) {
        self.paused_until = self.paused_until.max(until);
    }
}

impl World {
    fn now(&self, host: usize) -> Instant {
        local(self.start, self.ms, self.hosts[host].drift)
    }

    fn is_paused(&self, host: usize) -> bool {
        self.ms < self.hosts[host].paused_until
    }

    fn is_apart(&self, host: usize, other: usize) -> bool {
        self.hosts[host].apart.get(&other).is_some_and(|until| self.ms < *until)
    }

    pub(super) fn stop(&mut self, host: usize) {
        (0..self.servers.len()).for_each(|server| self.tell(host, server, Event::Stop));
    }

    pub(super) fn step_host(&mut self, at: usize) {
        if self.is_paused(at) {
            return;
        }
        let beat = 4 * at as u64 * 10;
        if self.ms % 200 == beat % 200 {
            self.beat(at);
        }
        if self.ms.is_multiple_of(20) && self.log_answers(at) {
            self.read_log(at);
        }
        if self.ms.is_multiple_of(20) {
            (0..self.servers.len()).for_each(|server| self.tick(at, server));
        }
    }

    fn beat(&mut self, from: usize) {
        let sent = self.now(from);
        self.hosts[from].members.beat(sent);
        let heard = self.hosts[from].members.own().clone();
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.send(Mail::Beat { from, to, sent, heard: heard.clone() });
        }
    }

    fn read_log(&mut self, at: usize) {
        let now = self.now(at);
        let host = &mut self.hosts[at];
        while let Some(envelope) = self.log.get(host.state.next.0 as usize) {
            let offset = host.state.next;
            host.state.apply(offset, envelope).expect("the next record");
            host.observed.read(now, offset);
        }
        host.proofs.log_read(now, host.state.next);
    }

    fn tick(&mut self, at: usize, server: usize) {
        let now = self.now(at);
        let host = &mut self.hosts[at];
        let elected = host.members.attendant_of(now, &self.servers[server].id) == Some(&host.id);
        if host.elected[server].replace(elected) != Some(elected) {
            self.tell(at, server, Event::Elected(elected));
        }
        self.tell(at, server, Event::Tick);
    }

    /// Hands an event to an attendant and carries out what it asks for.
    fn tell(&mut self, at: usize, server: usize, event: Event) {
        let now = self.now(at);
        let id = self.servers[server].id.clone();
        let host = &mut self.hosts[at];
        let cut_off =
            host.state.service(&name("tilecast")).map_or(CutOff::Hold, |service| service.cut_off);
        let targets = |_: &ServerId| evict_targets(&host.state, &id);
        let cx = Cx {
            state: &host.state,
            proof: host.proofs.proof(now, &host.state, &id, cut_off, &host.witness),
            log_read: host.proofs.log(&host.state),
            promised: host.proofs.promised(&host.state, &id, &host.witness),
            members: &host.members,
            observed: &host.observed,
            timing: &Timing::default(),
            leaving: self.servers[server].leaving,
            planned: self.moves.get(&id).map_or(&[], Vec::as_slice),
            evict_targets: &targets,
        };
        let actions = host.attendants[server].on(now, event, &cx);
        let attends = host.attendants[server].attends().is_some();
        let handed_over = host.members.own().attends.contains(&id) && !attends;
        host.members.attend(&id, attends);
        if handed_over {
            self.beat(at);
        }
        for action in actions {
            self.show(at, server, &action);
            self.act(at, server, action);
        }
    }

    fn act(&mut self, at: usize, server: usize, action: Action) {
        let id = self.servers[server].id.clone();
        match action {
            Action::Query => self.ask(at, server, None),
            Action::Grant(grant) => self.ask(at, server, Some(grant)),
            Action::Open(_) | Action::Close => {}
            Action::Hold { slots } => {
                let event = Event::Released { slots };
                self.send_in(DRAIN_MS, Mail::Tell { to: at, server, event });
            }
            Action::Drain => {
                self.send_in(DRAIN_MS, Mail::Tell { to: at, server, event: Event::Drained });
            }
            Action::Probe(probe) => {
                for to in 0..self.hosts.len() {
                    self.send(Mail::Probe { from: at, to, server, probe: probe.clone() });
                }
            }
            Action::AskAttend { host } => {
                let to = self.hosts.iter().position(|other| other.id == host).expect("a host");
                self.send(Mail::Tell { to, server, event: Event::Asked });
            }
            Action::Report { reachable } => self.hosts[at].members.report(&id, reachable),
            Action::Append { id, record, why } => {
                let id = RecordId { incarnation: self.hosts[at].incarnation, sequence: id.0 };
                self.send(Mail::Append { from: at, server, event: Envelope { id, why, record } });
            }
            Action::HandedOver => {
                self.hosts[at].handed_over += 1;
                if self.hosts[at].handed_over == self.servers.len() {
                    self.hosts[at].members.stop();
                    self.beat(at);
                }
            }
        }
    }

    fn ask(&mut self, from: usize, server: usize, grant: Option<jacinthbeam_lease::Grant>) {
        let (sent, ask) = (self.now(from), self.sequence);
        assert!(self.hosts[from].asks.insert(server, ask).is_none(), "one question at a time");
        self.send(Mail::Ask { from, server, ask, sent, grant });
        self.send_in(TIMEOUT, Mail::Timeout { to: from, server, ask });
    }

    pub(super) fn receive(&mut self, mail: Mail) {
        match &mail {
            Mail::Answer { to, .. }
            | Mail::Timeout { to, .. }
            | Mail::Tell { to, .. }
            | Mail::Beat { to, .. }
            | Mail::Echo { to, .. }
            | Mail::Probe { to, .. }
            | Mail::Probed { to, .. }
                if self.is_paused(*to) =>
            {
                // Waits in the socket of the paused host.
                let wait = self.hosts[*to].paused_until.saturating_sub(self.ms);
                if wait < u64::MAX / 2 {
                    self.send_in(wait, mail);
                }
                return;
            }
            Mail::Ask { server, .. } if self.ms < self.servers[*server].frozen_until => {
                let wait = self.servers[*server].frozen_until - self.ms;
                return self.send_in(wait, mail);
            }
            _ => {}
        }
        self.handle(mail);
    }

    fn handle(&mut self, mail: Mail) {
        let ms = self.ms;
        match mail {
            Mail::Ask { from, server, ask, sent, grant } if !self.is_cut(from, server) => {
                let (accepted, state) = self.servers[server].answer(ms, grant);
                self.send(Mail::Answer { to: from, server, ask, sent, accepted, state });
            }
            Mail::Answer { to, server, ask, sent, accepted, state }
                if self.hosts[to].asks.get(&server) == Some(&ask) =>
            {
                self.hosts[to].asks.remove(&server);
                let reply = Reply { sent, received: self.now(to), state };
                let event = if accepted { Event::Reply(reply) } else { Event::Refused(reply) };
                self.tell(to, server, event);
            }
            Mail::Timeout { to, server, ask } if self.hosts[to].asks.get(&server) == Some(&ask) => {
                self.hosts[to].asks.remove(&server);
                self.tell(to, server, Event::NoReply);
            }
            Mail::Beat { from, to, sent, heard } if !self.is_apart(to, from) => {
                let now = self.now(to);
                let host = &mut self.hosts[to];
                host.members.hear(now, heard);
                let (own, vouch) = (host.members.own().clone(), host.witness.vouch(&host.state));
                self.send(Mail::Echo { from: to, to: from, sent, heard: own, vouch });
            }
            Mail::Echo { from, to, sent, heard, vouch } if !self.is_apart(to, from) => {
                let now = self.now(to);
                let witness = self.hosts[from].incarnation;
                let host = &mut self.hosts[to];
                host.members.hear(now, heard);
                if let Some(vouch) = vouch {
                    host.proofs.vouched(witness, sent, vouch);
                }
            }
            Mail::Probe { from, to, server, probe } if !self.is_apart(to, from) => {
                let reached = ms >= self.servers[server].frozen_until && !self.is_cut(to, server);
                let host = &mut self.hosts[to];
                let probed = host.witness.probed(&probe, reached, &host.state);
                let mail = Mail::Probed { from: to, to: from, server, probe, probed };
                // A host tries for as long as a probe may take before it says that there was no answer.
                if probed == Probed::Reached {
                    self.send(mail)
                } else {
                    self.send_in(TIMEOUT, mail)
                }
            }
            Mail::Probed { from, to, server, probe, probed } if !self.is_apart(to, from) => {
                let (host, incarnation) =
                    (self.hosts[from].id.clone(), self.hosts[from].incarnation);
                self.tell(to, server, Event::Probed { host, incarnation, probe, probed });
            }
            Mail::Append { from, server, event } => self.append(from, server, event),
            Mail::Tell { to, server, event } => self.tell(to, server, event),
            _ => {}
        }
    }

    fn append(&mut self, from: usize, server: usize, envelope: Envelope) {
        let id = jacinthbeam_lease::attendant::AppendId(envelope.id.sequence);
        let event = if self.log_answers(from) {
            let offset = self.write(envelope);
            if self.ms < self.answers_lost_until {
                Event::AppendFailed { id }
            } else {
                Event::Appended { id, offset }
            }
        } else {
            Event::AppendFailed { id }
        };
        self.send(Mail::Tell { to: from, server, event });
    }
}

/// Spreads the slots over the other active servers.
fn evict_targets(state: &State, server: &ServerId) -> Vec<SlotTarget> {
    let service = name("tilecast");
    let others: Vec<_> = state.servers_of(&service).filter(|(id, _)| *id != server).collect();
    let slots = state.slots_of(server).map(|(_, slot, _)| slot);
    let next = others.iter().map(|(id, _)| (*id).clone()).cycle();
    slots.zip(next).map(|(slot, to)| SlotTarget { slot, to }).collect()
}
