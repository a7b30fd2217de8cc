//! Heartbeats between the entry hosts of a cell.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use jacinthbeam_lease::{membership::Heard, witness::Vouch};
use jacinthbeam_peer::message::{self, Answer, Heartbeat, Question};
use jacinthbeam_types::prelude::*;

use super::{Control, Event};

/// What the last heartbeat of a host said beside its life.
#[derive(Debug, Clone)]
pub struct Sign {
    /// When it was heard.
    pub at: Instant,
    /// Where the host listens for peers.
    pub peer_address: SocketAddr,
    /// Next record that it has not read.
    pub next: Offset,
    /// Configuration in force there.
    pub config: Option<ConfigVersion>,
    /// Backend servers that it attends.
    pub attends: BTreeMap<ServerId, Token>,
}

impl Control {
    /// Sends heartbeats when they are due.
    pub(super) fn beat(&mut self, now: Instant) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.timing.heartbeat_every;
        self.members.beat(now);
        let heartbeat = self.heartbeat(None);
        for addr in self.cell_addresses() {
            let question = Question::Heartbeat(heartbeat.clone());
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
    }

    /// The answer to a peer's heartbeat. Only answers vouch: the word counts from the time at which it was asked for.
    pub(super) fn answer_heartbeat(&mut self, from: Heartbeat) -> Answer {
        if from.cell != self.me.cell {
            return Answer::Failed { why: format!("this host is of cell {}", self.me.cell) };
        }
        self.hear(from);
        let vouch = self.witness.vouch(&self.state).map(into_message);
        Answer::Heartbeat(self.heartbeat(vouch))
    }

    /// A host's answer to a heartbeat that was sent at `started`.
    pub(super) fn heard_answer(&mut self, started: Instant, heartbeat: Heartbeat) {
        if heartbeat.cell != self.me.cell {
            return;
        }
        if let Some(vouch) = heartbeat.vouch.clone() {
            self.proofs.vouched(heartbeat.incarnation, started, from_message(vouch));
        }
        self.hear(heartbeat);
    }

    fn hear(&mut self, heartbeat: Heartbeat) {
        let now = self.clock.now();
        let host = heartbeat.host.clone();
        if host == self.me.host {
            return;
        }
        let sign = Sign {
            at: now,
            peer_address: heartbeat.peer_address,
            next: heartbeat.next,
            config: heartbeat.config,
            attends: heartbeat.attends.into_iter().collect(),
        };
        let attends = sign.attends.keys().cloned().collect();
        let known = self.heard.get(&host);
        let same =
            |known: &Sign| known.attends == sign.attends && known.peer_address == sign.peer_address;
        self.changed |= !known.is_some_and(same);
        self.heard.insert(host.clone(), sign);
        self.members.hear(
            now,
            Heard {
                host,
                incarnation: heartbeat.incarnation,
                peer_address: heartbeat.peer_address,
                stopping: heartbeat.stopping,
                unreachable: heartbeat.unreachable.into_iter().collect(),
                attends,
            },
        );
    }

    fn heartbeat(&self, vouch: Option<message::Vouch>) -> Heartbeat {
        let own = self.members.own();
        Heartbeat {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            cell: self.me.cell.clone(),
            peer_address: self.me.peer_address,
            stopping: own.stopping,
            next: self.state.next,
            config: self.state.config.version(),
            attends: self.attends(),
            unreachable: own.unreachable.iter().cloned().collect(),
            vouch,
            members: Vec::new(),
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

fn into_message(vouch: Vouch) -> message::Vouch {
    let silent = vouch.silent.into_iter().map(|silence| (silence.server, silence.epoch)).collect();
    message::Vouch { witness_epoch: vouch.witness_epoch, next: vouch.next, silent }
}

fn from_message(vouch: message::Vouch) -> Vouch {
    let silent = vouch.silent.into_iter();
    let silent = silent
        .map(|(server, epoch)| jacinthbeam_lease::witness::Silence { server, epoch })
        .collect();
    Vouch { witness_epoch: vouch.witness_epoch, next: vouch.next, silent }
}
