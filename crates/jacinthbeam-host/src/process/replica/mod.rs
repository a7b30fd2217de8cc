//! This host's replica of the store's data. No I/O.
//!
//! Records may arrive from the store itself and from other hosts, in any order and more than once. Each carries its offset in the store, or
//! a version, so that the newest one always wins and the replica never goes back.

pub mod digest;
mod hosts;
mod listing;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_admission::Classes;
use jacinthbeam_crash::{Suspects, probe::Rank};
use jacinthbeam_dispatch::subset::Position;
use jacinthbeam_range::Map;
use jacinthbeam_route::{Admission, Config, Server, Servers, Service};
use jacinthbeam_types::prelude::*;

use digest::{Bucket, BucketDigests, Digest};

use super::{
    evacuation::Evacuations,
    map_history::{MapHistory, MapUpdate},
    server_lines::ServerLines,
};
use crate::{
    process::peers::{
        HostEntry,
        update::{Coverage, Listed, ServerUpdate, StateUpdate, UpdateRequest},
    },
    version::{Leaving, View},
};

/// How long a server that has left the list is remembered: longer than other hosts may lag behind, and longer than the fact matters.
const LEFT_RETENTION: Duration = Duration::from_secs(30);

/// The newest record of one backend server.
#[derive(Debug, Clone)]
struct Entry {
    offset: Offset,
    /// The latest incarnation that was listed under the name.
    incarnation: ServerId,
    server: Option<Server>,
    /// Lower bound of the time at which the store accepted the record that the server is leaving or has left; `None` if there is
    /// no such record.
    leaving: Option<Leaving>,
    /// When the server will be warm; `None` unless it is cold.
    warm_at: Option<Instant>,
    /// The incarnation that the list of servers contains.
    listed: Option<ServerId>,
}

impl Entry {
    /// Whether the same incarnation was draining, which it doesn't take back, while the new entry says that it takes work.
    fn announced_drain(&self, new: Option<&Server>) -> bool {
        let was_draining = self.server.as_ref().is_some_and(|server| server.draining);
        was_draining && new.is_some_and(|new| new.id == self.incarnation && !new.draining)
    }
}

/// What is known of a difference between the listed servers and those of a host that sends updates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Difference {
    /// There is none.
    #[default]
    None,
    /// The next request asks for the names that differ.
    Found,
    /// The other host listed the names that differ, and these two digests, its own and this host's, still do: this host has newer records.
    Remains(Digest, Digest),
}

/// A replica of the store's data.
#[derive(Debug, Default)]
pub struct StoreReplica {
    config: Option<Arc<Config>>,
    /// No newer configuration had been acknowledged before this time.
    config_as_of: Option<Instant>,
    evacuations: Evacuations,
    servers: BTreeMap<ServerName, Entry>,
    /// The servers by the offsets of their newest records, to find what another host lacks. Several may have the same offset: all that a
    /// complete list lacked.
    servers_by_offset: BTreeSet<(Offset, Option<ServerName>)>,
    servers_end: Offset,
    /// All records of servers that the store accepted before this time have been applied.
    servers_as_of: Option<Instant>,
    /// Servers that left before this offset may have been forgotten.
    forgotten_before: Offset,
    /// Digest of the listed servers.
    servers_digest: Digest,
    /// How the list differs from that of other hosts.
    difference: Difference,
    /// When a server was last added, removed or changed; `None` until the list was read.
    servers_changed: Option<Instant>,
    /// Entries of hosts with their offsets in the list of hosts; `None` for relays that were not found there yet.
    hosts: BTreeMap<HostId, (Option<Offset>, HostEntry)>,
    hosts_end: Offset,
    maps: BTreeMap<ServiceName, MapHistory>,
    /// The list of servers for requests. Views share it, so a change copies it, but derives only what has changed.
    list: Arc<Servers>,
    /// Servers whose entries in the list are outdated.
    outdated: BTreeSet<ServerName>,
    leaving: Arc<BTreeMap<ServerId, Leaving>>,
    /// Cold servers of the list, and when they are warm.
    cold: BTreeMap<ServerId, Instant>,
    /// Requests with crash evidence, as of the last [`StoreReplica::set_suspects`].
    suspects: Arc<Suspects>,
    /// Services whose hosts exchange their load.
    load_shared: Arc<BTreeMap<ServiceName, Classes>>,
    /// Keyed services with routes of several ranks.
    mixed_ranks: Arc<BTreeMap<ServiceName, BTreeSet<u32>>>,
    /// Changes of servers that are not logged yet.
    pending_log_lines: ServerLines,
}

