//! Which entry hosts of the cell are alive, and which one attends a backend server.
//!
//! Members may disagree for a while. That costs takeovers, never safety: the backend server accepts one token
//! at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use crate::timing::Timing;

/// Most other hosts that are remembered. A cell has at most 16; restarts may leave a few more names
/// for a while.
pub const MAX_MEMBERS: usize = 64;

/// What a heartbeat says of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// The sender.
    pub host: HostId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Whether it is stopping and attends nothing new.
    pub stopping: bool,
    /// Epoch of the witness set under which it vouches no more.
    pub retired: Option<Epoch>,
    /// Backend servers that it can't reach.
    pub unreachable: BTreeSet<ServerId>,
    /// Backend servers whose lease it holds; see [`Attendant::attends`](crate::Attendant::attends).
    pub attends: BTreeSet<ServerId>,
}

/// The hosts of a cell as one of them sees them.
#[derive(Debug, Clone)]
pub struct Members {
    own: Heard,
    others: BTreeMap<HostId, Known>,
    retired: BTreeMap<Incarnation, Epoch>,
    alive_within: Duration,
    /// How long to listen before this host believes that it is alone.
    listen_for: Duration,
    listening_until: Instant,
    last_beat: Instant,
}

#[derive(Debug, Clone)]
struct Known {
    heard: Heard,
    at: Instant,
    /// Since when it was heard from without a gap.
    since: Instant,
}

impl Members {
    /// Knows only this host itself, and listens first.
    pub fn new(now: Instant, own: Heard, timing: &Timing) -> Self {
        let listen_for = 2 * timing.heartbeat_every;
        Self {
            own,
            others: BTreeMap::new(),
            retired: BTreeMap::new(),
            alive_within: timing.alive_within,
            listen_for,
            listening_until: now + listen_for,
            last_beat: now,
        }
    }

    /// To be called whenever this host sends heartbeats.
    ///
    /// A host that has just started, or was paused, has heard from nobody and would believe to be the only
    /// one: it would take every server from its attendant, and give them back a moment later. So it elects
    /// itself for nothing until it had time to hear from the others.
    pub fn beat(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_beat) >= self.alive_within {
            self.listening_until = now + self.listen_for;
        }
        self.last_beat = now;
    }

    /// This host, as it should describe itself in heartbeats.
    pub fn own(&self) -> &Heard {
        &self.own
    }

    /// This host has promised to vouch no more under this epoch.
    pub fn retire(&mut self, epoch: Epoch) {
        self.own.retired = Some(epoch);
    }

    /// From now on this host says that it is stopping.
    pub fn stop(&mut self) {
        self.own.stopping = true;
    }

    /// Lives of hosts that promised to vouch no more under this epoch of the cell's witnesses, also
    /// if they have stopped since.
    pub fn retired(&self, epoch: Epoch) -> impl Iterator<Item = Incarnation> + '_ {
        let retired = self.retired.iter().filter(move |(_, of)| **of == epoch);
        retired.map(|(incarnation, _)| *incarnation)
    }

    /// Notes whether this host holds the lease of a backend server.
    pub fn attend(&mut self, server: &ServerId, attends: bool) {
        if attends {
            self.own.attends.insert(server.clone());
        } else {
            self.own.attends.remove(server);
        }
    }

    /// Notes whether this host can reach a backend server.
    pub fn report(&mut self, server: &ServerId, reachable: bool) {
        if reachable {
            self.own.unreachable.remove(server);
        } else {
            self.own.unreachable.insert(server.clone());
        }
    }

    /// Notes a heartbeat that was received at `at`. Only first-hand heartbeats count, not what others say of
    /// a host.
    pub fn hear(&mut self, at: Instant, heard: Heard) {
        if heard.host == self.own.host {
            return;
        }
        // Kept by life, since the host may come back as another one.
        if let Some(epoch) = heard.retired {
            self.retired.insert(heard.incarnation, epoch);
        }
        while self.retired.len() > MAX_MEMBERS {
            self.retired.pop_first();
        }
        let known = self.others.get(&heard.host);
        if known.is_some_and(|known| known.at > at) {
            return;
        }
        let is_alive = |known: &&Known| at.saturating_duration_since(known.at) < self.alive_within;
        let since = known.filter(is_alive).map_or(at, |known| known.since);
        self.others.insert(heard.host.clone(), Known { heard, at, since });
        if self.others.len() > MAX_MEMBERS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.others.iter().min_by_key(|(_, known)| known.at);
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.others.remove(&host);
        }
    }

    /// Live hosts, this one included.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Heard> + '_ {
        let alive =
            move |known: &&Known| now.saturating_duration_since(known.at) < self.alive_within;
        let others = self.others.values().filter(alive).map(|known| &known.heard);
        std::iter::once(&self.own).chain(others)
    }

    /// The live host of this name.
    pub fn live_host(&self, now: Instant, host: &HostId) -> Option<&Heard> {
        self.live(now).find(|heard| heard.host == *host)
    }

    /// The host that should attend the backend server: first by rendezvous weight among the live hosts that
    /// are not stopping and reach it.
    ///
    /// If none reaches it, one that does not is picked all the same: somebody has to notice its return or
    /// evict it. `None` while this host would pick itself but has not listened for long enough.
    pub fn attendant_of(&self, now: Instant, server: &ServerId) -> Option<&HostId> {
        let holds = self.own.attends.contains(server);
        let is_fit = |heard: &&Heard| !heard.stopping && (!holds || self.is_ready(now, heard));
        let staying = || self.live(now).filter(is_fit);
        let reaching = staying().filter(|heard| !heard.unreachable.contains(server));
        let first = first(server.as_str(), reaching).or_else(|| first(server.as_str(), staying()));
        first.filter(|host| **host != self.own.host || now >= self.listening_until)
    }

    /// Whether a host has been back for long enough to have listened itself.
    ///
    /// Were a lease handed over to a host that has just come back, nobody would attend until it has listened.
    fn is_ready(&self, now: Instant, heard: &Heard) -> bool {
        let known = self.others.get(&heard.host);
        known.is_none_or(|known| now.saturating_duration_since(known.since) > self.listen_for)
    }

    /// Another live host that holds the lease of the backend server and can go on doing so.
    pub fn incumbent(&self, now: Instant, server: &ServerId) -> Option<&HostId> {
        let others = self.live(now).filter(|heard| heard.host != self.own.host);
        let holds =
            |heard: &&Heard| heard.attends.contains(server) && !heard.unreachable.contains(server);
        others.filter(holds).map(|heard| &heard.host).next()
    }

    /// The hosts in the order in which they are picked for a subject.
    pub fn ranked(&self, now: Instant, subject: &str) -> Vec<&Heard> {
        let mut hosts: Vec<&Heard> = self.live(now).filter(|heard| !heard.stopping).collect();
        hosts.sort_by_key(|heard| std::cmp::Reverse(rank(subject, heard)));
        hosts
    }
}

fn first<'a>(subject: &str, hosts: impl Iterator<Item = &'a Heard>) -> Option<&'a HostId> {
    hosts.max_by_key(|heard| rank(subject, heard)).map(|heard| &heard.host)
}

/// Weight, and the name to break a tie the same way everywhere.
fn rank<'a>(subject: &str, heard: &'a Heard) -> (u64, &'a HostId) {
    (rendezvous_weight(subject, heard.host.as_str()), &heard.host)
}
