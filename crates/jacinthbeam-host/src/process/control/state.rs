//! What the control thread does about each input.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam_crash::{Exchange, cases::Position};
use jacinthbeam_range::{Event, Grantor, Leader};
use jacinthbeam_store::{Client, Observer, Partition};
use jacinthbeam_types::prelude::*;
use tokio::{net::UdpSocket, sync::watch, task::spawn_local};

use super::{
    Start,
    across::{self, Across},
    ask::Asker,
    calls::{Caller, Leads},
    crashes::{self, EVIDENCE_PREFIX, Recorder},
    duty,
    enlist::{self, Enlist},
    feed::{self, Feed},
    follow::{self, Followed, HOSTS_EVERY, HOSTS_WAIT, OPERATOR_WAIT, Read, SERVERS_EVERY},
    heard::Heard,
    input::{Input, Tx},
    maps::MapPartition,
    unreadable::Unreadable,
};
use crate::{
    Settings, Wire,
    process::{
        inbox::InputKind,
        membership::Standby,
        metrics::Counters,
        peers::{HostEntry, order::Neighbours},
        reach::StoreReachability,
        replica::{Changed, StoreReplica},
        traffic::Gates,
        usage,
    },
    version::{ColdServer, KnownTo, View},
};

/// A grantor and what goes with it.
#[derive(Debug)]
pub(super) struct Granting {
    pub(super) grantor: Grantor,
    pub(super) leads: Leads,
    /// When this host last told the others that it grants.
    pub(super) told: Option<Instant>,
}

/// State of the control thread.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) settings: Settings,
    pub(super) wire: Wire,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) counters: Arc<Counters>,
    pub(super) me: Leader,
    pub(super) view: watch::Sender<Arc<View>>,
    /// How far the view reaches.
    pub(super) known_to: watch::Sender<KnownTo>,
    pub(super) gates: watch::Sender<Gates>,
    /// When gates were last told.
    pub(super) gated: Option<Instant>,
    /// When ages and owners were last noted for the metrics.
    pub(super) noted: Option<Instant>,
    /// Datagrams to other hosts go out here.
    pub(super) socket: Rc<UdpSocket>,
    pub(super) tx: Tx,
    pub(super) store: Client,
    pub(super) caller: Caller,
    pub(super) known: StoreReplica,
    /// Cold servers, and whether this host is drawn as a sender of each among the hosts that it knows.
    pub(super) drawn: BTreeMap<ServerId, ColdServer>,
    /// Evidence of requests that crash servers.
    pub(super) crashes: Exchange,
    /// What other hosts and the store have of it.
    pub(super) crashes_told: crashes::SyncState,
    /// What the store has to hold of these facts.
    pub(super) evidence: watch::Sender<Bytes>,
    /// Whether the list of hosts was read from the store in this life, and the evidence beside it.
    pub(super) has_read_hosts: bool,
    /// How far other hosts have to be told without waiting for the next question.
    pub(super) to_tell: watch::Sender<Position>,
    /// When this host last heard of the store, by itself or through others.
    pub(super) heard: Rc<Heard>,
    /// Whether this host asks the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
    /// `None` until the list of hosts is known.
    pub(super) neighbours: watch::Sender<Option<Neighbours>>,
    pub(super) duties: BTreeSet<u32>,
    pub(super) wish: Rc<duty::Wish>,
    /// Whether this host takes duties, or leaves them to hosts with more processor.
    pub(super) standby: Standby,
    pub(super) has_joined: bool,
    pub(super) partitions: BTreeMap<u32, MapPartition>,
    pub(super) granting: BTreeMap<ServiceName, Granting>,
    /// Services of which keys were released since their grantors last looked at everything.
    pub(super) released: BTreeSet<ServiceName>,
    /// When the word came that the process is about to stop.
    pub(super) stopping: Option<Instant>,
    /// Whether the store answers this host.
    pub(super) reach: Rc<StoreReachability>,
    /// Records of the store that can't be read.
    pub(super) unreadable: Unreadable,
}

impl Control {
    pub(super) fn new(start: Start, tx: Tx, socket: Rc<UdpSocket>) -> Self {
        let Start { settings, wire, clock, counters, incarnation, view, known_to, gates, .. } =
            start;
        let me = Leader { host: settings.host.clone(), incarnation, addr: settings.peers };
        let standby = Standby::new(clock.now());
        Self {
            standby,
            store: open_store(&settings, wire, clock.clone(), counters.clone()),
            caller: Caller::new(wire, clock.clone(), tx.clone()),
            settings,
            wire,
            clock,
            counters,
            me: me.clone(),
            view,
            known_to,
            gates,
            gated: None,
            noted: None,
            socket,
            tx,
            known: StoreReplica::default(),
            drawn: BTreeMap::new(),
            crashes: Exchange::new(me.host.clone(), incarnation),
            crashes_told: crashes::SyncState::default(),
            evidence: watch::channel(Bytes::new()).0,
            has_read_hosts: false,
            to_tell: watch::channel(Position::default()).0,
            heard: Rc::default(),
            direct: Rc::new(watch::channel(false).0),
            neighbours: watch::channel(None).0,
            duties: BTreeSet::new(),
            wish: Rc::default(),
            has_joined: false,
            partitions: BTreeMap::new(),
            granting: BTreeMap::new(),
            released: BTreeSet::new(),
            stopping: None,
            reach: Rc::default(),
            unreadable: Unreadable::default(),
        }
    }