/// The services without keys that have deferrable routes, with the ranks of their routes. Services whose admission is off are left out.
fn load_shared(cfg: &Config) -> BTreeMap<ServiceName, Classes> {
    let classes = |service: &ServiceName| {
        let routes = cfg.routes.iter();
        let routes = routes.filter(|route| route.target.services().any(|other| other == service));
        Classes::of(routes.map(|route| (route.priority, route.objective)))
    };
    let is_included = |service: &Service| !service.keyed && service.admission == Admission::Auto;
    let included = cfg.services.iter().filter(|(_, service)| is_included(service));
    let shared = included.map(|(name, _)| (name.clone(), classes(name)));
    shared.filter(|(_, classes)| classes.has_deferrable()).collect()
}

/// The services with keys whose routes have more than one rank, with these ranks.
fn mixed_ranks(cfg: &Config) -> BTreeMap<ServiceName, BTreeSet<u32>> {
    let ranks = |service: &ServiceName| -> BTreeSet<u32> {
        let routes = cfg.routes.iter();
        let routes = routes.filter(|route| route.target.services().any(|other| other == service));
        routes.map(|route| route.priority).collect()
    };
    let keyed = cfg.services.iter().filter(|(_, service)| service.keyed);
    let ranked = keyed.map(|(name, _)| (name.clone(), ranks(name)));
    ranked.filter(|(_, ranks)| ranks.len() > 1).collect()
}

/// What an update changed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Changed {
    /// The configuration was replaced.
    pub config: bool,
    /// A backend server was added, removed or changed.
    pub servers: bool,
    /// A host was added or its entry changed.
    pub hosts: bool,
    /// An ownership map was replaced.
    pub maps: bool,
    /// The list of servers is not complete up to the update.
    pub incomplete: bool,
}

impl Changed {
    /// Whether anything changed.
    pub fn any(self) -> bool {
        self.config || self.servers || self.hosts || self.maps
    }
}

impl StoreReplica {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The time before which no newer configuration had been acknowledged.
    pub fn config_as_of(&self) -> Option<Instant> {
        self.config_as_of
    }

    /// Notes that no configuration newer than the applied one had been acknowledged before `as_of`.
    pub fn mark_config_current(&mut self, as_of: Instant) {
        self.config_as_of = self.config_as_of.max(Some(as_of));
    }

    /// The backend servers.
    pub fn servers(&self) -> &Servers {
        &self.list
    }

    /// When the list of backend servers last changed; `None` until it was read.
    pub fn servers_changed(&self) -> Option<Instant> {
        self.servers_changed
    }

    /// The newest ownership map of a service.
    pub fn map(&self, service: &ServiceName) -> Option<&Map> {
        self.maps.get(service).map(|map| &**map.newest())
    }

    /// A view for the traffic thread.
    pub fn view(&self) -> View {
        let newest =
            |(service, map): (&ServiceName, &MapHistory)| (service.clone(), map.newest().clone());
        View {
            config: self.config.clone(),
            servers: self.list.clone(),
            leaving: self.leaving.clone(),
            evacuated: Arc::new(self.evacuations.evacuated()),
            cold: Arc::default(),
            maps: self.maps.iter().map(newest).collect(),
            hosts: self.hosts.len() as u32,
            subset_position: Position::default(),
            rank: Rank::default(),
            suspects: self.suspects.clone(),
            load_shared: self.load_shared.clone(),
            mixed_ranks: self.mixed_ranks.clone(),
        }
    }

