//! Which entry hosts of the cell are alive, and which one attends a backend server.
//!
//! Members may disagree for a while. That costs takeovers, never safety: the backend server accepts one token at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

/// Most other hosts that are remembered. A cell has at most 16; restarts may leave a few more names for a while.
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
    /// Backend servers that it can't reach.
    pub unreachable: BTreeSet<ServerId>,
}

/// The hosts of a cell as one of them sees them.
#[derive(Debug, Clone)]
pub struct Members {
    own: Heard,
    others: BTreeMap<HostId, Known>,
    alive_within: Duration,
}

#[derive(Debug, Clone)]
struct Known {
    heard: Heard,
    at: Instant,
}

impl Members {
    /// Knows only this host itself. The others are alive for `alive_within` after each heartbeat.
    pub fn new(own: Heard, alive_within: Duration) -> Self {
        Self { own, others: BTreeMap::new(), alive_within }
    }

    /// This host, as it should describe itself in heartbeats.
    pub fn own(&self) -> &Heard {
        &self.own
    }

    /// From now on this host says that it is stopping.
    pub fn stop(&mut self) {
        self.own.stopping = true;
    }

    /// Notes whether this host can reach a backend server.
    pub fn report(&mut self, server: &ServerId, reachable: bool) {
        if reachable {
            self.own.unreachable.remove(server);
        } else {
            self.own.unreachable.insert(server.clone());
        }
    }

    /// Notes a heartbeat that was received at `at`. Only first-hand heartbeats count, not what others say of a host.
    pub fn hear(&mut self, at: Instant, heard: Heard) {
        if heard.host == self.own.host {
            return;
        }
        let known = self.others.get(&heard.host);
        if known.is_some_and(|known| known.at > at) {
            return;
        }
        if known.is_none() && self.others.len() >= MAX_MEMBERS {
            self.forget_oldest();
        }
        self.others.insert(heard.host.clone(), Known { heard, at });
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

    /// The host that should attend the backend server: first by rendezvous weight among the live hosts that are not
    /// stopping and reach it.
    ///
    /// If none reaches it, one that does not is picked all the same: somebody has to notice its return or evict it.
    pub fn attendant_of(&self, now: Instant, server: &ServerId) -> Option<&HostId> {
        let staying = || self.live(now).filter(|heard| !heard.stopping);
        let reaching = staying().filter(|heard| !heard.unreachable.contains(server));
        first(server.as_str(), reaching).or_else(|| first(server.as_str(), staying()))
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
