//! The backend servers, as they report themselves.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One life of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name, and when it started if it says so.
    pub id: ServerId,
    /// What it does.
    pub service: ServiceName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is leaving: no new work may reach it some seconds after it said so.
    pub draining: bool,
    /// How much longer it was to be slow after its start when it reported this.
    pub warmup_left: Duration,
    /// Requests a second that it takes from all hosts together while it is cold; `None` if nothing bounds them. Not part of what it
    /// reports: its service's configuration says it.
    pub cold_rate: Option<Rate>,
}

impl Server {
    /// Whether it is cold: it has just started, and is slow for a while.
    pub fn is_cold(&self) -> bool {
        !self.warmup_left.is_zero()
    }
}

/// All backend servers that are known to be there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    by_id: BTreeMap<ServerId, Server>,
}

impl Servers {
    /// Adds a server or replaces what was known of it. Returns whether anything changed.
    pub fn insert(&mut self, server: Server) -> bool {
        if self.by_id.get(&server.id) == Some(&server) {
            return false;
        }
        self.by_id.insert(server.id.clone(), server);
        true
    }

    /// Takes a server off the list. Returns whether it was there.
    pub fn remove(&mut self, id: &ServerId) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// The life that is listed under the name of `id`, if it is another one. All that `id` held is lost.
    pub fn successor_of(&self, id: &ServerId) -> Option<&Server> {
        let first = ServerId::from(id.name().clone());
        let lives = self.by_id.range(first..).take_while(|(other, _)| other.name() == id.name());
        let latest = lives.last().map(|(_, server)| server);
        latest.filter(|server| server.id.is_other_incarnation(id))
    }

    /// The server with this id.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.by_id.get(id)
    }

    /// All servers by id.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.by_id.values()
    }

    /// The servers of a service that take new work.
    pub fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Server> {
        self.iter().filter(move |server| server.service == *service && !server.draining)
    }

    /// Whether `id` is on the list and takes new work.
    pub fn takes_work(&self, id: &ServerId) -> bool {
        self.get(id).is_some_and(|server| !server.draining)
    }
}
