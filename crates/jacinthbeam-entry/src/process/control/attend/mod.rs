//! Carrying out what the attendants of the cell's backend servers ask for.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use jacinthbeam_admission::server::Report;
use jacinthbeam_lease::{
    Action, Attendant, Cx,
    attendant::{self, Identity, PlannedMove},
};
use jacinthbeam_native::grant;
use jacinthbeam_types::prelude::*;

use super::Control;
use crate::version::Attended;

mod exchange;
mod traffic;

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

    /// Servers attended at present, as heartbeats say: also those where something may still run for
    /// this host. A successor that did not wait for it would fence it, and the server would drop
    /// what runs.
    pub(super) fn attends(&self) -> Vec<(ServerId, Token)> {
        let attended = self.tended.iter().filter(|(_, tended)| tended.open || tended.draining);
        attended.map(|(server, tended)| (server.clone(), tended.token)).collect()
    }
}
