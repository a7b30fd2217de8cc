//! Backend servers as the stream knows them.

use std::{collections::BTreeMap, sync::Arc};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::chunked::Chunked;

/// Servers per shared chunk of the table.
const CHUNK: usize = 64;

/// Whether a backend server may own slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It may own slots and take requests.
    Active,
    /// It lost all slots by eviction and must join again first.
    Evicted,
}

/// A backend server that has joined and not left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Service that it serves.
    pub service: ServiceName,
    /// Cell that attends it.
    pub cell: CellId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Set anew by `Join`, `Evict` and `Keep`; promises and evictions are based on it.
    pub epoch: Epoch,
    /// Offset of the record that set the epoch.
    pub since: Offset,
    /// Offset of its last `Join`.
    pub joined: Offset,
    /// Whether it may own slots.
    pub status: Status,
    /// Its index in the owner table of its service; `None` while it owns nothing.
    #[serde(skip)]
    pub(crate) seat: Option<u32>,
    /// The slots that it owns, ascending.
    #[serde(skip)]
    pub(crate) slots: Arc<Vec<SlotId>>,
}

impl Server {
    /// The slots that it owns, ascending.
    pub fn slots(&self) -> &[SlotId] {
        &self.slots
    }

    /// Whether it may own slots.
    pub fn is_active(&self) -> bool {
        self.status == Status::Active
    }

    pub(crate) fn insert_slot(&mut self, slot: SlotId) {
        if let Err(at) = self.slots.binary_search(&slot) {
            Arc::make_mut(&mut self.slots).insert(at, slot);
        }
    }

    pub(crate) fn remove_slot(&mut self, slot: SlotId) {
        if let Ok(at) = self.slots.binary_search(&slot) {
            Arc::make_mut(&mut self.slots).remove(at);
        }
    }
}

/// All backend servers by name. A clone shares the table; a change copies one chunk of it.
#[derive(Debug, Clone, Default)]
pub struct Servers {
    index: Arc<BTreeMap<ServerId, u32>>,
    table: Chunked<Option<Server>, CHUNK>,
    free: Vec<u32>,
}

impl Servers {
    /// The server of this name.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.table.get(self.place(id)?)?.as_ref()
    }

    /// Whether a server of this name has joined and not left.
    pub fn contains_key(&self, id: &ServerId) -> bool {
        self.index.contains_key(id)
    }

    /// All servers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> + '_ {
        let found = |place: &u32| self.table.get(*place as usize)?.as_ref();
        self.index.iter().filter_map(move |(id, place)| Some((id, found(place)?)))
    }

    /// Names of all servers in order.
    pub fn keys(&self) -> impl Iterator<Item = &ServerId> + '_ {
        self.index.keys()
    }

    /// All servers in the order of their names, without the names.
    pub fn values(&self) -> impl Iterator<Item = &Server> + '_ {
        self.iter().map(|(_, server)| server)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub(crate) fn place(&self, id: &ServerId) -> Option<usize> {
        self.index.get(id).map(|place| *place as usize)
    }

    pub(crate) fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        let place = self.place(id)?;
        self.table.get_mut(place)?.as_mut()
    }

    pub(crate) fn insert(&mut self, id: ServerId, server: Server) {
        if let Some(known) = self.get_mut(&id) {
            *known = server;
            return;
        }
        let place = match self.free.pop() {
            Some(place) => place,
            None => {
                self.table.push(None);
                (self.table.len() - 1) as u32
            }
        };
        if let Some(entry) = self.table.get_mut(place as usize) {
            *entry = Some(server);
            Arc::make_mut(&mut self.index).insert(id, place);
        }
    }

    pub(crate) fn remove(&mut self, id: &ServerId) {
        let Some(place) = Arc::make_mut(&mut self.index).remove(id) else { return };
        if let Some(entry) = self.table.get_mut(place as usize) {
            *entry = None;
        }
        self.free.push(place);
    }
}

/// Tables are equal if they hold equal servers; places in the table depend on where a reader started.
impl PartialEq for Servers {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl FromIterator<(ServerId, Server)> for Servers {
    fn from_iter<I: IntoIterator<Item = (ServerId, Server)>>(servers: I) -> Self {
        let mut index = BTreeMap::new();
        let mut table = Chunked::default();
        for (id, server) in servers {
            index.insert(id, table.len() as u32);
            table.push(Some(server));
        }
        Self { index: Arc::new(index), table, free: Vec::new() }
    }
}
