//! Carrying out what the attendants of the cell's backend servers ask for.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use jacinthbeam_admission::server::Report;
use jacinthbeam_lease::{
    Action, Attendant, Cx, Grant, GrantState, Permit,
    attendant::{self, AppendId, Identity, PlannedMove, Reply},
    witness::Probe,
};
use jacinthbeam_peer::message::{self, Answer, Question};
use jacinthbeam_platform::{
    backend::{self, Pool},
    format::backend as format,
    grant::{self, Outcome},
};
use jacinthbeam_state::{Division, Record};
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use super::{Control, Event, answer};
use crate::version::Attended;

/// A backend server of the cell, attended by this host or by another.
#[derive(Debug)]
pub struct Tended {
    pub(super) attendant: Attendant,
    pub(super) service: ServiceName,
    pub(super) addr: SocketAddr,
    pub(super) leaving: bool,
    pub(super) grants: Arc<grant::Client>,
    /// What traffic uses, from the first permit on.
    pub(super) attended: Option<Arc<Attended>>,
    /// Whether traffic may use it.
    pub(super) open: bool,
    /// Token of the last permit.
    pub(super) token: Token,
    elected: Option<bool>,
    held: BTreeSet<SlotId>,
    draining: bool,
    report: Option<Report>,
    /// Whether the successor has got the last copies.
    pub(super) parting: super::memory::Parting,
    /// What the server has said of its grant.
    pub(super) granted: super::memory::Granted,
    pub(super) planned: Vec<PlannedMove>,
}

impl Control {
    /// Starts to stand by for a backend server of the cell.
    pub(super) fn tend(&mut self, server: &ServerId, service: &ServiceName, addr: SocketAddr) {
        let id = Identity {
            server: server.clone(),
            service: service.clone(),
            cell: self.me.cell.clone(),
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
        };
        let grants = grant::Client::open(addr, server.clone(), self.timing.probe_timeout)
            .bound_to(self.me.source);
        let tended = Tended {
            attendant: Attendant::new(id),
            service: service.clone(),
            addr,
            leaving: false,
            grants: Arc::new(grants),
            attended: None,
            open: false,
            token: Token(0),
            elected: None,
            held: BTreeSet::new(),
            draining: false,
            report: None,
            parting: Default::default(),
            granted: Default::default(),
            planned: Vec::new(),
        };
        self.tended.insert(server.clone(), tended);
    }

    /// Tells each attendant whether this host should attend its server.
    pub(super) fn elect(&mut self, now: Instant) {
        let mut told = Vec::new();
        for (server, tended) in &mut self.tended {
            let elected = self.members.attendant_of(now, server) == Some(&self.me.host);
            if tended.elected != Some(elected) {
                tended.elected = Some(elected);
                told.push((server.clone(), elected));
            }
        }
        for (server, elected) in told {
            self.attendant_event(&server, attendant::Event::Elected(elected));
        }
    }

    /// Lets each attendant look at the time and the fold, and tells it what traffic has finished.
    pub(super) fn tick_attendants(&mut self) {
        for server in self.tended.keys().cloned().collect::<Vec<_>>() {
            self.report_traffic(&server);
            self.attendant_event(&server, attendant::Event::Tick);
        }
    }

    pub(super) fn report_traffic(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        let Some(attended) = tended.attended.clone() else { return };
        attended.tick();
        if tended.draining && attended.runs_nothing() {
            // What waits is for the next attendant.
            attended.close(Reason::NotAttendant);
            // Nothing runs and nothing is admitted, so traffic has no use for it until a permit opens it again.
            tended.open = false;
            self.changed = true;
            if !self.has_copied(server) {
                return;
            }
            let Some(tended) = self.tended.get_mut(server) else { return };
            tended.draining = false;
            self.attendant_event(server, attendant::Event::Drained);
            return;
        }
        let division = self.state.services.get(&tended.service).cloned();
        let parent = |slot| parent_slot(division.as_deref()?, slot);
        let slots: BTreeSet<SlotId> =
            attended.drained(parent).intersection(&tended.held).copied().collect();
        if !slots.is_empty() {
            tended.held.retain(|slot| !slots.contains(slot));
            self.attendant_event(server, attendant::Event::Released { slots });
        }
    }

