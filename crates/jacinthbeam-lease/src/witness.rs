//! What a host says, or no longer says, as one of its cell's witnesses.
//!
//! All of it is kept in memory only. A host that restarts is another incarnation and in no set, so a promise
//! that it forgot can't be broken.

use std::collections::BTreeMap;

use jacinthbeam_state::{State, WitnessSet};
use jacinthbeam_types::prelude::*;

/// Asks a host whether it can reach a backend server, and a witness for its promise if it can't.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The backend server that does not answer.
    pub server: ServerId,
    /// Its epoch in the fold of the host that asks.
    pub server_epoch: Epoch,
    /// Epoch of the cell's witnesses in the fold of the host that asks, or [`Probe::NO_PROMISE`].
    pub witness_epoch: Epoch,
}

impl Probe {
    /// Epoch that no set of witnesses has. A probe with it asks for no promise.
    pub const NO_PROMISE: Epoch = Epoch(u64::MAX);
}

/// Answer to a [`Probe`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probed {
    /// The backend server answered this host.
    Reached,
    /// It did not, and this host promised to be silent for it.
    Promised,
    /// It did not; this host is no witness under these epochs and promised nothing.
    NotReached,
}

/// Word of a witness that it has given no promise except for the servers named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vouch {
    /// Epoch of the witness set that the word is given under.
    pub witness_epoch: Epoch,
    /// First record that the fold does not contain by which the witness knows of promises that have ended.
    ///
    /// A promise ends when the witness reads the eviction that it backed. Then it vouches again without
    /// naming the server, and a host that has not read the eviction would renew the evicted server's lease on
    /// that word. So the word counts only for a host whose own fold reaches as far.
    pub next: Offset,
    /// Servers for which the witness promised silence, with the server epoch of the promise.
    pub silent: Vec<Silence>,
}

/// A promise of silence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silence {
    /// The backend server.
    pub server: ServerId,
    /// Its epoch in the promise. The promise ends when a newer one is read.
    pub epoch: Epoch,
}

impl Vouch {
    /// Whether the word holds for a server, for a host with this fold.
    pub fn holds(&self, state: &State, set: &WitnessSet, server: &ServerId) -> bool {
        self.witness_epoch == set.epoch && self.next <= state.next && !self.names(state, server)
    }

    /// Whether the witness promised silence for the server at its epoch in this fold, or at a newer one.
    pub fn names(&self, state: &State, server: &ServerId) -> bool {
        let epoch = state.servers.get(server).map(|known| known.epoch);
        self.silent.iter().any(|silence| silence.server == *server && Some(silence.epoch) >= epoch)
    }
}

/// Promises that this host has given.
#[derive(Debug, Clone)]
pub struct Witness {
    incarnation: Incarnation,
    cell: CellId,
    silent: BTreeMap<ServerId, Epoch>,
    retired: Option<Epoch>,
}

impl Witness {
    /// A host that has promised nothing yet.
    pub fn new(incarnation: Incarnation, cell: CellId) -> Self {
        Self { incarnation, cell, silent: BTreeMap::new(), retired: None }
    }

    /// This life of the host.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The word that this host can give now; `None` if it is no witness, or one that has retired.
    ///
    /// `state` must be the fold that this host has reached, never an older one.
    pub fn vouch(&self, state: &State) -> Option<Vouch> {
        let set = self.set(state)?;
        let silent = self.silent.iter().filter(|(server, epoch)| lasts(state, server, **epoch));
        let silent = silent
            .map(|(server, epoch)| Silence { server: server.clone(), epoch: *epoch })
            .collect();
        Some(Vouch { witness_epoch: set.epoch, next: state.next, silent })
    }

    /// Answers a probe after the backend server was tried; promises silence if it was not `reached`.
    ///
    /// No word may be given between this call and the answer that is based on it, other than by
    /// [`Witness::vouch`].
    pub fn probed(&mut self, probe: &Probe, reached: bool, state: &State) -> Probed {
        self.forget(state);
        if reached {
            return Probed::Reached;
        }
        let known = state.servers.get(&probe.server);
        let same_server =
            known.is_some_and(|known| known.epoch == probe.server_epoch && known.cell == self.cell);
        let same_set = self.set(state).is_some_and(|set| set.epoch == probe.witness_epoch);
        if !same_server || !same_set {
            return Probed::NotReached;
        }
        self.silent.insert(probe.server.clone(), probe.server_epoch);
        Probed::Promised
    }

    /// Promises to vouch for nobody any more under this epoch of the cell's witnesses. Says whether the
    /// promise is given.
    pub fn retire(&mut self, witness_epoch: Epoch, state: &State) -> bool {
        let member = state
            .cells
            .get(&self.cell)
            .is_some_and(|set| set.epoch == witness_epoch && set.contains(self.incarnation));
        if member {
            self.retired = Some(witness_epoch);
        }
        member
    }

    /// Epoch of the set under which this host has promised to vouch no more.
    pub fn retired(&self) -> Option<Epoch> {
        self.retired
    }

    /// Servers for which a promise stands.
    pub fn promises(&self) -> &BTreeMap<ServerId, Epoch> {
        &self.silent
    }

    /// Drops promises that have ended, so that they don't pile up.
    pub fn forget(&mut self, state: &State) {
        self.silent.retain(|server, epoch| lasts(state, server, *epoch));
    }

    /// The set in force, if this host may speak under it.
    fn set<'a>(&self, state: &'a State) -> Option<&'a WitnessSet> {
        let set = state.cells.get(&self.cell)?;
        (set.contains(self.incarnation) && self.retired != Some(set.epoch)).then_some(set.as_ref())
    }
}

/// Whether a promise stands: until the fold shows a newer epoch of the server, or that it has left.
fn lasts(state: &State, server: &ServerId, epoch: Epoch) -> bool {
    state.servers.get(server).is_some_and(|known| known.epoch <= epoch)
}
