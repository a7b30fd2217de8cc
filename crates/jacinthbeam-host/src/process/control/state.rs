//! What the control thread knows, and what it does about each input.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam_range::{
    Event, Grantor, Leader, Map, Order,
    grantor::{View as GrantView, timing::REST},
};
use jacinthbeam_route::{Config, Servers};
use jacinthbeam_store::{Call, Client, Error, Item, Lane, Partition, Reply, keyed::Changes};
use jacinthbeam_types::prelude::*;
use tokio::{sync::watch, task::spawn_local};

use super::{
    calls::{Caller, Leads},
    duty,
    follow::{self, Followed, HOSTS_EVERY, LONG_POLL, SERVERS_EVERY},
    input::{Input, Tx},
};
use crate::{Settings, Wire, process::metrics::Counters, version::View};

/// The list of backend servers counts as settled when it has not changed for this long: they all start within a second.
const SETTLED_AFTER: Duration = Duration::from_millis(1500);

/// A server that has left the list is remembered for this long, which is longer than any use of its having left.
const LEFT_FOR: Duration = Duration::from_secs(30);

/// One partition of the ownership maps.
#[derive(Debug)]
struct MapPartition {
    /// Everything before this offset is known.
    end: Offset,
    /// Offset and map of each service's newest record.
    newest: BTreeMap<ServiceName, (Offset, Map)>,
    /// Connection for appends and checks, one call at a time.
    lane: Rc<Lane>,
}

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
    tx: Tx,
    store: Client,
    caller: Caller,
    config: Option<Arc<Config>>,
    servers: Servers,
    /// When the list last changed; `None` until it was read.
    servers_changed: Option<Instant>,
    leaving: BTreeMap<ServerId, Instant>,
    hosts: BTreeSet<String>,
    duties: BTreeSet<u32>,
    wish: Rc<duty::Wish>,
    has_joined: bool,
    followed: BTreeSet<u32>,
    partitions: BTreeMap<u32, MapPartition>,
    granting: BTreeMap<ServiceName, Granting>,
}

