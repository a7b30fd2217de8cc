//! Giving traffic a new version.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use jacinthbeam_types::prelude::*;

use super::Control;
use crate::version::Version;

impl Control {
    /// Replaces the version that traffic uses.
    pub(super) fn publish(&mut self) {
        self.cells.refresh(&self.list, &self.state);
        let attended = self.tended.iter().filter(|(_, tended)| tended.open);
        let attended = attended
            .filter_map(|(id, tended)| Some((id.clone(), tended.attended.clone()?)))
            .collect();
        let version = Version {
            state: self.state.clone(),
            attended,
            attendants: self.attendants(),
            cells: self.cells.cells().clone(),
            stopping: self.stopping.is_some(),
        };
        self.traffic.version.store(Arc::new(version));
    }

    /// Attendants of the cell's servers; of two hosts that say they attend, the one with the higher token.
    fn attendants(&self) -> BTreeMap<ServerId, SocketAddr> {
        let mut best: BTreeMap<&ServerId, (Token, SocketAddr)> = BTreeMap::new();
        for peer in self.book.peers().values() {
            let details = &peer.details;
            for (server, token) in &details.attends {
                let entry = best.entry(server).or_insert((*token, details.peer_address));
                *entry = (*entry).max((*token, details.peer_address));
            }
        }
        best.into_iter().map(|(server, (_, addr))| (server.clone(), addr)).collect()
    }

    /// Divides the room of this host among the teams of the configuration in force.
    pub(super) fn reconfigure_teams(&self) {
        let services = &self.state.config().services;
        let teams: BTreeMap<ServiceName, TeamName> =
            services.iter().map(|(name, service)| (name.clone(), service.team.clone())).collect();
        let mut shared = self.traffic.teams.lock().expect("no holder of the lock panics");
        shared.reconfigure(&teams, &BTreeMap::new());
    }
}
