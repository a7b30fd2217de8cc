//! Heartbeats between the entry hosts of a cell.

use std::{net::SocketAddr, time::Instant};

use jacinthbeam_lease::{membership, witness::Vouch};
use jacinthbeam_peer::message::{self, Answer, Details, Heartbeat, Question};
use jacinthbeam_types::prelude::*;

use super::{
    Control, Event,
    book::{Heard, Peer},
};

/// Heartbeat intervals without a question of the host that should ask, after which this host asks.
const PATIENCE: f64 = 1.5;

impl Control {
    /// Sends heartbeats when they are due.
    pub(super) fn beat(&mut self, now: Instant) {
        self.book.stamp(self.details());
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.timing.heartbeat_every;
        self.members.beat(now);
        for addr in self.cell_addresses() {
            if self.must_ask(now, addr) {
                self.ask_heartbeat(addr);
            }
        }
    }

    fn must_ask(&self, now: Instant, addr: SocketAddr) -> bool {
        let patience = self.timing.heartbeat_every.mul_f64(PATIENCE);
        let set = self.state.cells.get(&self.me.cell);
        let is_witness = |host: Incarnation| set.is_some_and(|set| set.contains(host));
        self.book.must_ask(now, addr, patience, is_witness)
    }

    fn ask_heartbeat(&self, addr: SocketAddr) {
        let heartbeat = self.book.question(addr, self.state.next, self.state.config.version());
        let question = Question::Heartbeat(heartbeat);
        let peers = self.peers.clone();
        let clock = self.clock.clone();
        let timeout = self.timing.alive_within;
        self.spawn_event(async move {
            let started = clock.now();
            match peers.ask(addr, &question, timeout).await {
                Ok(Answer::Heartbeat(heartbeat)) => Some(Event::Heard { started, heartbeat }),
                Ok(_) | Err(_) => None,
            }
        });
    }

    /// The answer to a peer's heartbeat. Only answers vouch: the word counts from the time at which it was asked for.
    pub(super) fn answer_heartbeat(&mut self, from: &Heartbeat) -> Answer {
        let other = from.details.as_ref().filter(|details| details.cell != self.me.cell);
        if other.is_some() {
            return Answer::Failed { why: format!("this host is of cell {}", self.me.cell) };
        }
        self.hear(from, true);
        let vouch = self.witness.vouch(&self.state).map(into_message);
        let answer = self.book.answer(from, self.state.next, self.state.config.version());
        Answer::Heartbeat(Heartbeat { vouch, ..answer })
    }

    /// A host's answer to a heartbeat that was sent at `started`.
    pub(super) fn heard_answer(&mut self, started: Instant, heartbeat: &Heartbeat) {
        if !self.hear(heartbeat, false) {
            return;
        }
        if let Some(vouch) = heartbeat.vouch.clone() {
            let vouch = from_message(vouch, heartbeat.next);
            self.proofs.vouched(heartbeat.incarnation, started, vouch);
        }
    }

    /// Notes that a host lives; says whether the heartbeat told that.
    fn hear(&mut self, heartbeat: &Heartbeat, asked: bool) -> bool {
        let now = self.clock.now();
        let Heard::Life { host, changed } = self.book.hear(now, heartbeat, asked) else {
            return false;
        };
        self.changed |= changed;
        if let Some(peer) = self.book.peers().get(&host) {
            self.members.hear(now, heard(peer));
        }
        if changed {
            // A host that lets go of a backend server says so at once; nobody attends it until this host does.
            self.elect(now);
            self.tick_attendants();
        }
        true
    }

    fn details(&self) -> Details {
        let own = self.members.own();
        Details {
            host: self.me.host.clone(),
            cell: self.me.cell.clone(),
            peer_address: self.me.peer_address,
            stopping: own.stopping,
            attends: self.attends(),
            retired: own.retired,
            unreachable: own.unreachable.iter().cloned().collect(),
        }
    }

    /// Where the other hosts of the cell listen, as far as the list, the witnesses and the heartbeats tell.
    pub(super) fn cell_addresses(&self) -> std::collections::BTreeSet<SocketAddr> {
        let now = self.clock.now();
        let listed = self.list.entry_hosts.iter().filter(|host| host.cell == self.me.cell);
        let set = self.state.cells.get(&self.me.cell);
        let witnesses = set.into_iter().flat_map(|set| &set.members);
        let live = self.members.live(now).map(|heard| heard.peer_address);
        listed
            .map(|host| host.peer_address)
            .chain(witnesses.map(|witness| witness.peer_address))
            .chain(live)
            .filter(|addr| *addr != self.me.peer_address)
            .collect()
    }

    /// Asks the hosts of the cell for their fold.
    pub(super) fn fetch_state(&self) {
        for addr in self.cell_addresses() {
            let peers = self.peers.clone();
            let timeout = self.timing.alive_within;
            self.spawn_event(async move {
                match peers.ask(addr, &Question::FetchState, timeout).await {
                    Ok(Answer::State { next, snapshot }) => Some(Event::Fetched { next, snapshot }),
                    Ok(_) | Err(_) => None,
                }
            });
        }
    }
}

fn heard(peer: &Peer) -> membership::Heard {
    let details = &peer.details;
    membership::Heard {
        host: details.host.clone(),
        incarnation: peer.edition.incarnation,
        peer_address: details.peer_address,
        stopping: details.stopping,
        retired: details.retired,
        unreachable: details.unreachable.iter().cloned().collect(),
        attends: details.attends.iter().map(|(server, _)| server.clone()).collect(),
    }
}

fn into_message(vouch: Vouch) -> message::Vouch {
    let silent = vouch.silent.into_iter().map(|silence| (silence.server, silence.epoch)).collect();
    message::Vouch { witness_epoch: vouch.witness_epoch, silent }
}

fn from_message(vouch: message::Vouch, next: Offset) -> Vouch {
    let silent = vouch.silent.into_iter();
    let silent = silent
        .map(|(server, epoch)| jacinthbeam_lease::witness::Silence { server, epoch })
        .collect();
    Vouch { witness_epoch: vouch.witness_epoch, next, silent }
}
