//! Runs the grantors of this host: feeds them duties, ownership maps and time, and executes the actions that they return.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::StatusCode;
use jacinthbeam_range::{
    Action, Event, Grantor, Map,
    grantor::{View as GrantView, timing::RESIGN_COOLDOWN},
    owners,
};
use jacinthbeam_store::{
    Call, Error, Partition,
    keyed::{Changes, Follower},
};
use jacinthbeam_types::prelude::*;
use tokio::{sync::watch, task::spawn_local};

use super::{
    calls::Leadership,
    duty,
    follow::MAPS_MAX_WAIT,
    input::Input,
    maps::MapPartition,
    state::{Control, Granting},
};
use crate::process::{peers::load::Message, replica::Changed};

/// The list of backend servers counts as stable once it has been unchanged for this long: all servers of a deployment start within a second.
const SERVERS_STABLE_AFTER: Duration = Duration::from_millis(1500);

/// Time reserved before the forced stop of a process that keeps granting after its last request: for the broadcast that it has stopped, and for
/// the last calls to the store.
const FORCED_STOP_MARGIN: Duration = Duration::from_millis(400);

/// Interval between two recordings of ages and owners in the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    pub(super) fn start_keyed_services(&mut self) {
        let Some(cfg) = self.replica.config().cloned() else { return };
        let keyed = cfg.services.iter().filter(|(_, service)| service.keyed);
        for (name, _) in keyed {
            self.start_keyed_service(name);
        }
    }

    /// Starts following the ownership map of a keyed service and creates its grantor. Does nothing for a service that has one.
    pub(super) fn start_keyed_service(&mut self, name: &ServiceName) {
        let number = self.partition_of(name);
        if !self.partitions.contains_key(&number) {
            let partition = Partition { topic: self.wire.store_layout.maps.into(), number };
            let (enabled, is_enabled) = watch::channel(*self.direct.borrow());
            if *enabled.borrow() {
                self.contact.on_maps_enabled(number, self.clock.now());
            }
            self.partitions.insert(number, MapPartition::new(self.store.lane(), enabled));
            self.follow(partition, MAPS_MAX_WAIT, Duration::ZERO, is_enabled, move |read| {
                Input::Maps { partition: number, sent_at: read.sent_at, changes: read.changes }
            });
        }
        if !std::mem::replace(&mut self.has_joined, true) {
            spawn_local(duty::run(duty::Group {
                store: self.store.clone(),
                topic: self.wire.store_layout.duties,
                member: format!("{}:{}", self.me.host, self.me.incarnation),
                clock: self.clock.clone(),
                duty_request: self.duty_request.clone(),
                tx: self.tx.clone(),
            }));
        }
        if !self.granting.contains_key(name) {
            let grantor = Grantor::new(name.clone(), self.me.clone())
                .at_first_start(self.settings.first_start);
            self.granting.insert(
                name.clone(),
                Granting { grantor, lead_epoch: Rc::default(), broadcast: None },
            );
            let duty = self.duties.contains(&number);
            self.step(name, Event::Duty(duty));
            self.notify_grantor(name, number, self.clock.now());
        }
    }

    /// Number of the partition that holds a service's ownership map, and of the duty to grant its keys.
    pub(super) fn partition_of(&self, service: &ServiceName) -> u32 {
        let hash = KeyHash::of(service.as_str().as_bytes());
        (hash.0 % u64::from(self.settings.partitions.max(1))) as u32
    }

    pub(super) fn on_duties(&mut self, duties: BTreeSet<u32>) {
        if duties == self.duties {
            return;
        }
        tracing::info!(part = "duty", event = "dealt", duties = ?duties);
        self.duties = duties;
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            let duty = self.duties.contains(&self.partition_of(&service));
            self.step(&service, Event::Duty(duty));
        }
    }

    pub(super) fn on_maps(&mut self, number: u32, sent_at: Instant, changes: Changes) {
        let Some(partition) = self.partitions.get_mut(&number) else { return };
        self.contact.on_maps(number, self.clock.now());
        let newer = partition.apply(changes);
        let mut changed = Changed::default();
        for (service, map) in newer {
            changed.maps |= self.replica.apply_map(service, map);
        }
        self.on_changed(changed);
        self.notify_grantors(number, sent_at);
    }

    /// Passes the newest maps of a partition, as of a read sent at `sent_at`, to the grantors of its services.
    pub(super) fn notify_grantors(&mut self, number: u32, sent_at: Instant) {
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            if self.partition_of(&service) == number {
                self.notify_grantor(&service, number, sent_at);
            }
        }
    }

    pub(super) fn notify_grantor(&mut self, service: &ServiceName, number: u32, sent_at: Instant) {
        let partition = self.partitions.get(&number).filter(|partition| partition.read);
        let Some(partition) = partition else { return };
        let (map, era) = (partition.newest(service).cloned(), partition.end.era());
        self.step(service, Event::Read { sent_at, map, era });
    }

    pub(super) fn on_map_written(
        &mut self,
        service: &ServiceName,
        map: Map,
        sent_at: Instant,
        at: Offset,
        result: Result<Offset, Error>,
    ) {
        self.counters.on_record(result.as_ref().err());
        match result {
            Ok(end) => {
                let number = self.partition_of(service);
                if let Some(partition) = self.partitions.get_mut(&number) {
                    partition.apply_own(service.clone(), at, end, map.clone());
                }
                self.step(service, Event::Recorded { sent_at });
                let moved = self.replica.map(service).map_or(0, |known| map.moved_since(known));
                self.counters.on_moved(service, moved);
                let maps = self.replica.apply_map(service.clone(), map);
                self.on_changed(Changed { maps, ..Changed::default() });
            }
            Err(err) => {
                tracing::info!(part = "maps", event = "not-recorded", service = %service, at = %at, error = %err);
                self.step(service, Event::NotRecorded);
                if err == Error::Conflict {
                    // The partition has a newer record. The pending long poll may have lost its answer and would time out only after
                    // seconds, during which every write of this host would conflict; so read now.
                    self.read_maps(self.partition_of(service));
                }
            }
        }
    }

    pub(super) fn step_all(&mut self, event: &Event) {
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            self.step(&service, event.clone());
        }
        self.record_owner_metrics();
        let leading = self.granting.values().filter(|granting| granting.grantor.leads()).count();
        self.counters.leads.record(leading as u64, &[]);
        self.enable_map_reads();
    }

    /// Records in the metrics how stale the replica is and how many keys have no owner, at most once in [`METRICS_INTERVAL`].
    fn record_owner_metrics(&mut self) {
        let now = self.clock.now();
        let since = self.metrics_recorded.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < METRICS_INTERVAL) {
            return;
        }
        self.metrics_recorded = Some(now);
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let ages = [
            ("store", self.contact.as_of()),
            ("operator", self.contact.operator_as_of()),
            ("config", self.replica.config_as_of()),
        ];
        for (what, at) in ages {
            age(at).into_iter().for_each(|age| self.counters.on_known(what, age));
        }
        for (service, granting) in &self.granting {
            if let Some(map) = self.replica.map(service) {
                let since = since.unwrap_or_default();
                self.counters.on_owners(service, map.unowned_keys(), since);
            }
            if let Some(proof_age) = granting.grantor.confirmation_age(now) {
                self.counters.on_leading(service, proof_age, granting.grantor.imbalance());
            }
        }
    }

    /// Enables reading of the map partitions that this host needs: all of them if it reads the store for its failure domain, otherwise those
    /// that it may have to write.
    pub(super) fn enable_map_reads(&self) {
        let direct = *self.direct.borrow();
        for (number, partition) in &self.partitions {
            let leads = |(service, granting): (&ServiceName, &Granting)| {
                granting.grantor.leads() && self.partition_of(service) == *number
            };
            let wanted = direct || self.duties.contains(number) || self.granting.iter().any(leads);
            let changed = partition
                .enabled
                .send_if_modified(|enabled| std::mem::replace(enabled, wanted) != wanted);
            if changed && wanted {
                self.contact.on_maps_enabled(*number, self.clock.now());
            }
        }
    }

    pub(super) fn step(&mut self, service: &ServiceName, event: Event) {
        let now = self.clock.now();
        let unchanged = self.replica.servers_changed().map(|at| now.saturating_duration_since(at));
        let servers_stable = unchanged.is_some_and(|since| since >= SERVERS_STABLE_AFTER);
        let Some(granting) = self.granting.get_mut(service) else { return };
        let led = granting.grantor.leads();
        let max_owners = owners::max_owners(self.settings.record_bytes);
        let servers = self.replica.servers();
        let view = GrantView { now, servers, servers_stable, max_owners };
        let actions = granting.grantor.step(view, event);
        let leads = granting.grantor.leads();
        let epoch = granting.grantor.map().map(|map| map.epoch);
        granting.lead_epoch.set(epoch.filter(|_| leads));
        if led != leads {
            tracing::info!(part = "grant", event = "leads", service = %service, leads = %leads, epoch = ?epoch);
        }
        if led && !leads {
            self.grant_client.keep_only(&[]);
        }
        for action in actions {
            self.execute(service, action);
        }
    }

    /// The leadership that this process holds for a service now; `None` if it doesn't lead.
    fn leadership(&self, service: &ServiceName) -> Option<Leadership> {
        let lead_epoch = self.granting.get(service)?.lead_epoch.clone();
        let epoch = lead_epoch.get()?;
        Some(Leadership { epoch, lead_epoch })
    }

    pub(super) fn execute(&mut self, service: &ServiceName, action: Action) {
        let number = self.partition_of(service);
        match action {
            Action::Record(map) => self.write_map(service, number, map),
            Action::Check => self.read_maps(number),
            Action::Grant { to, grants, connection, until } => {
                let Some(leadership) = self.leadership(service) else { return };
                self.grant_client.grant(service.clone(), to, grants, connection, until, leadership);
            }
            Action::Release { from, range, token } => {
                let Some(leadership) = self.leadership(service) else { return };
                self.grant_client.release(service.clone(), from, (range, token), leadership);
            }
            Action::NotifySuccessor { to, epoch, others_left } => {
                let leader = self.me.clone();
                let service = service.clone();
                let message = Message::Stopped { service, leader, epoch, others_left };
                // The grantor repeats the action at the next tick.
                if let Err(err) = self.socket.try_send_to(&message.to_bytes(), to.addr) {
                    tracing::debug!(part = "grant", event = "not-told", host = %to.host, error = ?err);
                }
            }
            Action::BroadcastStopped { epoch, others_left } => {
                self.broadcast_stopped(service, epoch, others_left)
            }
            Action::Resign => {
                tracing::warn!(part = "duty", event = "resigned", service = %service, why = "owners-unreachable");
                self.duty_request.pause_until.set(Some(self.clock.now() + RESIGN_COOLDOWN));
            }
        }
    }

    /// Tells all hosts that this one has stopped granting the keys of a service. Each datagram is sent twice, since some are lost; a host that
    /// receives neither waits as long as it does for a crashed host.
    fn broadcast_stopped(&self, service: &ServiceName, epoch: Epoch, others_left: Duration) {
        let leader = self.me.clone();
        let message = Message::Stopped { service: service.clone(), leader, epoch, others_left };
        let bytes = message.to_bytes();
        tracing::info!(part = "grant", event = "stopped", service = %service, epoch = %epoch, others_left_ms = %others_left.as_millis());
        for (host, entry) in self.replica.hosts().chain(self.replica.hosts()) {
            if let Err(err) = self.socket.try_send_to(&bytes, entry.addr) {
                tracing::debug!(part = "grant", event = "not-told", host = %host, error = ?err);
            }
        }
    }

    /// Whether a stopping process still leads a service and has time left before its forced stop.
    ///
    /// That happens only while the store is unreachable, when no other host can take over. Otherwise the grantor has given up leadership
    /// before the last request is answered.
    pub(super) fn must_keep_granting(&self) -> bool {
        let stay = self.settings.stop_within.saturating_sub(FORCED_STOP_MARGIN);
        let may_stay = self.stopping.is_some_and(|since| self.clock.now() < since + stay);
        may_stay && self.granting.values().any(|granting| granting.grantor.leads())
    }

    pub(super) fn write_map(&self, service: &ServiceName, number: u32, map: Map) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let (lane, at) = (partition.lane.clone(), partition.end);
        let (service, value) = (service.clone(), Bytes::from(map.to_bytes()));
        tracing::info!(part = "maps", event = "record", service = %service, epoch = %map.epoch, version = %map.version, at = %at, ranges = %map.assignments().len(), bytes = %value.len());
        let to = Partition { topic: self.wire.store_layout.maps.into(), number };
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        let fits = value.len() as u64 <= self.settings.record_bytes.0;
        if !fits {
            // The owners of the last record keep their keys.
            tracing::error!(part = "maps", event = "record-too-large", service = %service, bytes = %value.len(), limit = %self.settings.record_bytes);
        }
        spawn_local(async move {
            let sent_at = clock.now();
            let call = Call::Put { to, key: service.to_string(), value, only_at: Some(at) };
            let result = match fits {
                true => lane.append(&call).await,
                false => Err(Error::Refused(StatusCode::PAYLOAD_TOO_LARGE)),
            };
            if tx.send(Input::MapWritten { service, map, sent_at, at, result }).is_err() {
                tracing::debug!(part = "maps", event = "stopped-meanwhile");
            }
        });
    }

    /// Reads a partition of maps without waiting for new records. An empty result confirms that the known maps are the newest.
    pub(super) fn read_maps(&self, number: u32) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let lane = partition.lane.clone();
        let from = Partition { topic: self.wire.store_layout.maps.into(), number };
        let mut follower = Follower::after(from, partition.end);
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        spawn_local(async move {
            let sent_at = clock.now();
            let changes = match follower.look(&lane, Duration::ZERO).await {
                Ok(changes) => changes,
                Err(err) => {
                    return tracing::info!(part = "maps", event = "not-read", partition = %follower.partition(), error = %err);
                }
            };
            if tx.send(Input::Maps { partition: number, sent_at, changes }).is_err() {
                tracing::debug!(part = "maps", event = "stopped-meanwhile");
            }
        });
    }
}
