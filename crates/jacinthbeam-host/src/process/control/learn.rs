//! Applies records of the store and updates from other hosts to the replica, and makes the changes take effect.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Instant};

use jacinthbeam_dispatch::{helper, slow_start::Share};
use jacinthbeam_range::Event;
use jacinthbeam_store::{Item, keyed::Changes};
use jacinthbeam_types::prelude::*;

use super::{crashes::EVIDENCE_PREFIX, state::Control, update_client::UpdateScope};
use crate::{
    process::{
        peers::{HostEntry, order::Neighbours, update::StateUpdate},
        replica::Changed,
    },
    request::forward::Peer,
    version::{ColdServer, Freshness, Leaving},
};

impl Control {
    pub(super) fn on_operator(&mut self, as_of: Instant, changes: &Changes) {
        let now = self.clock.now();
        self.contact.on_operator(now);
        let newest =
            changes.items.iter().rev().find(|item| item.key == self.wire.store_layout.config_key);
        if let Some(item) = newest.filter(|item| !item.value.is_empty()) {
            self.on_config(item);
        }
        self.on_evacuations(changes);
        self.replica.mark_config_current(as_of.min(now));
        self.publish_freshness();
    }

    /// Applies the operator's evacuation records.
    fn on_evacuations(&mut self, changes: &Changes) {
        let now = self.clock.now();
        let prefix = self.wire.store_layout.evacuation_prefix;
        let mut changed = false;
        let mut listed = Vec::new();
        for item in &changes.items {
            let Some(name) = item.key.strip_prefix(prefix) else { continue };
            match name.parse::<FailureDomain>() {
                Ok(domain) => {
                    if self.replica.is_evacuation_superseded(item.offset, changes.end) {
                        continue;
                    }
                    let evacuated = !item.value.is_empty();
                    listed.extend(evacuated.then(|| domain.clone()));
                    changed |= self.replica.apply_evacuation(domain, item.offset, evacuated, now);
                }
                Err(err) => self.note_unreadable("evacuation", item, &err.to_string()),
            }
        }
        if changes.whole {
            changed |= self.replica.retain_evacuations(&listed, changes.end, now);
        }
        self.replica.mark_evacuations_current(changes.end);
        if changed {
            self.replica.on_operator_changed(now);
            self.on_changed(Changed { servers: true, ..Changed::default() });
        }
    }

    /// Publishes to the traffic thread how fresh the view is. Call it after the view itself is published.
    pub(super) fn publish_freshness(&self) {
        self.freshness.send_replace(Freshness {
            config: self.replica.config_as_of(),
            servers: self.replica.servers_as_of(),
            updated: Some(self.clock.now()),
        });
    }

    fn on_config(&mut self, item: &Item) {
        match (self.wire.parse_config)(&item.value) {
            Ok(cfg) => {
                let config = self.replica.apply_config(cfg);
                if config {
                    self.replica.on_operator_changed(self.clock.now());
                }
                self.on_changed(Changed { config, servers: config, ..Changed::default() });
            }
            Err(err) => {
                tracing::error!(part = "config", event = "unreadable", offset = %item.offset, error = ?err);
            }
        }
    }

    pub(super) fn on_servers(&mut self, sent_at: Instant, changes: Changes) {
        let now = self.clock.now();
        self.contact.on_servers(sent_at);
        // The store accepted what is new in this read after the previous read was sent.
        let bound = Leaving::after(self.replica.servers_as_of());
        let mut changed = false;
        for item in &changes.items {
            changed |= self.on_server(item, changes.end, bound);
        }
        if changes.whole {
            let listed: Vec<&str> = changes.items.iter().map(|item| item.key.as_str()).collect();
            changed |= self.replica.remove_unlisted(&listed, changes.end, bound);
        }
        self.replica.mark_servers_current(changes.end, Some(sent_at), changed, now);
        self.on_changed(Changed { servers: changed, ..Changed::default() });
        self.publish_freshness();
    }

    /// Applies the entry of a server, read with others up to `end`. An unreadable entry counts as a server that has left, whatever the entry
    /// before it said: the store keeps only the newest record of a key, and a live server overwrites it with its next heartbeat.
    fn on_server(&mut self, item: &Item, end: Offset, bound: Leaving) -> bool {
        let name = match item.key.parse::<ServerName>() {
            Ok(name) => name,
            Err(err) => {
                self.note_unreadable("server", item, &err.to_string());
                return false;
            }
        };
        if self.replica.is_server_superseded(item.offset, end) {
            return false;
        }
        if item.value.is_empty() {
            return self.replica.apply_server(name, item.offset, None, bound);
        }
        let server = match (self.wire.parse_server)(&item.key, &item.value) {
            Ok(server) => Some(server),
            Err(err) => {
                self.note_unreadable("server", item, &err);
                None
            }
        };
        self.replica.apply_server(name, item.offset, server, bound)
    }

    pub(super) fn note_unreadable(&mut self, what: &'static str, item: &Item, why: &str) {
        self.counters.on_unreadable(what);
        if self.unreadable.is_new(what, &item.key) {
            tracing::warn!(part = "store", event = "unreadable", what = what, key = ?item.key, offset = %item.offset, error = ?why);
        }
    }

    pub(super) fn on_hosts(&mut self, changes: &Changes) {
        let mut changed = false;
        for item in &changes.items {
            if item.key.starts_with(EVIDENCE_PREFIX) {
                self.on_evidence(item);
                continue;
            }
            match (item.key.parse::<HostId>(), HostEntry::from_bytes(&item.value)) {
                (Ok(host), Ok(entry)) => {
                    changed |= self.replica.apply_host(host, item.offset, entry)
                }
                (Err(err), _) => self.note_unreadable("host", item, &err.to_string()),
                (_, Err(err)) => self.note_unreadable("host", item, &err.to_string()),
            }
        }
        self.has_read_hosts = true;
        self.replica.mark_hosts_current(changes.end);
        self.on_changed(Changed { hosts: changed, ..Changed::default() });
    }

