//! The state that the records lead to, and what can be asked of it.

use std::{collections::BTreeMap, fmt, sync::Arc};

use jacinthbeam_config::{Config, CutOff, fold};
use jacinthbeam_types::prelude::*;

use crate::{
    Change, Division, Owner, Server, Servers, WitnessSet,
    recent::{Entry, Recent},
};

/// Fold of the control stream before record [`State::next`]. A clone shares the tables.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// First record that is not applied yet.
    pub next: Offset,
    /// Accepted files and the configuration they lead to.
    pub config: fold::State,
    /// Divisions of the keyed services that are configured. A service without one waits for its
    /// `Found` record.
    pub services: BTreeMap<ServiceName, Arc<Division>>,
    /// Divisions of services that the configuration no longer has, while slots of theirs are owned.
    ///
    /// A domain that is cut off may go on serving them under its old configuration. Were they
    /// forgotten, a service added again under the name could give the same keys to others at once:
    /// two owners.
    pub retired: BTreeMap<ServiceName, Arc<Division>>,
    /// Backend servers that have joined and not left.
    pub servers: Servers,
    /// Witnesses of each cell that has named some.
    pub cells: BTreeMap<CellId, Arc<WitnessSet>>,
    /// Record after the last one that changed anything but `next`.
    pub(crate) changed: Offset,
    pub(crate) recent: Recent,
}

/// States are equal if every decision based on them is; what is kept for operators does not count.
impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.next == other.next
            && self.config == other.config
            && self.services == other.services
            && self.retired == other.retired
            && self.servers == other.servers
            && self.cells == other.cells
    }
}

impl State {
    /// The state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force; empty before the first one is accepted.
    pub fn config(&self) -> &Config {
        self.config.config()
    }

    /// Settings of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&jacinthbeam_config::Service> {
        self.config().services.get(service)
    }

    /// Owner of a slot of a configured service.
    pub fn owner(&self, service: &ServiceName, slot: SlotId) -> Option<Owner> {
        self.services.get(service)?.owner(slot)
    }

    /// Slots of configured services that a server owns, in order. Costs no more than their number.
    pub fn slots_of<'a>(
        &'a self,
        server: &'a ServerId,
    ) -> impl Iterator<Item = (&'a ServiceName, SlotId, Owner)> + 'a {
        let known = self.servers.get(server);
        let division = known.and_then(|known| self.services.get(&known.service));
        let slots = known.zip(division).into_iter();
        slots.flat_map(|(known, division)| {
            let owned = known.slots().iter();
            owned.filter_map(|slot| Some((&known.service, *slot, division.owner(*slot)?)))
        })
    }

    /// Slots that a server owns of a service which is configured no more. Its attendant should release them.
    pub fn to_release(
        &self,
        server: &ServerId,
    ) -> impl Iterator<Item = (&ServiceName, SlotId, Owner)> {
        let known = self.servers.get(server);
        let division = known.and_then(|known| self.retired.get(&known.service));
        let slots = known.zip(division).into_iter();
        slots.flat_map(|(known, division)| {
            let owned = known.slots().iter();
            owned.filter_map(|slot| Some((&known.service, *slot, division.owner(*slot)?)))
        })
    }

    /// Active servers of a service in the order of their names.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ServerId, &'a Server)> + 'a {
        self.servers
            .iter()
            .filter(move |(_, server)| server.is_active() && server.service == *service)
    }

    /// Whether the eviction of a server needs promises of its cell's witnesses.
    ///
    /// It does not for a service that yields: there no lease is renewed on the word of witnesses.
    /// Nor in a cell without witnesses, for the same reason. A service that is configured no more
    /// is treated as one that holds, because a host that is cut off may still follow the old
    /// configuration.
    pub fn needs_promises(&self, server: &Server) -> bool {
        let cut_off = self.service(&server.service).map_or(CutOff::Hold, |service| service.cut_off);
        cut_off == CutOff::Hold && self.cells.contains_key(&server.cell)
    }

    /// Number of members of a set that promised or are declared lost by the configuration.
    pub fn promises(&self, cell: &CellId, set: &WitnessSet, promised: &[Incarnation]) -> usize {
        let lost = &self.config().lost;
        let domain_lost = lost.failure_domains.contains(&cell.failure_domain());
        let counts = |incarnation| {
            domain_lost || lost.hosts.contains(incarnation) || promised.contains(incarnation)
        };
        set.members.iter().filter(|member| counts(&member.incarnation)).count()
    }

    /// The last records that changed something about a server, oldest first, as far as this process
    /// applied them.
    pub fn recent(&self, server: &ServerId) -> impl Iterator<Item = &Entry> + '_ {
        let place = self.servers.place(server);
        place.into_iter().flat_map(|place| self.recent.of(place))
    }

    /// Tells an operator who owns a slot and how that came about. Looks at all servers of the service.
    pub fn explain(&self, service: &ServiceName, slot: SlotId) -> Explanation<'_> {
        let of_service = self.servers.iter().filter(|(_, server)| server.service == *service);
        let entries = of_service.flat_map(|(id, _)| self.recent(id));
        let about = entries
            .filter(|entry| entry.changes.iter().any(|change| change.is_about(service, slot)));
        let entries: BTreeMap<_, _> = about.map(|entry| (entry.offset, entry)).collect();
        Explanation {
            service: service.clone(),
            slot,
            owner: self.owner(service, slot),
            entries: entries.into_values().collect(),
        }
    }
}

/// Owner of a slot and the records that led there, as far as they are kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation<'a> {
    /// The service.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotId,
    /// Its owner.
    pub owner: Option<Owner>,
    /// Records that changed the slot, oldest first, as far as they are kept.
    pub entries: Vec<&'a Entry>,
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.owner {
            Some(Owner { server, epoch, how, .. }) => {
                write!(f, "{} slot {}: {server} since {epoch} ({how})", self.service, self.slot)?;
            }
            None => write!(f, "{} slot {}: nobody", self.service, self.slot)?,
        }
        for entry in &self.entries {
            let about = |change: &&Change| change.is_about(&self.service, self.slot);
            let changes = entry.changes.iter().filter(about);
            let changes: Vec<_> = changes.map(ToString::to_string).collect();
            write!(
                f,
                "\n  {} by {}: {} ({})",
                entry.offset,
                entry.id,
                changes.join("; "),
                entry.why
            )?;
        }
        Ok(())
    }
}
