//! What the control thread does about each input.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam_range::{
    Event, Grantor, Leader, Map, Order,
    admission::Gate,
    grantor::{View as GrantView, timing::REST},
};
use jacinthbeam_store::{Call, Client, Error, Item, Lane, Partition, Reply, keyed::Changes};
use jacinthbeam_types::prelude::*;
use tokio::{net::UdpSocket, sync::watch, task::spawn_local};

use super::{
    Start,
    calls::{Caller, Leads},
    duty,
    feed::{self, Feed, Neighbours},
    follow::{
        self, Followed, HOSTS_EVERY, HOSTS_WAIT, MAPS_WAIT, OPERATOR_LOST_AFTER, OPERATOR_WAIT,
        SERVERS_EVERY,
    },
    input::{Input, Tx},
    maps::MapPartition,
};
use crate::{
    Settings, Wire,
    process::{
        known::{Changed, Known},
        metrics::Counters,
        peers::{HostEntry, load::Message},
        traffic::Gates,
    },
    version::View,
};

/// The list of backend servers counts as settled when it has not changed for this long: they all start within a second.
const SETTLED_AFTER: Duration = Duration::from_millis(1500);

/// Pause between two words to all hosts about owners that are asked for too much. What they say rests on reports that come as
/// often.
const GATES_EVERY: Duration = Duration::from_millis(250);

/// Such a word stands for this long, so that a lost one, or two, change nothing.
const GATES_STAND: Duration = Duration::from_millis(800);

/// A grantor and what goes with it.
#[derive(Debug)]
struct Granting {
    grantor: Grantor,
    leads: Leads,
}

/// State of the control thread.
#[derive(Debug)]
pub(super) struct Control {
    settings: Settings,
    wire: Wire,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    me: Leader,
    view: watch::Sender<Arc<View>>,
    gates: watch::Sender<Gates>,
    /// When gates were last told.
    gated: Option<Instant>,
    /// Datagrams to other hosts go out here.
    socket: Rc<UdpSocket>,
    tx: Tx,
    store: Client,
    caller: Caller,
    known: Known,
    /// When this host last heard of the store, by itself or through others.
    heard: Rc<Cell<Option<Instant>>>,
    /// When this host itself last read the operator's records.
    heard_operator: Option<Instant>,
    direct: Rc<watch::Sender<bool>>,
    neighbours: watch::Sender<Neighbours>,
    duties: BTreeSet<u32>,
    wish: Rc<duty::Wish>,
    has_joined: bool,
    partitions: BTreeMap<u32, MapPartition>,
    granting: BTreeMap<ServiceName, Granting>,
}

impl Control {
    pub(super) fn new(start: Start, tx: Tx, socket: Rc<UdpSocket>) -> Self {
        let Start { settings, wire, clock, counters, incarnation, view, gates, .. } = start;
        let me = Leader { host: settings.host.clone(), incarnation, addr: settings.peers };
        Self {
            store: Client::open(settings.store, wire.store, clock.clone()),
            caller: Caller::new(wire, clock.clone(), tx.clone()),
            settings,
            wire,
            clock,
            counters,
            me,
            view,
            gates,
            gated: None,
            socket,
            tx,
            known: Known::default(),
            heard: Rc::default(),
            heard_operator: None,
            direct: Rc::new(watch::channel(true).0),
            neighbours: watch::channel(Neighbours::default()).0,
            duties: BTreeSet::new(),
            wish: Rc::default(),
            has_joined: false,
            partitions: BTreeMap::new(),
            granting: BTreeMap::new(),
        }
    }

    /// Starts to follow the store, or hosts that do.
    pub(super) fn begin(&mut self) {
        let places = self.wire.places;
        let gate = self.direct.subscribe();
        let once = Duration::ZERO;
        self.follow((places.operator)(), OPERATOR_WAIT, once, gate.clone(), |_, c| {
            Input::Operator(c)
        });
        self.follow((places.servers)(), once, SERVERS_EVERY, gate.clone(), Input::Servers);
        let hosts = Partition { topic: places.hosts.into(), number: 0 };
        self.follow(hosts.clone(), HOSTS_WAIT, HOSTS_EVERY, gate, |_, c| Input::Hosts(c));
        let entry = HostEntry { addr: self.settings.peers, domain: self.settings.domain.clone() };
        spawn_local(announce(self.store.lane(), hosts, self.me.host.clone(), entry));
        spawn_local(feed::run(Feed {
            clock: self.clock.clone(),
            neighbours: self.neighbours.subscribe(),
            direct: self.direct.clone(),
            heard: self.heard.clone(),
            tx: self.tx.clone(),
        }));
    }