    /// Hands an event to an attendant and carries out what it asks for.
    pub(super) fn attendant_event(&mut self, server: &ServerId, event: attendant::Event) {
        // Taken out for as long as the rest of the state is lent to it.
        let Some(mut tended) = self.tended.remove(server) else { return };
        if let attendant::Event::Reply(reply) | attendant::Event::Refused(reply) = &event {
            let report = Report {
                asked: reply.sent,
                running: reply.state.running,
                running_older: reply.state.running_older,
            };
            tended.report = Some(report);
            tended.granted.reported(&reply.state);
        }
        let cut_off =
            self.state.service(&tended.service).map_or_else(Default::default, |s| s.cut_off);
        let now = self.clock.now();
        let targets = |lost: &ServerId| self.evict_targets(lost);
        let cx = Cx {
            state: &self.state,
            proof: self.proofs.proof(now, &self.state, server, cut_off, &self.witness),
            log_read: self.proofs.log(&self.state),
            promised: self.proofs.promised(&self.state, server, &self.witness),
            members: &self.members,
            observed: &self.observed,
            timing: &self.timing,
            leaving: tended.leaving,
            planned: &tended.planned,
            evict_targets: &targets,
        };
        let actions = tended.attendant.on(now, event, &cx);
        let attends = tended.attendant.attends().is_some();
        // Its successor waits for this news; the next heartbeat in turn would add to the time without an attendant.
        if !attends && self.members.own().attends.contains(server) {
            self.announce = true;
        }
        self.members.attend(server, attends);
        self.tended.insert(server.clone(), tended);
        for action in actions {
            self.carry_out(server, action);
        }
    }

    fn carry_out(&mut self, server: &ServerId, action: Action) {
        match action {
            Action::Query => self.query(server),
            Action::Grant(grant) => self.grant(server, grant),
            Action::Open(permit) => self.open(server, permit),
            Action::Close => self.close(server),
            Action::Hold { slots } => self.hold(server, slots),
            Action::Drain => self.drain(server),
            Action::Probe(probe) => self.probe(probe),
            Action::AskAttend { host } => self.ask_attend(server, &host),
            Action::Report { reachable } => self.members.report(server, reachable),
            Action::Append { id, record, why } => self.append_for(server, id, record, why),
            Action::HandedOver => {
                self.handed_over.insert(server.clone());
            }
        }
    }

    fn query(&self, server: &ServerId) {
        let Some(tended) = self.tended.get(server) else { return };
        let grants = tended.grants.clone();
        self.exchange(server, async move { grants.query().await.map(Outcome::Granted) });
    }

    fn grant(&self, server: &ServerId, grant: Grant) {
        let Some(tended) = self.tended.get(server) else { return };
        let grants = tended.grants.clone();
        let grant = into_format(grant);
        self.exchange(server, async move { grants.grant(&grant).await });
    }

    /// One exchange with a backend server, reported as exactly one event.
    fn exchange(
        &self,
        server: &ServerId,
        exchange: impl Future<Output = Result<Outcome, grant::Error>> + Send + 'static,
    ) {
        let clock = self.clock.clone();
        let server = server.clone();
        self.spawn_event(async move {
            let sent = clock.now();
            let outcome = exchange.await;
            let received = clock.now();
            let reply = |state| Reply { sent, received, state: from_format(state) };
            let event = match outcome {
                Ok(Outcome::Granted(state)) => attendant::Event::Reply(reply(state)),
                Ok(Outcome::Refused(state)) => attendant::Event::Refused(reply(state)),
                Err(err) => {
                    log::debug!("lease: {server}: {err}");
                    attendant::Event::NoReply
                }
            };
            Some(Event::Attendant { server, event })
        });
    }

    fn open(&mut self, server: &ServerId, permit: Permit) {
        let Some(tended) = self.tended.get(server) else { return };
        let attended = match &tended.attended {
            Some(attended) => attended.clone(),
            None => match self.new_attended(server, tended) {
                Some(attended) => attended,
                None => return,
            },
        };
        let report = tended.report.unwrap_or(Report {
            asked: self.clock.now(),
            running: 0,
            running_older: 0,
        });
        let token = permit.token;
        let slots = permit.slots.clone();
        attended.permit(permit, report);
        let Some(tended) = self.tended.get_mut(server) else { return };
        if !tended.open || tended.token != token {
            log::info!("lease: attends {server} under token {token}");
            self.counts.takeovers += u64::from(!tended.open);
            self.changed = true;
        }
        tended.draining = false;
        tended.parting = Default::default();
        tended.open = true;
        tended.token = token;
        tended.attended = Some(attended);
        tended.granted.permitted(token, slots);
        self.keep_memory_of(server, self.clock.now());
    }

    fn new_attended(&self, server: &ServerId, tended: &Tended) -> Option<Arc<Attended>> {
        let service = self.state.service(&tended.service)?;
        let options = jacinthbeam_admission::server::Options {
            concurrency: service.concurrency,
            queue: service.queue as usize,
            ..Default::default()
        };
        let pool = Pool::open(
            server.clone(),
            tended.addr,
            service.connections,
            backend::Options { source: self.me.source, ..Default::default() },
            self.clock.clone(),
        );
        let (server, service) = (server.clone(), tended.service.clone());
        Some(Arc::new(Attended::open(server, service, pool, options, self.clock.clone())))
    }