    /// Sets the suspected requests.
    pub fn set_suspects(&mut self, suspects: Suspects) {
        self.suspects = Arc::new(suspects);
    }

    /// Applies a configuration. Returns whether it is newer than the known one and valid.
    pub fn apply_config(&mut self, cfg: Config) -> bool {
        let known = self.config.as_ref().map(|cfg| cfg.version);
        if known.is_some_and(|known| cfg.version <= known) {
            return false;
        }
        if let Err(err) = cfg.check() {
            tracing::error!(part = "config", event = "refused", version = %cfg.version, error = ?err.to_string());
            return false;
        }
        self.load_shared = Arc::new(load_shared(&cfg));
        self.mixed_ranks = Arc::new(mixed_ranks(&cfg));
        let deferrable = self.load_shared.iter().map(|(service, classes)| {
            let ranks = classes.iter().filter(|(_, class)| class.deferrable).map(|(rank, _)| rank);
            (service.as_str(), ranks.collect::<Vec<u32>>())
        });
        let deferrable: BTreeMap<&str, Vec<u32>> = deferrable.collect();
        let mixed_ranks = &self.mixed_ranks;
        tracing::info!(part = "config", event = "in-force", version = %cfg.version, before = ?known, deferrable = ?deferrable, mixed_ranks = ?mixed_ranks);
        self.config = Some(Arc::new(cfg));
        true
    }

    /// Whether a record of a server that came with data up to `end` was replaced by one that this replica, which has later data, knows already.
    pub fn is_server_superseded(&self, offset: Offset, end: Offset) -> bool {
        end < self.servers_end && offset < self.servers_end
    }

    /// Applies the record of a server, `None` if it has left. If the record says that the server is leaving, the store accepted it after `bound`.
    /// Returns whether the list of servers changed.
    pub fn apply_server(
        &mut self,
        name: ServerName,
        offset: Offset,
        server: Option<Server>,
        bound: Leaving,
    ) -> bool {
        let known = self.servers.get(&name).map(|entry| (entry.offset, entry.server.is_some()));
        if known.is_some_and(|(known, _)| known >= offset) {
            return false;
        }
        if let Some((before, was_listed)) = known {
            self.servers_by_offset.remove(&(before, Some(name.clone())));
            if was_listed {
                self.servers_digest.remove(&name, before);
            }
        }
        self.servers_by_offset.insert((offset, Some(name.clone())));
        let changed = match known {
            Some(_) => self.replace_server(&name, offset, server, bound),
            None => self.insert_server(&name, offset, server, bound),
        };
        if self.servers.get(&name).is_some_and(|entry| entry.server.is_some()) {
            self.servers_digest.add(&name, offset);
        }
        changed
    }

    fn insert_server(
        &mut self,
        name: &ServerName,
        offset: Offset,
        server: Option<Server>,
        bound: Leaving,
    ) -> bool {
        let changed = server.is_some();
        let incarnation = server.as_ref().map_or_else(|| name.clone().into(), |s| s.id.clone());
        self.pending_log_lines.add(&incarnation, None, server.as_ref());
        let leaving = is_leaving(server.as_ref()).then_some(bound);
        let (warm_at, listed) = (None, None);
        self.outdated.insert(name.clone());
        let entry = Entry { offset, incarnation, server, leaving, warm_at, listed };
        self.servers.insert(name.clone(), entry);
        changed
    }