    fn follow(
        &self,
        partition: Partition,
        wait: Duration,
        every: Duration,
        gate: watch::Receiver<bool>,
        input: impl Fn(Instant, Changes) -> Input + 'static,
    ) {
        let followed = Followed { partition, wait, every, gate };
        let (store, clock, tx) = (self.store.clone(), self.clock.clone(), self.tx.clone());
        spawn_local(follow::follow(store, followed, clock, tx, input));
    }

    /// Takes an input.
    pub(super) fn on(&mut self, input: Input) {
        match input {
            Input::Operator(changes) => self.on_operator(&changes),
            Input::Servers(asked, changes) => self.on_servers(asked, changes),
            Input::Hosts(changes) => self.on_hosts(&changes),
            Input::Maps { partition, asked, changes } => self.on_maps(partition, asked, changes),
            Input::News(news) => {
                let changed = self.known.take_news(*news, self.clock.now());
                self.on_changed(changed);
            }
            Input::Question(reply) => {
                // The task that asked may have been given up meanwhile.
                let _ = reply.send(self.known.question(feed::WAIT));
            }
            Input::Answer { asked, reply } => {
                // As above.
                let _ = reply.send(self.known.news_for(&asked, self.age()));
            }
            Input::Duties(duties) => self.on_duties(duties),
            Input::Put { service, map, asked, at, result } => {
                self.on_put(&service, map, asked, at, result);
            }
            Input::Checked { partition, asked, unchanged } => {
                self.on_checked(partition, asked, unchanged);
            }
            Input::Granted { service, event } => {
                self.counters.on_grant(&event);
                self.step(&service, event);
            }
            Input::Datagram(message) => self.on_datagram(message),
            Input::Tick => {
                self.step_all(&Event::Tick);
                self.set_gates();
            }
            Input::Dump => tracing::info!(part = "process", event = "dump", state = ?self),
            Input::Stop => {
                self.step_all(&Event::Stop);
                self.wish.leave.set(true);
            }
        }
    }

    /// How old what is known is. A host that reads the store itself must hear of the servers and of the configuration.
    fn age(&self) -> Duration {
        let now = self.clock.now();
        let since =
            |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let hears_operator =
            !*self.direct.borrow() || since(self.heard_operator) < OPERATOR_LOST_AFTER;
        if hears_operator { since(self.heard.get()) } else { since(self.heard_operator) }
    }

    fn on_datagram(&mut self, message: Message) {
        match message {
            Message::Load { from, service, report } => {
                self.step(&service, Event::Load { from, report });
            }
            Message::Gates { gates, .. } => {
                let until = self.clock.now() + GATES_STAND;
                self.gates.send_modify(|known| {
                    known.extend(gates.into_iter().map(|(owner, gate)| (owner, (until, gate))));
                });
            }
        }
    }