    fn close(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        if let Some(attended) = &tended.attended {
            attended.close(Reason::NoLease);
        }
        if tended.open {
            log::info!("lease: attends {server} no more");
            tended.open = false;
            tended.held.clear();
            self.changed = true;
        }
    }

    fn hold(&mut self, server: &ServerId, slots: BTreeSet<SlotId>) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        if let Some(attended) = &tended.attended {
            attended.hold(&slots);
        }
        tended.held.extend(slots);
    }

    fn drain(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        tended.draining = true;
        match &tended.attended {
            Some(attended) if tended.leaving => attended.drain(),
            Some(attended) => attended.pause(),
            None => {
                tended.draining = false;
                self.attendant_event(server, attendant::Event::Drained);
            }
        }
    }

    /// Asks all live hosts of the cell whether they reach the server. This host answers in the same way as the others.
    fn probe(&self, probe: Probe) {
        log::info!("lease: {} does not answer, asking the cell", probe.server);
        let now = self.clock.now();
        for heard in self.members.live(now) {
            let (host, incarnation) = (heard.host.clone(), heard.incarnation);
            let question = Question::Probe(message::Probe {
                server: probe.server.clone(),
                server_epoch: probe.server_epoch,
                witness_epoch: probe.witness_epoch,
            });
            let answer = self.ask_member(heard.peer_address, question);
            let probe = probe.clone();
            self.spawn_event(async move {
                let Some(Answer::Probed(probed)) = answer.await else { return None };
                let probed = answer::probed_from(probed);
                let server = probe.server.clone();
                let event = attendant::Event::Probed { host, incarnation, probe, probed };
                Some(Event::Attendant { server, event })
            });
        }
    }

    /// Asks a live host of the cell, which may be this one.
    pub(super) fn ask_member(
        &self,
        addr: SocketAddr,
        question: Question,
    ) -> impl Future<Output = Option<Answer>> + Send + 'static {
        let peers = self.peers.clone();
        let is_me = addr == self.me.peer_address;
        let tx = self.tx.clone();
        // The other host needs one probe timeout for its own attempt, and the way there and back.
        let timeout = self.timing.probe_timeout * 2;
        async move {
            if !is_me {
                return peers.ask(addr, &question, timeout).await.ok();
            }
            let (reply, answer) = oneshot::channel();
            tx.send(Event::Asked { question, reply }).await.ok()?;
            answer.await.ok()
        }
    }

    fn ask_attend(&self, server: &ServerId, host: &HostId) {
        let now = self.clock.now();
        let Some(heard) = self.members.live_host(now, host) else { return };
        log::info!("lease: asks {host} to attend {server}");
        let asked =
            self.ask_member(heard.peer_address, Question::Attend { server: server.clone() });
        tokio::spawn(asked);
    }

    fn append_for(&mut self, server: &ServerId, id: AppendId, record: Record, why: String) {
        let appended = self.append(record, why);
        let server = server.clone();
        self.spawn_event(async move {
            let event = match appended.await {
                Some(offset) => attendant::Event::Appended { id, offset },
                None => attendant::Event::AppendFailed { id },
            };
            Some(Event::Attendant { server, event })
        });
    }

    /// Servers attended at present, as heartbeats say: also those where something may still run for this host. A successor
    /// that did not wait for it would fence it, and the server would drop what runs.
    pub(super) fn attends(&self) -> Vec<(ServerId, Token)> {
        let attended = self.tended.iter().filter(|(_, tended)| tended.open || tended.draining);
        attended.map(|(server, tended)| (server.clone(), tended.token)).collect()
    }
}

/// The slot that a split-out key came from; `None` if the slot is not that of a single key.
fn parent_slot(division: &Division, slot: SlotId) -> Option<SlotId> {
    let (key, _) = division.split().iter().find(|(_, own)| **own == slot)?;
    Some(division.parent_of(*key))
}

fn into_format(grant: Grant) -> format::Grant {
    format::Grant {
        token: grant.token,
        incarnation: grant.incarnation,
        slots: grant.slots.into_iter().collect(),
        until: grant.until,
        based_on: grant.based_on,
    }
}

fn from_format(state: format::GrantState) -> GrantState {
    GrantState {
        incarnation: state.incarnation,
        token: state.token,
        slots: state.slots.iter().collect(),
        until: state.until,
        based_on: state.based_on,
        clock: state.clock,
        running: state.running,
        running_older: state.running_older,
        draining: state.draining,
    }
}
