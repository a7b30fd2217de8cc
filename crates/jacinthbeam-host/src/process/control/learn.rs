//! What the store says, as it changes what this host knows.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Instant};

use jacinthbeam_dispatch::slow_start::Share;
use jacinthbeam_range::Event;
use jacinthbeam_store::{Item, keyed::Changes};
use jacinthbeam_types::prelude::*;

use super::{crashes::EVIDENCE_PREFIX, state::Control, update_client::Topic};
use crate::{
    process::{
        peers::{HostEntry, order::Neighbours, update::StateUpdate},
        replica::Changed,
    },
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
        self.known.mark_config_current(as_of.min(now));
        self.publish_freshness();
    }

    /// Takes the operator's records of evacuations.
    fn on_evacuations(&mut self, changes: &Changes) {
        let now = self.clock.now();
        let prefix = self.wire.store_layout.evacuation_prefix;
        let mut changed = false;
        let mut listed = Vec::new();
        for item in &changes.items {
            let Some(name) = item.key.strip_prefix(prefix) else { continue };
            match name.parse::<FailureDomain>() {
                Ok(domain) => {
                    let evacuated = !item.value.is_empty();
                    listed.extend(evacuated.then(|| domain.clone()));
                    changed |= self.known.apply_evacuation(domain, item.offset, evacuated, now);
                }
                Err(err) => self.note_unreadable("evacuation", item, &err.to_string()),
            }
        }
        if changes.whole {
            changed |= self.known.retain_evacuations(&listed, changes.end, now);
        }
        if changed {
            self.known.on_operator_changed(now);
            self.on_changed(Changed { servers: true, ..Changed::default() });
        }
    }

    /// Tells the traffic thread how far what is known reaches: after what is known itself.
    pub(super) fn publish_freshness(&self) {
        self.freshness.send_replace(Freshness {
            config: self.known.config_as_of(),
            servers: self.known.servers_as_of(),
            updated: Some(self.clock.now()),
        });
    }

    fn on_config(&mut self, item: &Item) {
        match (self.wire.parse_config)(&item.value) {
            Ok(cfg) => {
                let config = self.known.apply_config(cfg);
                if config {
                    self.known.on_operator_changed(self.clock.now());
                }
                self.on_changed(Changed { config, servers: config, ..Changed::default() });
            }
            Err(err) => {
                tracing::error!(part = "config", event = "unreadable", offset = %item.offset, error = ?err);
            }
        }
    }

    pub(super) fn on_servers(&mut self, asked: Instant, changes: Changes) {
        let now = self.clock.now();
        self.contact.on_servers(asked);
        // What this read shows first, the store took after the last one was sent.
        let bound = Leaving::after(self.known.servers_as_of());
        let mut changed = false;
        for item in &changes.items {
            changed |= self.on_server(item, bound);
        }
        if changes.whole {
            let listed: Vec<&str> = changes.items.iter().map(|item| item.key.as_str()).collect();
            changed |= self.known.remove_unlisted(&listed, changes.end, bound);
        }
        self.known.mark_servers_current(changes.end, Some(asked), changed, now);
        self.on_changed(Changed { servers: changed, ..Changed::default() });
        self.publish_freshness();
    }

    /// Takes the entry of a server. One that another writer left and that can't be read names no server to use, whatever stood there
    /// before: the store keeps only the newest, and a server that lives writes its own within a heartbeat.
    fn on_server(&mut self, item: &Item, bound: Leaving) -> bool {
        let name = match item.key.parse::<ServerName>() {
            Ok(name) => name,
            Err(err) => {
                self.note_unreadable("server", item, &err.to_string());
                return false;
            }
        };
        if item.value.is_empty() {
            return self.known.apply_server(name, item.offset, None, bound);
        }
        let server = match (self.wire.parse_server)(&item.key, &item.value) {
            Ok(server) => Some(server),
            Err(err) => {
                self.note_unreadable("server", item, &err);
                None
            }
        };
        self.known.apply_server(name, item.offset, server, bound)
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
                (Ok(host), Ok(entry)) => changed |= self.known.apply_host(host, item.offset, entry),
                (Err(err), _) => self.note_unreadable("host", item, &err.to_string()),
                (_, Err(err)) => self.note_unreadable("host", item, &err.to_string()),
            }
        }
        self.has_read_hosts = true;
        self.known.mark_hosts_current(changes.end);
        self.on_changed(Changed { hosts: changed, ..Changed::default() });
        // The first host of all finds an empty list, and that is news too.
        self.order_hosts();
    }

    /// Takes what the host at `of` knew at `answered`, or later.
    pub(super) fn on_update(
        &mut self,
        of: SocketAddr,
        topic: Topic,
        answered: Instant,
        mut news: StateUpdate,
    ) {
        if let Some(crashes) = news.crashes.take() {
            self.on_peer_crashes(of, crashes);
        }
        if topic == Topic::Crashes {
            return;
        }
        let told = answered.checked_sub(news.age);
        let steps = news.steps;
        let services: Vec<ServiceName> =
            news.maps.iter().map(|(service, _)| service.clone()).collect();
        let changed = self.known.apply_update(news, answered);
        // Only now: a host that asks in between would take what was known before for as new as these.
        self.contact.on_update(told, steps);
        self.on_changed(changed);
        self.publish_freshness();
        for service in services {
            self.on_peer_map(&service);
        }
    }

    /// Makes what is known act.
    pub(super) fn on_changed(&mut self, changed: Changed) {
        if !changed.any() {
            return;
        }
        if changed.hosts {
            self.cold_assignments.clear();
        }
        self.publish();
        if changed.hosts {
            self.order_hosts();
        }
        if changed.config {
            self.start_keyed_services();
        }
        if changed.servers {
            self.step_all(&Event::Tick);
        }
    }

    /// Makes what is known act on requests.
    pub(super) fn publish(&mut self) {
        let cold = self.cold_servers();
        let mut view = self.known.view();
        view.cold = Arc::new(cold);
        view.subset_position = self.known.place(&self.me.host);
        view.rank = self.known.rank(&self.me.host);
        self.counters.evacuated.record(view.evacuated.len() as u64, &[]);
        self.counters.cold.record(view.cold.len() as u64, &[]);
        self.view.send_replace(Arc::new(view));
    }

    /// Cold servers, and this host's part in what they get: that of the hosts of their own failure domain, so that a cut between domains
    /// changes nothing of it.
    fn cold_servers(&mut self) -> BTreeMap<ServerId, ColdServer> {
        let (bounds, drawn) =
            (self.settings.slow_start, std::mem::take(&mut self.cold_assignments));
        for (server, rate, until) in self.known.cold() {
            let share = Share::of(rate, &bounds);
            let is_sender = drawn.get(&server.id).map_or_else(
                || self.known.is_sender(&self.me.host, server, share.senders),
                |cold| cold.spacing.is_some(),
            );
            let spacing = is_sender.then_some(share.spacing);
            self.cold_assignments.insert(server.id.clone(), ColdServer { until, spacing });
        }
        self.cold_assignments.clone()
    }

    /// A host that grants looks whether others have heard of a successor of its. For any other the map says nothing that it acts on here.
    fn on_peer_map(&mut self, service: &ServiceName) {
        let leads = self.granting.get(service).is_some_and(|granting| granting.grantor.leads());
        let map = self.known.map(service).filter(|_| leads).cloned();
        if let Some(map) = map {
            self.step(service, Event::PeerMap(map));
        }
    }

    /// Tells the feed which hosts there are.
    fn order_hosts(&self) {
        let neighbours = Neighbours::of(&self.me.host, &self.entry(), self.known.hosts());
        self.neighbours.send_if_modified(|known| {
            let changed = known.as_ref() != Some(&neighbours);
            *known = Some(neighbours);
            changed
        });
    }
}