    fn replace_server(
        &mut self,
        name: &ServerName,
        offset: Offset,
        server: Option<Server>,
        bound: Leaving,
    ) -> bool {
        let Some(before) = self.servers.get_mut(name) else { return false };
        let is_restored = before.offset.era() < offset.era();
        before.offset = offset;
        if is_restored && before.announced_drain(server.as_ref()) {
            tracing::info!(part = "servers", event = "older-entry", server = %name);
            return false;
        }
        // The store may accept a late heartbeat of an earlier incarnation after the first one of the next incarnation.
        if server.as_ref().is_some_and(|server| server.id.born() < before.incarnation.born()) {
            tracing::info!(part = "servers", event = "late-entry", server = %name, of = ?server.map(|s| s.id.to_string()));
            return false;
        }
        self.pending_log_lines.add(&before.incarnation, before.server.as_ref(), server.as_ref());
        let changed = before.server != server;
        let incarnation =
            server.as_ref().map_or_else(|| before.incarnation.clone(), |server| server.id.clone());
        // A later record of the same incarnation keeps the first bound. An earlier incarnation's bound doesn't apply to a new one.
        // A server whose entry expired and reappears is still running and no longer counts as leaving.
        let since = before.leaving.filter(|_| incarnation == before.incarnation).unwrap_or(bound);
        before.leaving = is_leaving(server.as_ref()).then_some(since);
        before.incarnation = incarnation;
        if changed {
            before.warm_at = None;
            self.outdated.insert(name.clone());
        }
        before.server = server;
        changed
    }

    /// All records of servers that the store accepted before this time have been applied.
    pub fn servers_as_of(&self) -> Option<Instant> {
        self.servers_as_of
    }

    /// Notes that all records of servers before `end`, and all that the store accepted before `as_of`, have been applied. `changed` tells
    /// whether any of them changed the list.
    pub fn mark_servers_current(
        &mut self,
        end: Offset,
        as_of: Option<Instant>,
        changed: bool,
        now: Instant,
    ) {
        self.servers_end = self.servers_end.max(end);
        self.servers_as_of = self.servers_as_of.max(as_of);
        self.on_servers_applied(changed || self.servers_changed.is_none(), now);
    }

    fn on_servers_applied(&mut self, changed: bool, now: Instant) {
        self.pending_log_lines.write();
        if changed {
            self.servers_changed = Some(now);
            self.update_list(now);
            self.forget(now);
        }
    }

    fn forget(&mut self, now: Instant) {
        let old = |entry: &Entry| {
            let left = entry.leaving.is_some_and(|leaving| leaving.elapsed(now) >= LEFT_RETENTION);
            left && entry.server.is_none()
        };
        for (name, entry) in self.servers.iter().filter(|(_, entry)| old(entry)) {
            self.forgotten_before = self.forgotten_before.max(entry.offset);
            self.servers_by_offset.remove(&(entry.offset, Some(name.clone())));
        }
        self.servers.retain(|_, entry| !old(entry));
    }

    /// Applies an ownership map. Returns whether it is newer than the known one.
    pub fn apply_map(&mut self, service: ServiceName, map: Map) -> bool {
        if let Some(known) = self.maps.get_mut(&service) {
            return known.apply(map);
        }
        self.maps.insert(service, MapHistory::new(map));
        true
    }

    fn apply_map_update(&mut self, service: ServiceName, update: MapUpdate) -> bool {
        match update {
            MapUpdate::Whole(map) => self.apply_map(service, map),
            // A delta against a map that this host has replaced meanwhile can't be applied; the next request names the present one.
            MapUpdate::Changes(changes) => {
                self.maps.get_mut(&service).is_some_and(|known| known.apply_delta(&changes))
            }
        }
    }

    /// A request to another host for everything newer than this replica.
    pub fn update_request(&self, wait: Duration) -> UpdateRequest {
        let revision = |(service, map): (&ServiceName, &MapHistory)| {
            (service.clone(), map.newest().revision())
        };
        UpdateRequest {
            config: self.config.as_ref().map(|cfg| cfg.version),
            evacuations_end: self.evacuations.end(),
            servers_end: self.servers_end,
            hosts_end: self.hosts_end,
            maps: self.maps.iter().map(revision).collect(),
            crashes: None,
            only_crashes: false,
            wait,
            register: None,
            listed: Some(Listed {
                evacuations: self.evacuations.cursors(),
                servers: match self.difference {
                    Difference::Remains(..) => None,
                    Difference::None | Difference::Found => {
                        Some(self.digest_before(self.servers_end))
                    }
                },
                buckets: (self.difference == Difference::Found).then(|| self.bucket_digests()),
            }),
        }
    }

    /// The names and offsets of the listed servers.
    fn listed_servers(&self) -> impl Iterator<Item = (&ServerName, Offset)> {
        let listed = self.servers.iter().filter(|(_, entry)| entry.server.is_some());
        listed.map(|(name, entry)| (name, entry.offset))
    }

