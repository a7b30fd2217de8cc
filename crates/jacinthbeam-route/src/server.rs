//! The backend servers, as they report themselves.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name, and its start time if it reports one.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: FailureDomain,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining: some seconds after it has reported this, no new request may reach it.
    pub draining: bool,
    /// Remaining warm-up time after its start, at the time of its report.
    pub warmup_left: Duration,
    /// Rate limit from all hosts together while it is cold; `None` if there is none. Not reported by the server, but set from
    /// the configuration of its service.
    pub cold_rate: Option<Rate>,
}

impl Server {
    /// Whether it is cold: recently started and still slow.
    pub fn is_cold(&self) -> bool {
        !self.warmup_left.is_zero()
    }
}

/// All known backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    by_id: BTreeMap<ServerId, Server>,
    /// The ids of the servers of each service in each failure domain, ascending.
    by_service: BTreeMap<ServiceName, BTreeMap<FailureDomain, Vec<ServerId>>>,
}

impl Servers {
    /// Adds or replaces a server. Returns whether anything changed.
    pub fn insert(&mut self, server: Server) -> bool {
        if self.by_id.get(&server.id) == Some(&server) {
            return false;
        }
        self.remove(&server.id);
        let domains = self.by_service.entry(server.service.clone()).or_default();
        let ids = domains.entry(server.domain.clone()).or_default();
        let at = ids.partition_point(|id| *id < server.id);
        ids.insert(at, server.id.clone());
        self.by_id.insert(server.id.clone(), server);
        true
    }

    /// Removes a server. Returns whether it was in the list.
    pub fn remove(&mut self, id: &ServerId) -> bool {
        let Some(server) = self.by_id.remove(id) else { return false };
        self.unlist(&server);
        true
    }

    fn unlist(&mut self, server: &Server) {
        let Some(domains) = self.by_service.get_mut(&server.service) else { return };
        let Some(ids) = domains.get_mut(&server.domain) else { return };
        if let Ok(at) = ids.binary_search(&server.id) {
            ids.remove(at);
        }
        if ids.is_empty() {
            domains.remove(&server.domain);
        }
        if domains.is_empty() {
            self.by_service.remove(&server.service);
        }
    }

    /// The latest incarnation in the list with the name of `id`, if it differs from `id`. Everything that `id` held is lost then.
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

    /// The servers of a service that accept new requests, by id.
    pub fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Server> {
        self.iter().filter(move |server| server.service == *service && !server.draining)
    }

    /// The ids of all servers of a service, also of those that accept no new requests, by failure domain and ascending.
    pub fn ids_of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&FailureDomain, &[ServerId])> {
        let domains = self.by_service.get(service).into_iter().flatten();
        domains.map(|(domain, ids)| (domain, ids.as_slice()))
    }

    /// Whether `id` is in the list and accepts new requests.
    pub fn takes_work(&self, id: &ServerId) -> bool {
        self.get(id).is_some_and(|server| !server.draining)
    }
}
