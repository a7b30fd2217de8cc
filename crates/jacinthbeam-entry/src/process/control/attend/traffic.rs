//! What attendants let traffic do, and what traffic has finished.

use std::{collections::BTreeSet, sync::Arc};

use jacinthbeam_admission::server::Report;
use jacinthbeam_lease::{Permit, attendant};
use jacinthbeam_native::backend::{self, Pool};
use jacinthbeam_state::Division;
use jacinthbeam_types::prelude::*;

use super::{super::Control, Tended};
use crate::version::Attended;

impl Control {
    /// Tells an attendant what traffic has finished.
    pub(in crate::process::control) fn report_traffic(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        let Some(attended) = tended.attended.clone() else { return };
        attended.tick();
        if tended.draining && attended.runs_nothing() {
            // What waits is for the next attendant.
            attended.close(Reason::NotAttendant);
            // Nothing runs and nothing is admitted, so traffic has no use for it until a permit opens it again.
            tended.open = false;
            self.changed = true;
            if !self.has_copied(server) {
                return;
            }
            let Some(tended) = self.tended.get_mut(server) else { return };
            tended.draining = false;
            self.attendant_event(server, attendant::Event::Drained);
            return;
        }
        let division = self.state.services.get(&tended.service).cloned();
        let parent = |slot| parent_slot(division.as_deref()?, slot);
        let slots: BTreeSet<SlotId> =
            attended.drained(parent).intersection(&tended.held).copied().collect();
        if !slots.is_empty() {
            tended.held.retain(|slot| !slots.contains(slot));
            self.attendant_event(server, attendant::Event::Released { slots });
        }
    }

    pub(super) fn open(&mut self, server: &ServerId, permit: Permit) {
        let Some(tended) = self.tended.get(server) else { return };
        let attended = match &tended.attended {
            Some(attended) => attended.clone(),
            None => match self.new_attended(server, tended) {
                Some(attended) => attended,
                None => return,
            },
        };
        let report = tended.report.unwrap_or(Report {
            asked: self.clock.now(),
            running: 0,
            running_older: 0,
        });
        let token = permit.token;
        let slots = permit.slots.clone();
        attended.permit(permit, report);
        let Some(tended) = self.tended.get_mut(server) else { return };
        if !tended.open || tended.token != token {
            log::info!("lease: attends {server} under token {token}");
            self.counts.takeovers += u64::from(!tended.open);
            self.changed = true;
        }
        tended.draining = false;
        tended.parting = Default::default();
        tended.open = true;
        tended.token = token;
        tended.attended = Some(attended);
        tended.granted.permitted(token, slots);
        self.keep_memory_of(server, self.clock.now());
    }

    fn new_attended(&self, server: &ServerId, tended: &Tended) -> Option<Arc<Attended>> {
        let service = self.state.service(&tended.service)?;
        let options = jacinthbeam_admission::server::Options {
            concurrency: service.concurrency,
            queue: service.queue as usize,
            ..Default::default()
        };
        let pool = Pool::open(
            server.clone(),
            tended.addr,
            service.connections,
            backend::Options { source: self.me.source, ..Default::default() },
            self.clock.clone(),
        );
        let (server, service) = (server.clone(), tended.service.clone());
        Some(Arc::new(Attended::open(server, service, pool, options, self.clock.clone())))
    }

    pub(super) fn close(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        if let Some(attended) = &tended.attended {
            attended.close(Reason::NoLease);
        }
        if tended.open {
            log::info!("lease: attends {server} no more");
            tended.open = false;
            tended.held.clear();
            self.changed = true;
        }
    }

    pub(super) fn hold(&mut self, server: &ServerId, slots: BTreeSet<SlotId>) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        if let Some(attended) = &tended.attended {
            attended.hold(&slots);
        }
        tended.held.extend(slots);
    }

    pub(super) fn drain(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        tended.draining = true;
        match &tended.attended {
            Some(attended) if tended.leaving => attended.drain(),
            Some(attended) => attended.pause(),
            None => {
                tended.draining = false;
                self.attendant_event(server, attendant::Event::Drained);
            }
        }
    }
}

/// The slot that a split-out key came from; `None` if the slot is not that of a single key.
fn parent_slot(division: &Division, slot: SlotId) -> Option<SlotId> {
    let (key, _) = division.split().iter().find(|(_, own)| **own == slot)?;
    Some(division.parent_of(*key))
}
