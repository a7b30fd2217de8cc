//! The platform's list of hosts: which backend servers the cell has.

use std::time::{Duration, Instant};

use jacinthbeam_native::format::hosts::HostList;
use jacinthbeam_types::prelude::*;

use super::{Control, Event, snapshot::rank};

/// Time between two looks at the list. It lags by itself, so a shorter time gains little.
const EVERY: Duration = Duration::from_millis(500);

impl Control {
    /// Asks for the list when it is due.
    pub(super) fn look_up_hosts(&mut self, now: Instant) {
        if now < self.next_list {
            return;
        }
        self.next_list = now + EVERY;
        let client = self.host_list.clone();
        self.spawn_event(async move {
            match client.list_if_changed().await {
                Ok(list) => list.map(Event::Listed),
                // The last list stays in use; the platform may be cut off for long.
                Err(err) => {
                    log::debug!("hosts: list not read: {err}");
                    None
                }
            }
        });
    }

    /// Takes the list in. A server that is missing is kept until it has left: the list lags and may be wrong.
    pub(super) fn listed(&mut self, list: HostList) {
        if list == self.list {
            return;
        }
        let cell = self.me.cell.clone();
        for server in list.backend_servers.iter().filter(|server| server.cell == cell) {
            let known = self.tended.get(&server.id);
            let same = known.is_some_and(|known| {
                known.addr == server.address && known.service == server.service
            });
            if !same {
                self.close_replaced(&server.id);
                self.tend(&server.id, &server.service, server.address);
            }
            if let Some(tended) = self.tended.get_mut(&server.id) {
                tended.leaving = server.leaving;
            }
        }
        let listed = |id: &ServerId| list.backend_servers.iter().any(|server| server.id == *id);
        for (id, tended) in &mut self.tended {
            tended.leaving |= !listed(id);
        }
        let is_gone = |id: &&ServerId| !listed(id) && !self.state.servers.contains_key(id);
        let gone: Vec<ServerId> = self.tended.keys().filter(is_gone).cloned().collect();
        for server in gone {
            self.close_replaced(&server);
            self.tended.remove(&server);
            self.handed_over.remove(&server);
            self.traffic.memory.forget(&server);
        }
        self.list = list;
        self.cells.list_changed();
        self.snapshots.ranked(rank(&self.list, &self.me.host));
        self.abandoned.list_changed(self.clock.now());
        self.changed = true;
    }

    fn close_replaced(&mut self, server: &ServerId) {
        let Some(tended) = self.tended.get_mut(server) else { return };
        if let Some(attended) = tended.attended.take() {
            attended.close(Reason::NoLease);
        }
        self.changed = true;
    }
}
