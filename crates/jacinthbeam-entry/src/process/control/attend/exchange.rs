//! What attendants say to backend servers and to other entry hosts, and what comes back as events.

use std::net::SocketAddr;

use jacinthbeam_lease::{
    Grant, GrantState,
    attendant::{self, AppendId, Reply},
    witness::Probe,
};
use jacinthbeam_native::{
    format::backend as format,
    grant::{self, Outcome},
};
use jacinthbeam_peer::message::{self, Answer, Question};
use jacinthbeam_state::Record;
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use super::super::{Control, Event, answer};

impl Control {
    pub(super) fn query(&self, server: &ServerId) {
        let Some(tended) = self.tended.get(server) else { return };
        let grants = tended.grants.clone();
        self.exchange(server, async move { grants.query().await.map(Outcome::Granted) });
    }

    pub(super) fn grant(&self, server: &ServerId, grant: Grant) {
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

    /// Asks all live hosts of the cell whether they reach the server. This host answers in the same way as the others.
    pub(super) fn probe(&self, probe: Probe) {
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
    pub(in crate::process::control) fn ask_member(
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

    pub(super) fn ask_attend(&self, server: &ServerId, host: &HostId) {
        let now = self.clock.now();
        let Some(heard) = self.members.live_host(now, host) else { return };
        log::info!("lease: asks {host} to attend {server}");
        let asked =
            self.ask_member(heard.peer_address, Question::Attend { server: server.clone() });
        tokio::spawn(asked);
    }

    pub(super) fn append_for(
        &mut self,
        server: &ServerId,
        id: AppendId,
        record: Record,
        why: String,
    ) {
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