    /// Starts to follow the store, or hosts that do.
    pub(super) fn begin(&mut self) {
        let places = self.wire.places;
        let gate = self.direct.subscribe();
        let once = Duration::ZERO;
        self.follow((places.operator)(), OPERATOR_WAIT, once, gate.clone(), |read| {
            Input::Operator(read.as_of(), read.changes)
        });
        self.follow((places.servers)(), once, SERVERS_EVERY, gate.clone(), |read| {
            Input::Servers(read.asked, read.changes)
        });
        let hosts = Partition { topic: places.hosts.into(), number: 0 };
        self.follow(hosts.clone(), HOSTS_WAIT, HOSTS_EVERY, gate, |read| {
            Input::Hosts(read.changes)
        });
        spawn_local(enlist::run(Enlist {
            lane: self.store.lane(),
            list: hosts.clone(),
            host: self.me.host.clone(),
            entry: self.entry(),
            tx: self.tx.clone(),
        }));
        let recorder = Recorder {
            lane: self.store.lane(),
            to: hosts,
            key: format!("{EVIDENCE_PREFIX}{}", self.me.host),
            evidence: self.evidence.subscribe(),
        };
        spawn_local(recorder.run());
        let asker = Asker {
            clock: self.clock.clone(),
            to_tell: self.to_tell.subscribe(),
            tx: self.tx.clone(),
        };
        spawn_local(across::run(Across {
            asker: asker.clone(),
            neighbours: self.neighbours.subscribe(),
            direct: self.direct.clone(),
        }));
        spawn_local(feed::run(Feed {
            asker,
            neighbours: self.neighbours.subscribe(),
            seeds: self.settings.seeds.clone(),
            direct: self.direct.clone(),
            heard: self.heard.clone(),
        }));
    }

    /// What this host says of itself in the list of hosts.
    pub(super) fn entry(&self) -> HostEntry {
        HostEntry {
            addr: self.settings.peers,
            domain: self.settings.domain.clone(),
            processor: self.settings.processor,
        }
    }

    /// Records what this process counts against teams.
    pub(super) fn recorder(&self, counted: usage::Counted) -> usage::Recorder {
        usage::Recorder {
            lane: self.store.lane(),
            to: Partition { topic: self.wire.places.usage.into(), number: 0 },
            key: format!("{}:{}", self.me.host, self.me.incarnation),
            counted,
            recorded: usage::Usage::default(),
        }
    }

    pub(super) fn follow(
        &self,
        partition: Partition,
        wait: Duration,
        every: Duration,
        gate: watch::Receiver<bool>,
        input: impl Fn(Read) -> Input + 'static,
    ) {
        let followed = Followed { partition, wait, every, gate };
        let (store, reach) = (self.store.clone(), self.reach.clone());
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        spawn_local(follow::follow(store, reach, followed, clock, tx, input));
    }

    /// Takes an input.
    pub(super) fn on(&mut self, input: Input) {
        match input {
            Input::Operator(as_of, changes) => self.on_operator(as_of, &changes),
            Input::Servers(asked, changes) => self.on_servers(asked, changes),
            Input::Hosts(changes) => self.on_hosts(&changes),
            Input::Maps { partition, asked, changes } => self.on_maps(partition, asked, changes),
            Input::News { of, topic, answered, news } => self.on_news(of, topic, answered, *news),
            Input::Question { of, topic, reply } => {
                // The task that asked may have been given up meanwhile.
                let _ = reply.send(self.question(of, topic));
            }
            Input::Answer { asked, reply } => {
                // As above.
                let _ = reply.send(self.answer(&asked));
            }
            Input::Crash(fact) => self.on_crash(fact),
            Input::Duties(duties) => self.on_duties(duties),
            Input::Put { service, map, asked, at, result } => {
                self.on_put(&service, map, asked, at, result);
            }
            Input::Granted { service, event } => {
                self.counters.on_grant(&event);
                let is_release = matches!(event, Event::Released { .. });
                self.step(&service, event);
                if is_release {
                    self.released.insert(service);
                }
            }
            Input::Datagram(message) => self.on_datagram(message),
            Input::Tick => {
                self.tell_known_to();
                if self.known.expire_cold_servers(self.clock.now()) {
                    self.on_changed(Changed { servers: true, ..Changed::default() });
                }
                self.stand_by();
                self.step_all(&Event::Tick);
                self.set_gates();
            }
            Input::Dump(reply) => {
                // Whoever asked may have left.
                let _ = reply.send(format!("{self:#?}"));
            }
            Input::Stop => {
                self.stopping = Some(self.clock.now());
                self.step_all(&Event::Stop);
                self.wish.leave.set(true);
            }
        }
    }

    /// Goes on with what one look serves for, after all inputs that came together: keys that were released, and facts to tell.
    pub(super) fn go_on(&mut self) {
        for service in std::mem::take(&mut self.released) {
            self.step(&service, Event::Tick);
        }
        self.tell_crashes();
    }

    /// Notes how long an input has waited for this thread.
    pub(super) fn note_wait(&self, input: &Input, since: Instant) {
        let waited = self.clock.now().saturating_duration_since(since);
        self.counters.on_control_wait(input.kind() == InputKind::StoreState, waited);
    }
}

fn open_store(
    settings: &Settings,
    wire: Wire,
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
) -> Client {
    let observer = Observer::new(move |call, err| counters.on_store_call(call, err));
    Client::open(settings.store, wire.store, clock).observed(observer)
}