    pub(super) fn on_relays(&mut self, relays: &Changes) {
        let mut changed = false;
        for item in &relays.items {
            match (item.key.parse::<HostId>(), HostEntry::from_bytes(&item.value)) {
                (Ok(host), Ok(entry)) => changed |= self.replica.apply_relay(host, entry),
                (Err(err), _) => self.note_unreadable("relay", item, &err.to_string()),
                (_, Err(err)) => self.note_unreadable("relay", item, &err.to_string()),
            }
        }
        self.on_changed(Changed { hosts: changed, ..Changed::default() });
        // Also without a change: the first relay of a fleet may be the only one, which the feed must know of.
        self.publish_neighbours();
    }

    /// Applies what the host at `of` knew at `answered` or later.
    pub(super) fn on_update(
        &mut self,
        of: SocketAddr,
        scope: UpdateScope,
        answered: Instant,
        mut update: StateUpdate,
    ) {
        if let Some(crashes) = update.crashes.take() {
            self.on_peer_crashes(of, crashes);
        }
        if scope == UpdateScope::Crashes {
            return;
        }
        self.last_source = Some(of);
        let as_of = answered.checked_sub(update.age);
        let steps = update.steps;
        let services: Vec<ServiceName> =
            update.maps.iter().map(|(service, _)| service.clone()).collect();
        let changed = self.replica.apply_update(update, answered);
        // Only after the update is applied: a request answered in between would present old data as fresh.
        if !changed.incomplete {
            self.contact.on_update(as_of, steps);
        }
        self.on_changed(changed);
        self.publish_freshness();
        for service in services {
            self.on_peer_map(&service);
        }
    }

    /// Makes changes take effect: publishes the view, and starts or informs what depends on them.
    pub(super) fn on_changed(&mut self, changed: Changed) {
        if !changed.any() {
            return;
        }
        if changed.hosts {
            self.cold_assignments.clear();
            self.permits.on_hosts_changed();
        }
        self.publish();
        if changed.hosts || changed.config {
            self.update_collectors();
        }
        if changed.hosts {
            self.publish_neighbours();
            self.publish_peers();
            self.standby_updated = None;
            self.update_standby();
        }
        if changed.config {
            self.start_keyed_services();
        }
        if changed.servers {
            self.step_all(&Event::Tick);
        }
    }

    /// Publishes the current view to the traffic thread.
    pub(super) fn publish(&mut self) {
        let cold = self.cold_servers();
        let mut view = self.replica.view();
        view.cold = Arc::new(cold);
        view.subset_position = self.replica.position(&self.me.host);
        view.rank = self.replica.rank(&self.me.host);
        self.counters.evacuated.record(view.evacuated.len() as u64, &[]);
        self.counters.cold.record(view.cold.len() as u64, &[]);
        self.view.send_replace(Arc::new(view));
    }

    /// Cold servers, and this host's share of the requests that they may get. The shares are divided among the hosts of a server's own failure
    /// domain, so that a network partition between domains doesn't change them.
    fn cold_servers(&mut self) -> BTreeMap<ServerId, ColdServer> {
        let (bounds, assigned) =
            (self.settings.slow_start, std::mem::take(&mut self.cold_assignments));
        for (server, rate, until) in self.replica.cold() {
            let share = Share::of(rate, &bounds);
            let is_sender = assigned.get(&server.id).map_or_else(
                || self.replica.is_sender(&self.me.host, server, share.senders),
                |cold| cold.spacing.is_some(),
            );
            let spacing = is_sender.then_some(share.spacing);
            self.cold_assignments.insert(server.id.clone(), ColdServer { until, spacing });
        }
        self.cold_assignments.clone()
    }

    /// Passes a map received from another host to the grantor if this host leads the service, so that it learns of a successor. Other hosts
    /// need it only in the view.
    fn on_peer_map(&mut self, service: &ServiceName) {
        let leads = self.granting.get(service).is_some_and(|granting| granting.grantor.leads());
        let map = self.replica.map(service).filter(|_| leads).cloned();
        if let Some(map) = map {
            self.step(service, Event::PeerMap(map));
        }
    }

    /// Publishes the other hosts, in their order, to the tasks that poll them.
    /// Publishes the other hosts to the traffic thread, in the order in which this host prefers them as helpers.
    fn publish_peers(&self) {
        let me = &self.me.host;
        let others = self.replica.hosts().filter(|(host, _)| *host != me);
        let mut ordered: Vec<_> = others
            .map(|(host, entry)| {
                let near = entry.domain == self.settings.domain;
                let (addr, processor) = (entry.addr, entry.processor);
                let peer = Peer { host: host.clone(), addr, processor };
                (helper::preference(me, host, near), peer)
            })
            .collect();
        ordered.sort_unstable_by_key(|(preference, _)| *preference);
        let peers = ordered.into_iter().map(|(_, peer)| peer).collect();
        self.peers.send_replace(Arc::new(peers));
    }

    fn publish_neighbours(&mut self) {
        self.standby.on_hosts_known();
        let neighbours = Neighbours::of(&self.me.host, &self.entry(), self.replica.hosts());
        self.neighbours.send_if_modified(|known| {
            let changed = known.as_ref() != Some(&neighbours);
            *known = Some(neighbours);
            changed
        });
    }
}
