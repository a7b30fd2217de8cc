//! `Found`: the division of a service into slots.

use std::collections::BTreeSet;

use super::*;
use crate::{
    Division, Server, Status,
    division::MAX_SLOTS,
    outcome::Subject,
    record::{JoinServer, OwnerRun},
};

impl State {
    pub(super) fn apply_found(
        &mut self,
        at: Offset,
        service: &ServiceName,
        base: Option<Epoch>,
        slots: u32,
        servers: &[JoinServer],
        owners: &[OwnerRun],
    ) -> Result<Outcome, Why> {
        self.check_found(service, base, slots)?;
        check_owners(slots, servers, owners)?;
        servers.iter().try_for_each(|server| self.check_founder(service, server))?;

        for server in servers {
            self.join_founder(at, service, server);
        }
        self.divide(at, service, slots, servers, owners);
        let Some(division) = self.services.get(service) else { return Err(Why::Nothing) };
        let (owned, names) = (division.owned(), division.owning_servers());
        let service = service.clone();
        Ok(Outcome::one(Change::Founded { service, slots, owned, servers: names }))
    }

    /// A division is replaced only after its last slot was released or taken by eviction. Until
    /// then its owners may serve keys by the old slots, and a new division would give the same keys
    /// to others.
    fn check_found(
        &self,
        service: &ServiceName,
        base: Option<Epoch>,
        slots: u32,
    ) -> Result<(), Why> {
        let configured = self.configured_slots(service)?;
        if configured != slots || slots > MAX_SLOTS {
            return Err(Why::SlotCount { configured, record: slots });
        }
        let present = self.services.get(service);
        let epoch = present.map(|division| division.epoch());
        if epoch != base {
            let of = Subject::Division(service.clone());
            return Err(Why::Stale { of, base, present: epoch });
        }
        match present.map(|division| division.owned()) {
            Some(owned) if owned > 0 => Err(Why::StillOwned { service: service.clone(), owned }),
            _ => Ok(()),
        }
    }

    fn check_founder(&self, service: &ServiceName, founder: &JoinServer) -> Result<(), Why> {
        let Some(known) = self.servers.get(&founder.server) else { return Ok(()) };
        let same = known.incarnation == founder.incarnation
            && known.cell == founder.cell
            && known.service == *service;
        if !same {
            return Err(Why::OtherServer(founder.server.clone()));
        }
        if !known.is_active() {
            return Err(Why::NotActive(founder.server.clone()));
        }
        Ok(())
    }

    fn join_founder(&mut self, at: Offset, service: &ServiceName, founder: &JoinServer) {
        if self.servers.contains_key(&founder.server) {
            return;
        }
        let server = Server {
            service: service.clone(),
            cell: founder.cell.clone(),
            incarnation: founder.incarnation,
            epoch: Epoch(at.0),
            since: at,
            joined: at,
            status: Status::Active,
            seat: None,
            slots: Arc::default(),
        };
        self.servers.insert(founder.server.clone(), server);
    }

    fn divide(
        &mut self,
        at: Offset,
        service: &ServiceName,
        slots: u32,
        servers: &[JoinServer],
        owners: &[OwnerRun],
    ) {
        let mut lists: Vec<Vec<SlotId>> = vec![Vec::new(); servers.len()];
        let mut next = 0;
        for run in owners {
            lists[run.server as usize].extend((next..next + run.slots).map(SlotId));
            next += run.slots;
        }
        let mut seats = vec![0; servers.len()];
        let mut names = Vec::new();
        for (at, list) in lists.into_iter().enumerate().filter(|(_, list)| !list.is_empty()) {
            seats[at] = names.len() as u32;
            names.push(servers[at].server.clone());
            if let Some(known) = self.servers.get_mut(&servers[at].server) {
                known.seat = Some(seats[at]);
                known.slots = Arc::new(list);
            }
        }
        let runs = owners.iter().map(|run| (seats[run.server as usize], run.slots));
        let division = Division::found(slots, at, names, runs);
        self.services.insert(service.clone(), Arc::new(division));
    }
}

fn check_owners(slots: u32, servers: &[JoinServer], owners: &[OwnerRun]) -> Result<(), Why> {
    let names: BTreeSet<_> = servers.iter().map(|server| &server.server).collect();
    if names.len() != servers.len() {
        return Err(Why::BadOwners("it names a server twice".into()));
    }
    if let Some(run) = owners.iter().find(|run| run.server as usize >= servers.len()) {
        return Err(Why::BadOwners(format!("there is no server {} in it", run.server)));
    }
    let sum: u64 = owners.iter().map(|run| u64::from(run.slots)).sum();
    if sum > u64::from(slots) {
        return Err(Why::BadOwners(format!("it gives owners to {sum} slots")));
    }
    Ok(())
}