impl Control {
    pub(super) fn new(
        settings: Settings,
        wire: Wire,
        clock: Arc<dyn Clock>,
        counters: Arc<Counters>,
        incarnation: Incarnation,
        view: watch::Sender<Arc<View>>,
        tx: Tx,
    ) -> Self {
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
            tx,
            config: None,
            servers: Servers::default(),
            servers_changed: None,
            leaving: BTreeMap::new(),
            hosts: BTreeSet::new(),
            duties: BTreeSet::new(),
            wish: Rc::default(),
            has_joined: false,
            followed: BTreeSet::new(),
            partitions: BTreeMap::new(),
            granting: BTreeMap::new(),
        }
    }

    /// Starts to follow the store.
    pub(super) fn begin(&mut self) {
        let places = self.wire.places;
        self.follow((places.operator)(), LONG_POLL, Duration::ZERO, |_, c| Input::Operator(c));
        self.follow((places.servers)(), Duration::ZERO, SERVERS_EVERY, |_, c| Input::Servers(c));
        let hosts = Partition { topic: places.hosts.into(), number: 0 };
        self.follow(hosts.clone(), LONG_POLL, HOSTS_EVERY, |_, c| Input::Hosts(c));
        spawn_local(announce(self.store.lane(), hosts, self.me.clone()));
    }

    fn follow(
        &self,
        partition: Partition,
        wait: Duration,
        every: Duration,
        input: impl Fn(Instant, Changes) -> Input + 'static,
    ) {
        let followed = Followed { partition, wait, every };
        let (store, clock, tx) = (self.store.clone(), self.clock.clone(), self.tx.clone());
        spawn_local(follow::follow(store, followed, clock, tx, input));
    }

    /// Takes an input.
    pub(super) fn on(&mut self, input: Input) {
        match input {
            Input::Operator(changes) => self.on_operator(&changes),
            Input::Servers(changes) => self.on_servers(&changes),
            Input::Hosts(changes) => self.on_hosts(&changes),
            Input::Maps { partition, asked, changes } => self.on_maps(partition, asked, changes),
            Input::Duties(duties) => self.on_duties(duties),
            Input::Put { service, bytes, asked, at, result } => {
                self.on_put(&service, &bytes, asked, at, result);
            }
            Input::Checked { partition, asked, unchanged } => {
                self.on_checked(partition, asked, unchanged);
            }
            Input::Granted { service, server, outcome, last_call, confirmed, refused } => {
                let event = Event::Granted { server, outcome, last_call, confirmed, refused };
                self.step(&service, event);
            }
            Input::Released { service, range, token, handover } => {
                self.step(&service, Event::Released { range, token, handover });
            }
            Input::Load { service, report } => self.step(&service, Event::Load(report)),
            Input::Tick => self.step_all(&Event::Tick),
            Input::Dump => log::info!("process: event=dump state={self:?}"),
            Input::Stop => {
                self.step_all(&Event::Stop);
                self.wish.leave.set(true);
            }
        }
    }

    fn on_operator(&mut self, changes: &Changes) {
        let newest =
            changes.items.iter().rev().find(|item| item.key == self.wire.places.config_key);
        let Some(item) = newest.filter(|item| !item.value.is_empty()) else { return };
        match (self.wire.config)(&item.value) {
            Ok(cfg) => self.on_config(cfg),
            Err(err) => {
                log::error!("config: event=unreadable offset={} error={err:?}", item.offset);
            }
        }
    }

    fn on_config(&mut self, cfg: Config) {
        let known = self.config.as_ref().map(|cfg| cfg.version);
        if known.is_some_and(|known| cfg.version <= known) {
            return;
        }
        if let Err(err) = cfg.check() {
            log::error!(
                "config: event=refused version={} error={:?}",
                cfg.version,
                err.to_string()
            );
            return;
        }
        log::info!("config: event=in-force version={} before={known:?}", cfg.version);
        let cfg = Arc::new(cfg);
        self.config = Some(cfg.clone());
        self.publish();
        let keyed = cfg.services.iter().filter(|(_, service)| service.keyed);
        for (name, _) in keyed {
            self.meet_service(name);
        }
    }

    /// Begins to follow the map of a keyed service, and to take part in granting its keys.
    fn meet_service(&mut self, name: &ServiceName) {
        let number = self.partition_of(name);
        if self.followed.insert(number) {
            let partition = Partition { topic: self.wire.places.maps.into(), number };
            self.follow(partition, LONG_POLL, Duration::ZERO, move |asked, changes| Input::Maps {
                partition: number,
                asked,
                changes,
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

    fn on_servers(&mut self, changes: &Changes) {
        let now = self.clock.now();
        let mut changed = self.servers_changed.is_none();
        for item in &changes.items {
            changed |= self.on_server(item, now);
        }
        for id in &changes.gone {
            changed |= self.on_server_gone(id, now);
        }
        self.leaving.retain(|_, since| now.saturating_duration_since(*since) < LEFT_FOR);
        if changed {
            self.servers_changed = Some(now);
            self.publish();
            self.step_all(&Event::Tick);
        }
    }

    fn on_server(&mut self, item: &Item, now: Instant) -> bool {
        if item.value.is_empty() {
            return self.on_server_gone(&item.key, now);
        }
        let server = match (self.wire.server)(&item.key, &item.value) {
            Ok(server) => server,
            Err(err) => {
                log::warn!("servers: event=unreadable server={} error={err:?}", item.key);
                return false;
            }
        };
        match (server.draining, self.leaving.contains_key(&server.id)) {
            (true, false) => {
                log::info!(
                    "servers: event=draining server={} service={}",
                    server.id,
                    server.service
                );
                self.leaving.insert(server.id.clone(), now);
            }
            // An entry that had lapsed is back: the server lives and goes on.
            (false, true) => drop(self.leaving.remove(&server.id)),
            _ => {}
        }
        let new = self.servers.get(&server.id).is_none();
        if new {
            log::info!(
                "servers: event=joined server={} service={} addr={} domain={} slots={}",
                server.id,
                server.service,
                server.addr,
                server.domain,
                server.slots,
            );
        }
        self.servers.insert(server)
    }

    fn on_server_gone(&mut self, id: &str, now: Instant) -> bool {
        let Ok(id) = id.parse::<ServerId>() else { return false };
        let was_there = self.servers.remove(&id);
        if was_there {
            log::info!("servers: event=gone server={id}");
            self.leaving.entry(id).or_insert(now);
        }
        was_there
    }

    fn on_hosts(&mut self, changes: &Changes) {
        self.hosts.extend(changes.items.iter().map(|item| item.key.clone()));
        self.publish();
    }

    fn on_duties(&mut self, duties: BTreeSet<u32>) {
        if duties == self.duties {
            return;
        }
        log::info!("duty: event=dealt duties={duties:?}");
        self.duties = duties;
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            let duty = self.duties.contains(&self.partition_of(&service));
            self.step(&service, Event::Duty(duty));
        }
    }

    fn on_maps(&mut self, number: u32, asked: Instant, changes: Changes) {
        let lane = || Rc::new(self.store.lane());
        let new = || MapPartition { end: Offset(0), newest: BTreeMap::new(), lane: lane() };
        let partition = self.partitions.entry(number).or_insert_with(new);
        partition.end = partition.end.max(changes.end);
        for item in changes.items {
            match (item.key.parse::<ServiceName>(), Map::from_bytes(&item.value)) {
                (Ok(service), Ok(map)) => {
                    let known = partition.newest.get(&service);
                    if known.is_none_or(|(offset, _)| *offset < item.offset) {
                        partition.newest.insert(service, (item.offset, map));
                    }
                }
                (Err(err), _) => log::error!("maps: event=unreadable-name error={err}"),
                (_, Err(err)) => {
                    log::error!("maps: event=unreadable service={} error={err}", item.key)
                }
            }
        }
        self.publish();
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
        let Some(partition) = self.partitions.get(&number) else { return };
        let map = partition.newest.get(service).map(|(_, map)| map.clone());
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
        bytes: &Bytes,
        asked: Instant,
        at: Offset,
        result: Result<Offset, Error>,
    ) {
        let number = self.partition_of(service);
        match result {
            Ok(end) => {
                if let (Some(partition), Ok(map)) =
                    (self.partitions.get_mut(&number), Map::from_bytes(bytes))
                {
                    partition.end = partition.end.max(end);
                    partition.newest.insert(service.clone(), (at, map));
                }
                self.step(service, Event::Recorded { asked });
                self.publish();
            }
            Err(err) => {
                log::info!("maps: event=not-recorded service={service} at={at} error={err}");
                self.step(service, Event::NotRecorded);
            }
        }
    }

    fn publish(&mut self) {
        let newest = self.partitions.values().flat_map(|partition| &partition.newest);
        let known = self.view.borrow().maps.clone();
        let maps = newest.map(|(service, (_, map))| {
            let kept = known.get(service).filter(|known| ***known == *map);
            (service.clone(), kept.cloned().unwrap_or_else(|| Arc::new(map.clone())))
        });
        let view = View {
            config: self.config.clone(),
            servers: Arc::new(self.servers.clone()),
            leaving: Arc::new(self.leaving.clone()),
            maps: maps.collect(),
            hosts: self.hosts.len() as u32,
        };
        self.view.send_replace(Arc::new(view));
    }

    fn step_all(&mut self, event: &Event) {
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            self.step(&service, event.clone());
        }
        let leading = self.granting.values().filter(|granting| granting.grantor.leads()).count();
        self.counters.leads.record(leading as u64, &[]);
    }

    fn step(&mut self, service: &ServiceName, event: Event) {
        let now = self.clock.now();
        let settled = self
            .servers_changed
            .is_some_and(|at| now.saturating_duration_since(at) >= SETTLED_AFTER);
        let Some(granting) = self.granting.get_mut(service) else { return };
        let led = granting.grantor.leads();
        let orders =
            granting.grantor.step(GrantView { now, servers: &self.servers, settled }, event);
        let leads = granting.grantor.leads();
        let epoch = granting.grantor.map().map(|map| map.epoch);
        granting.leads.set(epoch.filter(|_| leads));
        if led != leads {
            log::info!("grant: event=leads service={service} leads={leads} epoch={epoch:?}");
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
            Order::Record(map) => self.put(service, number, &map),
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
                log::warn!("duty: event=resigned service={service} why=most-owners-unreachable");
                self.wish.rest_until.set(Some(self.clock.now() + REST));
            }
        }
    }

    fn put(&self, service: &ServiceName, number: u32, map: &Map) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let (lane, at) = (partition.lane.clone(), partition.end);
        let (service, bytes) = (service.clone(), Bytes::from(map.to_bytes()));
        log::info!(
            "maps: event=record service={service} epoch={} version={} at={at} ranges={} bytes={}",
            map.epoch,
            map.version,
            map.held().len(),
            bytes.len(),
        );
        let to = Partition { topic: self.wire.places.maps.into(), number };
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        spawn_local(async move {
            let asked = clock.now();
            let (key, value) = (service.as_str().to_owned(), bytes.clone());
            let call = Call::Put { to, key, value, only_at: Some(at) };
            let result = match lane.call(&call).await {
                Ok(Reply::Kept(end)) => Ok(end),
                Ok(_) => Err(Error::Malformed("not the answer to an append".into())),
                Err(err) => Err(err),
            };
            if tx.send(Input::Put { service, bytes, asked, at, result }).is_err() {
                log::debug!("maps: event=stopped-meanwhile");
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
                    log::info!("maps: event=not-confirmed error={err}");
                    None
                }
            };
            if tx.send(Input::Checked { partition: number, asked, unchanged }).is_err() {
                log::debug!("maps: event=stopped-meanwhile");
            }
        });
    }
}

/// Says in the store that this host is there, until it is kept.
async fn announce(lane: Lane, to: Partition, me: Leader) {
    let mut backoff = jacinthbeam_store::Backoff::new(Duration::from_millis(200), REST);
    let value = Bytes::from(me.addr.to_string());
    let call = Call::Put { to, key: me.host.to_string(), value, only_at: None };
    while let Err(err) = lane.call(&call).await {
        log::info!("hosts: event=not-announced error={err}");
        tokio::time::sleep(backoff.pause()).await;
    }
}
