//! The first division of a keyed service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_config::Division;
use jacinthbeam_state::{
    Division as DivisionTable, Record,
    record::{JoinServer, OwnerRun, SlotBase},
};
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use super::{Control, Event};

/// How long some backend servers of a service must have been members before it is divided among those there are.
const SETTLE: Duration = Duration::from_millis(1500);
/// Time that each further host waits for the ones before it. Two that divide at once do no harm:
/// the second record is void.
const TURN: Duration = Duration::from_millis(500);

/// Services that wait for their first division, or for owners of some slots.
#[derive(Debug)]
pub struct Founding {
    waiting: BTreeMap<ServiceName, Wait>,
    /// Services with slots that nobody owned in the last round.
    vacant: BTreeSet<ServiceName>,
    next_vacant: Instant,
}

#[derive(Debug)]
struct Wait {
    since: Instant,
    appending: bool,
}

impl Founding {
    /// Nothing waits.
    pub fn new(now: Instant) -> Self {
        Self { waiting: BTreeMap::new(), vacant: BTreeSet::new(), next_vacant: now }
    }

    /// The append has ended; it may be tried again if the fold does not show it.
    pub(super) fn appended(&mut self, service: &ServiceName) {
        self.waiting.remove(service);
    }
}

impl Control {
    /// Divides the services that have servers and no division.
    pub(super) fn found_services(&mut self, now: Instant) {
        let services = &self.state.config().services;
        let keyed = services.iter().filter_map(|(name, service)| match service.division {
            Division::Keyed { slots } => Some((name.clone(), slots)),
            Division::Undivided => None,
        });
        let missing = keyed.filter(|(name, _)| !self.state.services.contains_key(name));
        let missing: Vec<(ServiceName, u32)> = missing.collect();
        self.found.waiting.retain(|name, _| missing.iter().any(|(missing, _)| missing == name));
        if self.proofs.log(&self.state).is_none_or(|read| now > read + self.timing.alive_within) {
            return;
        }
        for (service, slots) in missing {
            self.found_service(now, service, slots);
        }
        self.place_vacant_slots(now);
    }

    /// Gives slots that nobody owns to the servers that own the fewest. A slot loses its owner
    /// without a next one when the server that it was to go to was lost in the meantime.
    fn place_vacant_slots(&mut self, now: Instant) {
        if now < self.found.next_vacant {
            return;
        }
        self.found.next_vacant = now + TURN * (1 + self.list.entry_hosts.len() as u32);
        let records: Vec<Record> = self
            .state
            .services
            .iter()
            .filter(|(service, _)| self.turn(service) == 0 || self.found.vacant.contains(*service))
            .filter_map(|(service, division)| self.placing(service, division))
            .collect();
        let is_vacant = |(_, division): &(&ServiceName, &std::sync::Arc<DivisionTable>)| {
            division.owned() < division.len()
        };
        // The host whose turn it is may be gone though still listed; after one more round everybody
        // places what is left.
        let vacant = self.state.services.iter().filter(is_vacant);
        self.found.vacant = vacant.map(|(service, _)| service.clone()).collect();
        for record in records {
            tokio::spawn(self.append(record, "nobody owned the slots".to_owned()));
        }
    }

    /// The record that places vacant slots on one server; the next round goes on with the next one.
    fn placing(&self, service: &ServiceName, division: &DivisionTable) -> Option<Record> {
        let servers = self.state.servers_of(service);
        let servers: Vec<(&ServerId, usize)> = servers
            .filter(|(_, server)| !self.is_abandoned(&server.cell))
            .map(|(id, server)| (id, server.slots().len()))
            .collect();
        let (least, _) = servers.iter().min_by_key(|(_, owned)| *owned)?;
        let vacant = division.len() - division.owned();
        let share = vacant.div_ceil(servers.len());
        let slots = division.vacant().take(share);
        let slots: Vec<SlotBase> = slots.map(|(slot, epoch)| SlotBase { slot, epoch }).collect();
        (!slots.is_empty()).then(|| Record::Reassign {
            service: service.clone(),
            server: (*least).clone(),
            slots,
        })
    }

    fn found_service(&mut self, now: Instant, service: ServiceName, slots: u32) {
        let servers: Vec<(ServerId, JoinServer)> = self.joined(&service);
        if servers.is_empty() {
            return;
        }
        let listed = self.list.backend_servers.iter();
        let listed = listed.filter(|server| server.service == service && !server.leaving).count();
        let settle = if servers.len() >= listed { Duration::ZERO } else { SETTLE };
        let turn = TURN * self.turn(&service);
        let wait = self.found.waiting.entry(service.clone());
        let wait = wait.or_insert(Wait { since: now, appending: false });
        if wait.appending || now < wait.since + settle + turn {
            return;
        }
        wait.appending = true;
        let record = division(&service, slots, servers);
        let appended = self.append(record, "first division".to_owned());
        self.spawn_event(async move {
            appended.await;
            Some(Event::FoundAppended { service })
        });
    }

    fn joined(&self, service: &ServiceName) -> Vec<(ServerId, JoinServer)> {
        let servers = self.state.servers_of(service);
        servers
            .map(|(id, server)| {
                let (incarnation, cell) = (server.incarnation, server.cell.clone());
                (id.clone(), JoinServer { server: id.clone(), incarnation, cell })
            })
            .collect()
    }

    /// How many entry hosts come before this one for a service.
    fn turn(&self, service: &ServiceName) -> u32 {
        let weight = |host: &HostId| rendezvous_weight(service.as_str(), host.as_str());
        let own = weight(&self.me.host);
        let before = self.list.entry_hosts.iter().filter(|host| weight(&host.id) > own);
        before.count() as u32
    }
}

fn division(service: &ServiceName, slots: u32, servers: Vec<(ServerId, JoinServer)>) -> Record {
    let cells: Vec<(ServerId, CellId)> =
        servers.iter().map(|(id, server)| (id.clone(), server.cell.clone())).collect();
    let mut owners: Vec<OwnerRun> = Vec::new();
    for owner in jacinthbeam_placement::found(&cells, slots) {
        let server = servers.iter().position(|(id, _)| *id == owner).unwrap_or_default() as u32;
        match owners.last_mut() {
            Some(run) if run.server == server => run.slots += 1,
            _ => owners.push(OwnerRun { server, slots: 1 }),
        }
    }
    let servers = servers.into_iter().map(|(_, server)| server).collect();
    Record::Found { service: service.clone(), base: None, slots, servers, owners }
}
