//! Where the entry hosts of each cell listen.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use jacinthbeam_native::format::hosts::HostList;
use jacinthbeam_state::State;
use jacinthbeam_types::prelude::*;

/// Addresses by cell, as told by the platform's list and the sets of witnesses.
///
/// Every version that traffic is given names them, and so does every slot that came from another
/// cell. Making them passes over all hosts of the fleet, which at 20,000 hosts takes milliseconds
/// of the control thread; so they are made anew only after one of the two sources has changed.
#[derive(Debug, Default)]
pub struct CellBook {
    cells: Arc<BTreeMap<CellId, Vec<SocketAddr>>>,
    /// Record that named the witnesses of each cell. Another set has another record.
    witnesses: BTreeMap<CellId, Epoch>,
    list_changed: bool,
}

impl CellBook {
    /// The list differs from the one of the last refresh.
    pub fn list_changed(&mut self) {
        self.list_changed = true;
    }

    /// Takes in what has changed since the last refresh. Says whether anything had.
    pub fn refresh(&mut self, list: &HostList, state: &State) -> bool {
        let known = self.witnesses.iter().map(|(cell, epoch)| (cell, *epoch));
        let same_witnesses = known.eq(state.cells.iter().map(|(cell, set)| (cell, set.epoch)));
        if same_witnesses && !self.list_changed {
            return false;
        }
        self.list_changed = false;
        self.witnesses = state.cells.iter().map(|(cell, set)| (cell.clone(), set.epoch)).collect();
        self.cells = Arc::new(addresses(list, state));
        true
    }

    /// The addresses as of the last refresh.
    pub fn cells(&self) -> &Arc<BTreeMap<CellId, Vec<SocketAddr>>> {
        &self.cells
    }

    /// Addresses of one cell; empty if nothing is known of it.
    pub fn of(&self, cell: &CellId) -> &[SocketAddr] {
        self.cells.get(cell).map_or(&[], Vec::as_slice)
    }
}

fn addresses(list: &HostList, state: &State) -> BTreeMap<CellId, Vec<SocketAddr>> {
    let mut book: BTreeMap<CellId, BTreeSet<SocketAddr>> = BTreeMap::new();
    for host in &list.entry_hosts {
        book.entry(host.cell.clone()).or_default().insert(host.peer_address);
    }
    for (cell, set) in &state.cells {
        let members = set.members.iter().map(|witness| witness.peer_address);
        book.entry(cell.clone()).or_default().extend(members);
    }
    book.into_iter().map(|(cell, hosts)| (cell, hosts.into_iter().collect())).collect()
}
