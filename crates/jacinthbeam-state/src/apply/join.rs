//! `Join`, `Keep`, `Leave`: backend servers come, restart, stay and go.

use super::{slots::NewState, *};
use crate::{How, Server, Status, outcome::Subject};

impl State {
    pub(super) fn apply_join(
        &mut self,
        at: Offset,
        server: &ServerId,
        service: &ServiceName,
        cell: &CellId,
        incarnation: Incarnation,
        base: Option<Epoch>,
    ) -> Result<Outcome, Why> {
        let known = self.servers.get(server);
        let present = known.map(|known| known.epoch);
        if present != base {
            return Err(Why::Stale { of: Subject::Server(server.clone()), base, present });
        }
        if self.service(service).is_none() {
            return Err(Why::UnknownService(service.clone()));
        }
        if let Some(known) = known {
            check_rejoin(server, known, service, cell, incarnation)?;
        }
        let slots = known.map(|known| known.slots.clone()).unwrap_or_default();
        let joined = Server {
            service: service.clone(),
            cell: cell.clone(),
            incarnation,
            epoch: Epoch(at.0),
            since: at,
            joined: at,
            status: Status::Active,
            seat: known.and_then(|known| known.seat),
            slots: slots.clone(),
        };
        self.servers.insert(server.clone(), joined);
        for slot in slots.iter() {
            self.renew_slot(at, service, *slot, How::Joined);
        }
        Ok(Outcome::one(Change::Joined {
            server: server.clone(),
            service: service.clone(),
            cell: cell.clone(),
            incarnation,
            slots: slots.to_vec(),
        }))
    }

    /// Gives a slot a new epoch; its owner stays.
    pub(super) fn renew_slot(&mut self, at: Offset, service: &ServiceName, slot: SlotId, how: How) {
        let Some(old) = self.division(service).and_then(|division| division.slot(slot)) else {
            return;
        };
        self.set_slot(
            at,
            service,
            slot,
            NewState { to: old.server.as_ref(), how, lapse: old.lapse },
        );
    }

    pub(super) fn apply_keep(
        &mut self,
        at: Offset,
        server: &ServerId,
        base: Epoch,
    ) -> Result<Outcome, Why> {
        self.check_server_epoch(server, base)?;
        match self.servers.get_mut(server) {
            Some(known) if known.is_active() => {
                known.epoch = Epoch(at.0);
                known.since = at;
                Ok(Outcome::one(Change::Kept { server: server.clone() }))
            }
            _ => Err(Why::NotActive(server.clone())),
        }
    }

    pub(super) fn apply_leave(&mut self, server: &ServerId, base: Epoch) -> Result<Outcome, Why> {
        self.check_server_epoch(server, base)?;
        let owned = self.servers.get(server).map_or(0, |known| known.slots.len());
        if owned > 0 {
            return Err(Why::OwnsSlots(server.clone(), owned));
        }
        if let Some(place) = self.servers.place(server) {
            self.recent.forget(place);
        }
        self.servers.remove(server);
        Ok(Outcome::one(Change::Left { server: server.clone() }))
    }

    pub(super) fn check_server_epoch(&self, server: &ServerId, base: Epoch) -> Result<(), Why> {
        let Some(known) = self.servers.get(server) else {
            return Err(Why::UnknownServer(server.clone()));
        };
        if known.epoch != base {
            let (base, present) = (Some(base), Some(known.epoch));
            return Err(Why::Stale { of: Subject::Server(server.clone()), base, present });
        }
        Ok(())
    }
}

/// A server may change its service or cell only while it owns nothing: its leases are renewed in
/// the cell, by the word of the cell's witnesses, and the new cell's witnesses would know nothing
/// of them.
fn check_rejoin(
    server: &ServerId,
    known: &Server,
    service: &ServiceName,
    cell: &CellId,
    incarnation: Incarnation,
) -> Result<(), Why> {
    let same = known.service == *service && known.cell == *cell;
    if !same && !known.slots.is_empty() {
        return Err(Why::OwnsSlots(server.clone(), known.slots.len()));
    }
    if same && known.is_active() && known.incarnation == incarnation {
        return Err(Why::AlreadyJoined(server.clone()));
    }
    Ok(())
}
