//! What placement decides on: the backend servers of a service as this host knows them.

use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_placement::{
    View,
    convert::{self, Known, Measured},
    sample::{self, MAX_SAMPLE},
    view::Load,
};
use jacinthbeam_types::prelude::*;

use super::Placement;
use crate::process::control::Control;

impl Placement {
    fn heard_loads(&self) -> BTreeMap<ServerId, Measured> {
        self.heard.iter().map(|(server, heard)| (server.clone(), heard.measured)).collect()
    }
}

impl Control {
    /// What this host knows of a service: the servers it attends, and a bounded sample of others.
    pub(super) fn view(&mut self, service: &ServiceName) -> Option<View> {
        let division = self.state.services.get(service)?.clone();
        let attended: BTreeMap<ServerId, BTreeMap<SlotId, Load>> = self
            .open_servers()
            .filter(|(_, other)| *other == service)
            .map(|(id, _)| (id.clone(), self.placement.slot_loads(id, division.split())))
            .collect();
        let now = self.clock.now();
        let mut loads = self.placement.heard_loads();
        for id in attended.keys() {
            if let Some(load) = self.placement.load(id) {
                loads.insert(id.clone(), Measured { load, at: now });
            }
        }
        let others: Vec<ServerId> = self
            .state
            .servers_of(service)
            .filter(|(_, server)| !self.is_abandoned(&server.cell))
            .map(|(id, _)| id.clone())
            .filter(|id| !attended.contains_key(id))
            .collect();
        let sample = sample::pick(&others, MAX_SAMPLE, &mut self.placement.rng);
        let leaving = self.leaving_servers();
        let known = Known {
            attended: &attended,
            sample: &sample,
            loads: &loads,
            cold: &self.placement.cold,
            leaving: &leaving,
            started: self.placement.started,
        };
        convert::view(&self.state, service, &known, |offset| Some(self.observed.at(offset)))
    }

    /// A view with every active server of the service that is not cut off: a lost server's slots are spread once, and evenly.
    pub(super) fn view_of_all(&self, service: &ServiceName) -> Option<View> {
        let sample: Vec<ServerId> = self
            .state
            .servers_of(service)
            .filter(|(_, server)| !self.is_abandoned(&server.cell))
            .map(|(id, _)| id.clone())
            .collect();
        let mut loads = self.placement.heard_loads();
        let now = self.clock.now();
        for (id, _) in self.open_servers() {
            if let Some(load) = self.placement.load(id) {
                loads.insert(id.clone(), Measured { load, at: now });
            }
        }
        let leaving = self.leaving_servers();
        let known = Known {
            attended: &BTreeMap::new(),
            sample: &sample,
            loads: &loads,
            cold: &self.placement.cold,
            leaving: &leaving,
            started: self.placement.started,
        };
        convert::view(&self.state, service, &known, |offset| Some(self.observed.at(offset)))
    }

    fn leaving_servers(&self) -> BTreeSet<ServerId> {
        let listed = self.list.backend_servers.iter().filter(|server| server.leaving);
        let tended = self.tended.iter().filter(|(_, tended)| tended.leaving);
        listed.map(|server| server.id.clone()).chain(tended.map(|(id, _)| id.clone())).collect()
    }
}
