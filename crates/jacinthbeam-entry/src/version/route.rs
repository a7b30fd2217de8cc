//! From a call to the backend server that owns its key, and to the host that attends it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use super::Version;
use crate::request::call::Call;

/// Where a request is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The backend server.
    pub server: ServerId,
    /// Slot of the key; `None` for an undivided service.
    pub slot: Option<SlotId>,
}

impl Version {
    /// The owner of the call's key, or any backend server of an undivided service.
    ///
    /// `attempt` picks another backend server of an undivided service at each retry.
    pub fn target(&self, call: &Call, id: RequestId, attempt: u32) -> Result<Target, Refusal> {
        match &call.key {
            Some(key) => self.owner(&call.service, key),
            None => self.any_server(call, id, attempt),
        }
    }

    fn owner(&self, service: &ServiceName, key: &[u8]) -> Result<Target, Refusal> {
        let no_owner = || Refusal::not_run(Reason::NoOwner);
        let division = self.state.services.get(service).ok_or_else(no_owner)?;
        let slot = division.slot_of(KeyHash::of(key));
        let owner = division.owner(slot).ok_or_else(no_owner)?;
        Ok(Target { server: owner.server, slot: Some(slot) })
    }

    fn any_server(&self, call: &Call, id: RequestId, attempt: u32) -> Result<Target, Refusal> {
        let subject = format!("{id}/{attempt}");
        let servers = self.state.servers_of(&call.service);
        let picked = servers.max_by_key(|(id, _)| rendezvous_weight(&subject, id.as_str()));
        let (server, _) = picked.ok_or(Refusal::not_run(Reason::NoOwner))?;
        Ok(Target { server: server.clone(), slot: None })
    }

    /// Hosts to ask for a backend server, best first: its attendant as far as known, then the hosts of its cell.
    pub fn hosts_for(&self, server: &ServerId, hints: &Hints) -> Vec<SocketAddr> {
        let mut hosts = Vec::new();
        // What the hosts of the own cell say now is newer than whom some request has found. A hint
        // that names a host which has stopped answering would cost the request its deadline.
        hosts.extend(self.attendants.get(server).copied());
        hosts.extend(hints.get(server));
        let cell = self.state.servers.get(server).map(|server| &server.cell);
        let of_cell = cell.and_then(|cell| self.cells.get(cell)).into_iter().flatten();
        let mut of_cell: Vec<SocketAddr> = of_cell.copied().collect();
        of_cell.sort_by_key(|addr| {
            std::cmp::Reverse(rendezvous_weight(server.as_str(), &addr.to_string()))
        });
        hosts.extend(of_cell);
        let mut seen = std::collections::BTreeSet::new();
        hosts.retain(|addr| seen.insert(*addr));
        hosts
    }
}

/// Most hints kept. One is needed for each backend server of other cells that this host's callers use.
const MAX_HINTS: usize = 65_536;

/// Attendants in other cells, as told by hosts that were asked in error. Lives as long as the process.
#[derive(Debug, Default)]
pub struct Hints(Mutex<BTreeMap<ServerId, SocketAddr>>);

impl Hints {
    /// The last host known to attend the server.
    pub fn get(&self, server: &ServerId) -> Option<SocketAddr> {
        self.lock().get(server).copied()
    }

    /// Notes that a host attends the server.
    pub fn set(&self, server: &ServerId, host: SocketAddr) {
        let mut hints = self.lock();
        if hints.get(server) == Some(&host) {
            return;
        }
        if hints.len() >= MAX_HINTS {
            hints.clear();
        }
        hints.insert(server.clone(), host);
    }

    /// Forgets a host that turned out wrong.
    pub fn forget(&self, server: &ServerId, host: SocketAddr) {
        let mut hints = self.lock();
        if hints.get(server) == Some(&host) {
            hints.remove(server);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, SocketAddr>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