    fn bucket_digests(&self) -> BucketDigests {
        BucketDigests::of(self.listed_servers())
    }

    /// Digest of the listed servers whose records are before `end`.
    fn digest_before(&self, end: Offset) -> Digest {
        let mut digest = self.servers_digest;
        for name in
            self.servers_by_offset.range((end, None)..).filter_map(|(_, name)| name.as_ref())
        {
            if let Some(entry) = self.servers.get(name).filter(|entry| entry.server.is_some()) {
                digest.remove(name, entry.offset);
            }
        }
        digest
    }

    /// What this replica has and the requesting host lacks. `age` is the age of this replica's data.
    pub fn update_for(&self, request: &UpdateRequest, age: Duration, now: Instant) -> StateUpdate {
        let config = self.config.as_ref().filter(|cfg| request.config < Some(cfg.version));
        let listed = request.listed.as_ref();
        let all_servers = request.servers_end <= self.forgotten_before;
        let first = if all_servers { Offset(0) } else { request.servers_end };
        let newer = self.servers_by_offset.range((first, None)..);
        let newer = newer.filter_map(|(_, name)| name.as_ref());
        let buckets = listed.and_then(|listed| listed.buckets.as_ref());
        let buckets: Option<BTreeSet<Bucket>> =
            buckets.map(|digests| self.bucket_digests().differing(digests).collect());
        let in_buckets = self.listed_servers().filter(|(name, offset)| {
            let is_listed = |buckets: &BTreeSet<Bucket>| buckets.contains(&Bucket::of(name));
            *offset < first && buckets.as_ref().is_some_and(is_listed)
        });
        let names = newer.chain(in_buckets.map(|(name, _)| name));
        let servers = names.filter_map(|name| Some((name, self.servers.get(name)?)));
        let hosts = self.hosts.iter().filter_map(|(host, (offset, entry))| {
            let offset = offset.filter(|offset| *offset >= request.hosts_end)?;
            Some((host.clone(), offset, entry.clone()))
        });
        let maps = self.maps.iter().filter_map(|(service, map)| {
            Some((service.clone(), map.update_for(request.maps.get(service).copied())?))
        });
        let entry = |(name, entry): (&ServerName, &Entry)| ServerUpdate {
            name: name.clone(),
            offset: entry.offset,
            server: entry.server.clone(),
            leaving_for: entry.leaving.map(|leaving| leaving.elapsed(now)),
        };
        let servers: Vec<ServerUpdate> = servers.map(entry).collect();
        let digest = self.digest_before(self.servers_end);
        // Data older than the other host's differs from it without anything being wrong.
        let may_differ = servers.is_empty() && request.servers_end <= self.servers_end;
        let known = listed.and_then(|listed| listed.servers).filter(|_| may_differ);
        StateUpdate {
            age,
            steps: u8::MAX,
            asks_store: false,
            waited: Duration::ZERO,
            config_age: self.config_as_of.map(|at| now.saturating_duration_since(at)),
            config: config.map(|cfg| (**cfg).clone()),
            evacuations: self.evacuations.updates(
                listed.map(|listed| &listed.evacuations),
                request.evacuations_end,
                now,
            ),
            servers,
            servers_end: self.servers_end,
            all_servers,
            hosts: hosts.collect(),
            hosts_end: self.hosts_end,
            maps: maps.collect(),
            crashes: None,
            coverage: Some(Coverage {
                servers: digest,
                servers_differ: known.is_some_and(|known| known != digest),
                buckets,
                evacuations_end: self.evacuations.end(),
            }),
        }
    }

