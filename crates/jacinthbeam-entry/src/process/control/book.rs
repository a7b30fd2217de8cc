//! What the hosts of a cell know of each other: details that were heard, and which of them the others hold.
//!
//! A heartbeat leaves out what its receiver holds. Details belong to one life of a host: a
//! heartbeat of a life whose details were never heard tells nothing, whatever an earlier life of
//! the same host has said.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_lease::membership::MAX_MEMBERS;
use jacinthbeam_peer::message::{Details, Edition, Heartbeat};
use jacinthbeam_types::prelude::*;

/// Another host of the cell.
#[derive(Debug, Clone)]
pub struct Peer {
    /// When it was last heard.
    pub at: Instant,
    /// When it last asked by itself, rather than answered.
    pub asked_at: Option<Instant>,
    /// Which of its details are held here.
    pub edition: Edition,
    /// These details.
    pub details: Details,
    /// Next record that it has not read.
    pub next: Offset,
    /// Configuration in force there.
    pub config: Option<ConfigVersion>,
    /// Which of this host's details it holds.
    holds: Option<Edition>,
}

/// What a heartbeat told.
#[derive(Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing: it leaves out details that are not held here, or it is of another cell or of this host itself.
    Nothing,
    /// That this host lives.
    Life {
        /// The host.
        host: HostId,
        /// Whether its details are others than those held before.
        changed: bool,
    },
}

/// All that is known of the other hosts, and this host's own details.
#[derive(Debug)]
pub struct Book {
    own: Details,
    edition: Edition,
    peers: BTreeMap<HostId, Peer>,
}

impl Book {
    /// Knows nobody else yet.
    pub fn new(incarnation: Incarnation, own: Details) -> Self {
        Self { own, edition: Edition { incarnation, number: 0 }, peers: BTreeMap::new() }
    }

    /// This host's present details. A change makes a new edition, which nobody holds yet.
    pub fn stamp(&mut self, own: Details) {
        if own != self.own {
            self.own = own;
            self.edition.number += 1;
        }
    }

    /// The other hosts, also those not heard of for long.
    pub fn peers(&self) -> &BTreeMap<HostId, Peer> {
        &self.peers
    }

    /// The heartbeat to be sent to a host.
    pub fn question(
        &self,
        to: SocketAddr,
        next: Offset,
        config: Option<ConfigVersion>,
    ) -> Heartbeat {
        let peer = self.at(to);
        self.heartbeat(
            peer.map(|peer| peer.edition),
            peer.and_then(|peer| peer.holds),
            next,
            config,
        )
    }

    /// The answer to a heartbeat.
    pub fn answer(&self, to: &Heartbeat, next: Offset, config: Option<ConfigVersion>) -> Heartbeat {
        let of_sender = |peer: &&Peer| peer.edition.incarnation == to.incarnation;
        let held = self.peers.values().find(of_sender).map(|peer| peer.edition);
        self.heartbeat(held, to.holds, next, config)
    }

    fn heartbeat(
        &self,
        held: Option<Edition>,
        peer_holds: Option<Edition>,
        next: Offset,
        config: Option<ConfigVersion>,
    ) -> Heartbeat {
        let known = peer_holds == Some(self.edition);
        Heartbeat {
            incarnation: self.edition.incarnation,
            next,
            config,
            number: self.edition.number,
            holds: held,
            details: (!known).then(|| self.own.clone()),
            vouch: None,
        }
    }

    /// Notes a heartbeat. `asked` tells a question from an answer.
    pub fn hear(&mut self, now: Instant, beat: &Heartbeat, asked: bool) -> Heard {
        if let Some(details) = &beat.details {
            return self.hear_details(now, beat, details, asked);
        }
        // A host that has restarted is another incarnation. Taken for the host that was here before, it would be
        // credited with servers that it lost, so it counts from the first heartbeat with its own details on.
        let same_life = |peer: &&mut Peer| peer.edition.incarnation == beat.incarnation;
        let Some(peer) = self.peers.values_mut().find(same_life) else { return Heard::Nothing };
        peer.note(now, beat, asked);
        Heard::Life { host: peer.details.host.clone(), changed: false }
    }

    fn hear_details(
        &mut self,
        now: Instant,
        beat: &Heartbeat,
        details: &Details,
        asked: bool,
    ) -> Heard {
        let host = &details.host;
        if details.cell != self.own.cell || *host == self.own.host {
            return Heard::Nothing;
        }
        let known = self.peers.get(host);
        let same_life = known.filter(|peer| peer.edition.incarnation == beat.incarnation).cloned();
        let mut peer = same_life.unwrap_or_else(|| Peer::new(now, beat, details.clone()));
        // Heartbeats may overtake each other; older details never replace newer ones.
        if beat.number >= peer.edition.number {
            peer.edition = beat.edition();
            peer.details = details.clone();
        }
        peer.note(now, beat, asked);
        let changed = known.is_none_or(|known| known.details != peer.details);
        if known.is_none() && self.peers.len() >= MAX_MEMBERS {
            self.forget_oldest();
        }
        self.peers.insert(host.clone(), peer);
        Heard::Life { host: host.clone(), changed }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.at);
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.peers.remove(&host);
        }
    }

    /// Whether this host has to ask the host at an address, rather than wait to be asked.
    ///
    /// One exchange tells both of the other's life. Two are needed only where each is a witness
    /// whose word the other wants. Of two hosts that could both ask, the one with the lower name
    /// does. The other asks too as soon as no question came within `patience`, so a host that fails
    /// to ask is not taken for a lost one.
    pub fn must_ask(
        &self,
        now: Instant,
        addr: SocketAddr,
        patience: Duration,
        is_witness: impl Fn(Incarnation) -> bool,
    ) -> bool {
        let Some(peer) = self.at(addr) else { return true };
        if is_witness(peer.edition.incarnation) || peer.holds != Some(self.edition) {
            return true;
        }
        let asks = is_witness(self.edition.incarnation) || peer.details.host < self.own.host;
        let recent = |at: Instant| now.saturating_duration_since(at) < patience;
        !(asks && peer.asked_at.is_some_and(recent))
    }

    /// The host that was last heard from an address.
    fn at(&self, addr: SocketAddr) -> Option<&Peer> {
        let there = self.peers.values().filter(|peer| peer.details.peer_address == addr);
        there.max_by_key(|peer| peer.at)
    }
}

impl Peer {
    fn new(now: Instant, beat: &Heartbeat, details: Details) -> Self {
        Self {
            at: now,
            asked_at: None,
            edition: beat.edition(),
            details,
            next: beat.next,
            config: beat.config,
            holds: None,
        }
    }

    fn note(&mut self, now: Instant, beat: &Heartbeat, asked: bool) {
        self.at = now;
        self.asked_at = if asked { Some(now) } else { self.asked_at };
        self.next = beat.next;
        self.config = beat.config;
        self.holds = beat.holds;
    }
}