    /// Tells all hosts which owners are asked for too much.
    fn set_gates(&mut self) {
        let now = self.clock.now();
        self.gates.send_if_modified(|known| {
            let before = known.len();
            known.retain(|_, (until, _)| now < *until);
            known.len() != before
        });
        if self.gated.is_some_and(|at| now < at + GATES_EVERY) {
            return;
        }
        self.gated = Some(now);
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            let gates = self.find_gates(&service, now);
            for message in Message::gates(&service, &gates) {
                self.tell_hosts(&message);
                self.on_datagram(message);
            }
        }
    }

    fn find_gates(&self, service: &ServiceName, now: Instant) -> BTreeMap<ServerId, Gate> {
        let Some(objective) = self.objective(service) else { return BTreeMap::new() };
        let Some(granting) = self.granting.get(service) else { return BTreeMap::new() };
        let view = GrantView { now, servers: self.known.servers(), settled: true };
        let gates = granting.grantor.gates(view, objective);
        if !gates.is_empty() {
            tracing::debug!(part = "admission", event = "gates", service = %service, gates = ?gates);
        }
        gates
    }

    /// The objective of the least urgent requests of a service: they are the first to be refused.
    fn objective(&self, service: &ServiceName) -> Option<Duration> {
        let cfg = self.known.config()?;
        let routes =
            cfg.routes.iter().filter(|route| route.target.services().any(|s| s == service));
        routes.max_by_key(|route| route.priority).map(|route| route.objective)
    }

    fn tell_hosts(&self, message: &Message) {
        let bytes = message.to_bytes();
        for (host, entry) in self.known.hosts().filter(|(host, _)| **host != self.me.host) {
            // A full send buffer loses the message, as the network may.
            if let Err(err) = self.socket.try_send_to(&bytes, entry.addr) {
                tracing::debug!(part = "peers", event = "gates-not-sent", host = %host, error = ?err);
            }
        }
    }

    fn on_operator(&mut self, changes: &Changes) {
        self.heard_operator = Some(self.clock.now());
        let newest =
            changes.items.iter().rev().find(|item| item.key == self.wire.places.config_key);
        let Some(item) = newest.filter(|item| !item.value.is_empty()) else { return };
        match (self.wire.config)(&item.value) {
            Ok(cfg) => {
                let config = self.known.take_config(cfg);
                self.on_changed(Changed { config, ..Changed::default() });
            }
            Err(err) => {
                tracing::error!(part = "config", event = "unreadable", offset = %item.offset, error = ?err);
            }
        }
    }

    fn on_servers(&mut self, asked: Instant, changes: Changes) {
        let now = self.clock.now();
        self.heard.set(self.heard.get().max(Some(asked)));
        let mut changed = false;
        for item in &changes.items {
            changed |= self.on_server(item, now);
        }
        if changes.whole {
            let listed: Vec<&str> = changes.items.iter().map(|item| item.key.as_str()).collect();
            changed |= self.known.drop_unlisted(&listed, changes.end, now);
        }
        self.known.servers_known_to(changes.end, changed, now);
        self.on_changed(Changed { servers: changed, ..Changed::default() });
    }

    fn on_server(&mut self, item: &Item, now: Instant) -> bool {
        let Ok(id) = item.key.parse::<ServerId>() else {
            tracing::warn!(part = "servers", event = "unreadable-name", server = ?item.key);
            return false;
        };
        if item.value.is_empty() {
            return self.known.take_server(id, item.offset, None, now);
        }
        match (self.wire.server)(&item.key, &item.value) {
            Ok(server) => self.known.take_server(id, item.offset, Some(server), now),
            Err(err) => {
                tracing::warn!(part = "servers", event = "unreadable", server = %id, error = ?err);
                false
            }
        }
    }

    fn on_hosts(&mut self, changes: &Changes) {
        let mut changed = false;
        for item in &changes.items {
            match (item.key.parse::<HostId>(), HostEntry::from_bytes(&item.value)) {
                (Ok(host), Ok(entry)) => changed |= self.known.take_host(host, item.offset, entry),
                _ => tracing::warn!(part = "hosts", event = "unreadable", host = ?item.key),
            }
        }
        self.known.hosts_known_to(changes.end);
        self.on_changed(Changed { hosts: changed, ..Changed::default() });
    }

    /// Makes what is known act.
    fn on_changed(&mut self, changed: Changed) {
        if !changed.any() {
            return;
        }
        self.view.send_replace(Arc::new(self.known.view()));
        if changed.hosts {
            self.neighbours.send_replace(self.order_hosts());
        }
        if changed.config {
            self.meet_services();
        }
        if changed.servers {
            self.step_all(&Event::Tick);
        }
    }

    fn order_hosts(&self) -> Neighbours {
        let mut neighbours = Neighbours::default();
        for (host, entry) in self.known.hosts().filter(|(host, _)| **host != self.me.host) {
            let near = entry.domain == self.settings.domain;
            if near && *host < self.me.host {
                neighbours.before.push((host.clone(), entry.addr));
            }
            neighbours.others.push((host.clone(), entry.addr));
        }
        neighbours
    }

    fn meet_services(&mut self) {
        let Some(cfg) = self.known.config().cloned() else { return };
        let keyed = cfg.services.iter().filter(|(_, service)| service.keyed);
        for (name, _) in keyed {
            self.meet_service(name);
        }
    }

    /// Begins to follow the map of a keyed service, and to take part in granting its keys.
    fn meet_service(&mut self, name: &ServiceName) {
        let number = self.partition_of(name);
        if !self.partitions.contains_key(&number) {
            let partition = Partition { topic: self.wire.places.maps.into(), number };
            let (gate, is_open) = watch::channel(true);
            self.partitions.insert(number, MapPartition::new(self.store.lane(), gate));
            self.follow(partition, MAPS_WAIT, Duration::ZERO, is_open, move |asked, changes| {
                Input::Maps { partition: number, asked, changes }
            });
        }
        if !std::mem::replace(&mut self.has_joined, true) {
            let member = format!("{}:{}", self.me.host, self.me.incarnation);
            let (store, clock, tx) = (self.store.clone(), self.clock.clone(), self.tx.clone());
            let topic = self.wire.places.duties;
            spawn_local(duty::run(store, topic, member, clock, self.wish.clone(), tx));
        }
        if !self.granting.contains_key(name) {
            let grantor = Grantor::new(name.clone(), self.me.clone());
            self.granting.insert(name.clone(), Granting { grantor, leads: Rc::default() });
            let duty = self.duties.contains(&number);
            self.step(name, Event::Duty(duty));
            self.read(name, number, self.clock.now());
        }
    }

    /// The partition of a service's map, and of the duty to grant its keys.
    fn partition_of(&self, service: &ServiceName) -> u32 {
        let hash = KeyHash::of(service.as_str().as_bytes());
        (hash.0 % u64::from(self.settings.partitions.max(1))) as u32
    }

    fn on_duties(&mut self, duties: BTreeSet<u32>) {
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

    fn on_maps(&mut self, number: u32, asked: Instant, changes: Changes) {
        let Some(partition) = self.partitions.get_mut(&number) else { return };
        let newer = partition.take(changes);
        let mut changed = Changed::default();
        for (service, map) in newer {
            changed.maps |= self.known.take_map(service, map);
        }
        self.on_changed(changed);
        self.read_all(number, asked);
    }

    /// Tells the grantors of a partition what its newest records are.
    fn read_all(&mut self, number: u32, asked: Instant) {
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            if self.partition_of(&service) == number {
                self.read(&service, number, asked);
            }
        }
    }

    fn read(&mut self, service: &ServiceName, number: u32, asked: Instant) {
        let partition = self.partitions.get(&number).filter(|partition| partition.read);
        let Some(partition) = partition else { return };
        let map = partition.newest(service).cloned();
        self.step(service, Event::Read { asked, map });
    }

    fn on_checked(&mut self, number: u32, asked: Instant, unchanged: Option<Offset>) {
        let end = self.partitions.get(&number).map(|partition| partition.end);
        // What was found newer comes through the follower.
        if unchanged.is_some() && unchanged == end {
            self.read_all(number, asked);
        }
    }

    fn on_put(
        &mut self,
        service: &ServiceName,
        map: Map,
        asked: Instant,
        at: Offset,
        result: Result<Offset, Error>,
    ) {
        self.counters.on_record(result.as_ref().err());
        match result {
            Ok(end) => {
                let number = self.partition_of(service);
                if let Some(partition) = self.partitions.get_mut(&number) {
                    partition.take_own(service.clone(), at, end, map.clone());
                }
                self.step(service, Event::Recorded { asked });
                let maps = self.known.take_map(service.clone(), map);
                self.on_changed(Changed { maps, ..Changed::default() });
            }
            Err(err) => {
                tracing::info!(part = "maps", event = "not-recorded", service = %service, at = %at, error = %err);
                self.step(service, Event::NotRecorded);
            }
        }
    }

    fn step_all(&mut self, event: &Event) {
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            self.step(&service, event.clone());
        }
        let leading = self.granting.values().filter(|granting| granting.grantor.leads()).count();
        self.counters.leads.record(leading as u64, &[]);
        self.open_gates();
    }

    /// A partition of maps is read by hosts that read the store for others, and by those that may have to write it.
    fn open_gates(&self) {
        let direct = *self.direct.borrow();
        for (number, partition) in &self.partitions {
            let leads = |(service, granting): (&ServiceName, &Granting)| {
                granting.grantor.leads() && self.partition_of(service) == *number
            };
            let wanted = direct || self.duties.contains(number) || self.granting.iter().any(leads);
            partition.gate.send_if_modified(|open| std::mem::replace(open, wanted) != wanted);
        }
    }

    fn step(&mut self, service: &ServiceName, event: Event) {
        let now = self.clock.now();
        let unchanged = self.known.servers_changed().map(|at| now.saturating_duration_since(at));
        let settled = unchanged.is_some_and(|since| since >= SETTLED_AFTER);
        let Some(granting) = self.granting.get_mut(service) else { return };
        let led = granting.grantor.leads();
        let view = GrantView { now, servers: self.known.servers(), settled };
        let orders = granting.grantor.step(view, event);
        let leads = granting.grantor.leads();
        let epoch = granting.grantor.map().map(|map| map.epoch);
        granting.leads.set(epoch.filter(|_| leads));
        if led != leads {
            tracing::info!(part = "grant", event = "leads", service = %service, leads = %leads, epoch = ?epoch);
        }
        if led && !leads {
            self.caller.keep_only(&[]);
        }
        for order in orders {
            self.carry_out(service, order);
        }
    }

    fn carry_out(&mut self, service: &ServiceName, order: Order) {
        let number = self.partition_of(service);
        match order {
            Order::Record(map) => self.put(service, number, map),
            Order::Check => self.check(number),
            Order::Grant { to, calls, until } => {
                let Some(granting) = self.granting.get(service) else { return };
                let Some(epoch) = granting.leads.get() else { return };
                let leads = granting.leads.clone();
                self.caller.grant(service.clone(), to, calls, until, epoch, leads);
            }
            Order::Release { from, range, token } => {
                self.caller.release(service.clone(), from, range, token);
            }
            Order::Resign => {
                tracing::warn!(part = "duty", event = "resigned", service = %service, why = "most-owners-unreachable");
                self.wish.rest_until.set(Some(self.clock.now() + REST));
            }
        }
    }

    fn put(&self, service: &ServiceName, number: u32, map: Map) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let (lane, at) = (partition.lane.clone(), partition.end);
        let (service, value) = (service.clone(), Bytes::from(map.to_bytes()));
        tracing::info!(part = "maps", event = "record", service = %service, epoch = %map.epoch, version = %map.version, at = %at, ranges = %map.held().len(), bytes = %value.len());
        let to = Partition { topic: self.wire.places.maps.into(), number };
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        spawn_local(async move {
            let asked = clock.now();
            let call = Call::Put { to, key: service.to_string(), value, only_at: Some(at) };
            let result = match lane.call(&call).await {
                Ok(Reply::Kept(end)) => Ok(end),
                Ok(_) => Err(Error::Malformed("not the answer to an append".into())),
                Err(err) => Err(err),
            };
            if tx.send(Input::Put { service, map, asked, at, result }).is_err() {
                tracing::debug!(part = "maps", event = "stopped-meanwhile");
            }
        });
    }

    fn check(&self, number: u32) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let (lane, at) = (partition.lane.clone(), partition.end);
        let from = Partition { topic: self.wire.places.maps.into(), number };
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        spawn_local(async move {
            let asked = clock.now();
            let unchanged = match follow::is_unchanged(&lane, from, at).await {
                Ok(unchanged) => unchanged.then_some(at),
                Err(err) => {
                    tracing::info!(part = "maps", event = "not-confirmed", error = %err);
                    None
                }
            };
            if tx.send(Input::Checked { partition: number, asked, unchanged }).is_err() {
                tracing::debug!(part = "maps", event = "stopped-meanwhile");
            }
        });
    }
}

/// Says in the store where this host is, until that is kept.
async fn announce(lane: Lane, to: Partition, host: HostId, entry: HostEntry) {
    let mut backoff = jacinthbeam_store::Backoff::new(Duration::from_millis(200), REST);
    let value = Bytes::from(entry.to_bytes());
    let call = Call::Put { to, key: host.to_string(), value, only_at: None };
    while let Err(err) = lane.call(&call).await {
        tracing::info!(part = "hosts", event = "not-announced", error = %err);
        tokio::time::sleep(backoff.pause()).await;
    }
}