    /// Applies an update that another host sent at `at` or later. If the listed servers then differ from that host's, the replica doesn't count as
    /// complete up to the update, and the next request finds the difference.
    pub fn apply_update(&mut self, update: StateUpdate, at: Instant) -> Changed {
        let mut changed = Changed::default();
        let bound = Leaving::after(self.servers_as_of);
        if let Some(cfg) = update.config {
            changed.config = self.apply_config(cfg);
        }
        let operator_bound = Leaving::after(self.config_as_of);
        let evacuations = self.evacuations.apply_updates(
            update.evacuations,
            update.coverage.as_ref().map(|coverage| coverage.evacuations_end),
            operator_bound,
            at,
        );
        if let Some(as_of) = update.config_age.and_then(|age| at.checked_sub(age)) {
            self.mark_config_current(as_of);
        }
        let end = update.servers_end;
        let buckets = update.coverage.as_ref().and_then(|coverage| coverage.buckets.as_ref());
        let is_complete_for = |name: &ServerName| {
            update.all_servers || buckets.is_some_and(|buckets| buckets.contains(&Bucket::of(name)))
        };
        if update.all_servers || buckets.is_some() {
            let listed = update.servers.iter().map(|server| server.name.as_str()).collect();
            changed.servers = self.remove_missing(&listed, end, is_complete_for, bound);
        }
        for ServerUpdate { name, offset, server, leaving_for } in update.servers {
            if self.is_server_superseded(offset, end) {
                continue;
            }
            let accepted = Leaving::after(leaving_for.and_then(|span| at.checked_sub(span)));
            changed.servers |= self.apply_server(name, offset, server, bound.tighter(accepted));
        }
        changed.incomplete = !self.verify(update.coverage.as_ref(), end);
        if end > Offset(0) && !changed.incomplete {
            self.mark_servers_current(end, at.checked_sub(update.age), changed.servers, at);
        } else {
            self.on_servers_applied(changed.servers, at);
        }
        if evacuations || changed.config {
            self.on_operator_changed(at);
            changed.servers = true;
        }
        for (host, offset, entry) in update.hosts {
            changed.hosts |= self.apply_host(host, offset, entry);
        }
        self.mark_hosts_current(update.hosts_end);
        for (service, map) in update.maps {
            changed.maps |= self.apply_map_update(service, map);
        }
        changed
    }

    /// Whether the listed servers are those of a host that sent an update up to `end`.
    fn verify(&mut self, coverage: Option<&Coverage>, end: Offset) -> bool {
        // The data of an older build, or older data than this host's, can't be compared.
        let Some(coverage) = coverage.filter(|_| end >= self.servers_end) else { return true };
        let (theirs, own) = (coverage.servers, self.digest_before(end));
        let difference = match (theirs == own, &coverage.buckets) {
            (true, _) => Difference::None,
            (false, Some(_)) => Difference::Remains(theirs, own),
            (false, None) if self.difference == Difference::Remains(theirs, own) => self.difference,
            (false, None) => Difference::Found,
        };
        let before = std::mem::replace(&mut self.difference, difference);
        if before != difference {
            tracing::info!(part = "servers", event = "compared", end = %end, difference = ?difference);
        }
        difference != Difference::Found
    }

    /// Removes servers that a complete list lacks, unless they were added after its `end`. Returns whether there were any.
    pub fn remove_unlisted(&mut self, listed: &[&str], end: Offset, bound: Leaving) -> bool {
        let listed = listed.iter().copied().collect();
        self.remove_missing(&listed, end, |_| true, bound)
    }

    /// Removes servers that a list up to `end` lacks, of those for which it is complete. Returns whether there were any.
    fn remove_missing(
        &mut self,
        listed: &BTreeSet<&str>,
        end: Offset,
        is_complete_for: impl Fn(&ServerName) -> bool,
        bound: Leaving,
    ) -> bool {
        let known = self.listed_servers();
        let missing = known.filter(|(name, offset)| {
            *offset < end && !listed.contains(name.as_str()) && is_complete_for(name)
        });
        let missing: Vec<ServerName> = missing.map(|(name, _)| name.clone()).collect();
        let last = Offset(end.0.saturating_sub(1));
        let mut changed = false;
        for name in missing {
            changed |= self.apply_server(name, last, None, bound);
        }
        changed
    }
}

fn is_leaving(server: Option<&Server>) -> bool {
    server.is_none_or(|server| server.draining)
}
