//! The state of the control thread, and the dispatch of its inputs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam_crash::{Exchange, cases::LogPosition};
use jacinthbeam_range::{Event, Grantor, Leader};
use jacinthbeam_store::{Client, Observer, Partition};
use jacinthbeam_types::prelude::*;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    task::spawn_local,
};

use super::{
    Start,
    calls::{GrantClient, LeadEpoch},
    contact::StoreContact,
    crashes::{self, EVIDENCE_PREFIX, Recorder},
    cross_domain::{self, CrossDomain},
    duty,
    enrolment::Enroller,
    feed::{self, Feed},
    follow::{
        self, FollowOptions, HOSTS_MAX_WAIT, HOSTS_READ_INTERVAL, OPERATOR_MAX_WAIT, Read,
        SERVERS_READ_INTERVAL,
    },
    input::{Input, Tx},
    loads::LoadExchange,
    maps::MapPartition,
    permits::Permits,
    registration::{self, Registration},
    restore,
    unreadable::Unreadable,
    update_client::UpdateClient,
};
use crate::{
    Settings, Wire,
    process::{
        credits::Incoming,
        inbox::InputKind,
        membership::Standby,
        metrics::Counters,
        peers::{HostEntry, order::Neighbours},
        reach::StoreReachability,
        replica::{Changed, StoreReplica},
        service_loads::ServiceLoads,
        traffic::Gates,
        usage,
    },
    request::forward::Peer,
    version::{ColdServer, Freshness, View},
};

/// Shortest interval between two updates of the list for servers that have become warm. While thousands of servers start, some do so at each
/// tick, and each update copies the list.
const COLD_EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The grantor of one service and the state beside it.
#[derive(Debug)]
pub(super) struct Granting {
    pub(super) grantor: Grantor,
    pub(super) lead_epoch: LeadEpoch,
    /// When this host last broadcast gates or a heartbeat for the service.
    pub(super) broadcast: Option<Instant>,
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
    /// How fresh the view is.
    pub(super) freshness: watch::Sender<Freshness>,
    pub(super) gates: watch::Sender<Gates>,
    /// What the collectors have sent about the load of services.
    pub(super) loads: watch::Sender<Arc<ServiceLoads>>,
    /// The exchange of the load of services.
    pub(super) load_exchange: LoadExchange,
    /// When gates were last published.
    pub(super) gates_published: Option<Instant>,
    /// When ages and owners were last recorded in the metrics.
    pub(super) metrics_recorded: Option<Instant>,
    /// Sends datagrams to other hosts.
    pub(super) socket: Rc<UdpSocket>,
    pub(super) tx: Tx,
    pub(super) store: Client,
    pub(super) grant_client: GrantClient,
    pub(super) replica: StoreReplica,
    /// Cold servers, and whether this host is selected as a sender to each among the known hosts.
    pub(super) cold_assignments: BTreeMap<ServerId, ColdServer>,
    /// When servers were last listed as warm.
    pub(super) cold_expired: Option<Instant>,
    /// Receives messages of other hosts about retry budgets.
    pub(super) credits: mpsc::Sender<Incoming>,
    /// Permits for servers that state a rate limit.
    pub(super) permits: Permits,
    /// Crash evidence against requests.
    pub(super) crashes: Exchange,
    /// Progress of publishing and recording it.
    pub(super) crash_sync: crashes::SyncState,
    /// The evidence record that the store should hold.
    pub(super) evidence: watch::Sender<Bytes>,
    /// Whether this process has read the list of hosts from the store, and the evidence in the same partition.
    pub(super) has_read_hosts: bool,
    /// Entries of hosts that follow this one, to be written to the list of hosts.
    pub(super) enrolments: mpsc::UnboundedSender<(HostId, HostEntry)>,
    /// Address of the host that sent the latest update of the store's data.
    pub(super) last_source: Option<SocketAddr>,
    /// Log position up to which crash facts are to be sent to other hosts without waiting for the next request.
    pub(super) push_end: watch::Sender<LogPosition>,
    /// How recent this host's knowledge of the store is.
    pub(super) contact: Rc<StoreContact>,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
    /// `None` until the list of hosts is known.
    pub(super) neighbours: watch::Sender<Option<Neighbours>>,
    pub(super) duties: BTreeSet<u32>,
    pub(super) duty_request: Rc<duty::DutyRequest>,
    /// Decides whether this host leaves duties to hosts with more processor.
    pub(super) standby: Standby,
    /// When that was last decided.
    pub(super) standby_updated: Option<Instant>,
    pub(super) has_joined: bool,
    pub(super) partitions: BTreeMap<u32, MapPartition>,
    pub(super) granting: BTreeMap<ServiceName, Granting>,
    /// Services with keys released in this batch of inputs, whose grantors need a tick.
    pub(super) released: BTreeSet<ServiceName>,
    /// Whether this host is partitioned from all backend servers.
    pub(super) partitioned: watch::Receiver<bool>,
    /// The other hosts, in the order in which this one prefers them as helpers.
    pub(super) peers: watch::Sender<Arc<Vec<Peer>>>,
    /// When the process began to stop.
    pub(super) stopping: Option<Instant>,
    /// Whether the store answers this host's reads.
    pub(super) reach: Rc<StoreReachability>,
    /// Unreadable records that were logged.
    pub(super) unreadable: Unreadable,
}

impl Control {
    pub(super) fn new(start: Start, tx: Tx, socket: Rc<UdpSocket>) -> Self {
        let Start { settings, wire, clock, dialer, counters, incarnation, .. } = start;
        let Start { view, freshness, gates, loads, partitioned, peers, credits, .. } = start;
        let me = Leader { host: settings.host.clone(), incarnation, addr: settings.peers };
        let now = clock.now();
        let standby = Standby::new(now);
        Self {
            standby,
            store: open_store(&settings, wire, clock.clone(), counters.clone()),
            grant_client: GrantClient::new(wire, clock.clone(), dialer, tx.clone()),
            settings,
            wire,
            clock,
            counters,
            me: me.clone(),
            view,
            freshness,
            gates,
            loads,
            load_exchange: LoadExchange::default(),
            gates_published: None,
            metrics_recorded: None,
            socket,
            tx,
            replica: StoreReplica::default(),
            cold_assignments: BTreeMap::new(),
            cold_expired: None,
            credits,
            permits: Permits::new(now),
            crashes: Exchange::new(me.host.clone(), incarnation),
            crash_sync: crashes::SyncState::default(),
            evidence: watch::channel(Bytes::new()).0,
            has_read_hosts: false,
            enrolments: mpsc::unbounded_channel().0,
            last_source: None,
            push_end: watch::channel(LogPosition::default()).0,
            contact: Rc::default(),
            direct: Rc::new(watch::channel(false).0),
            neighbours: watch::channel(None).0,
            duties: BTreeSet::new(),
            duty_request: Rc::default(),
            standby_updated: None,
            has_joined: false,
            partitions: BTreeMap::new(),
            granting: BTreeMap::new(),
            released: BTreeSet::new(),
            partitioned,
            peers,
            stopping: None,
            reach: Rc::default(),
            unreadable: Unreadable::default(),
        }
    }

    /// Starts the tasks that read the store or poll other hosts, and that register this host.
    pub(super) fn start_tasks(&mut self) {
        let store_layout = self.wire.store_layout;
        let enabled = self.direct.subscribe();
        let (no_wait, no_pause) = (Duration::ZERO, Duration::ZERO);
        self.follow(
            (store_layout.operator)(),
            OPERATOR_MAX_WAIT,
            no_pause,
            enabled.clone(),
            |read| Input::Operator(read.as_of(), read.changes),
        );
        self.follow(
            (store_layout.servers)(),
            no_wait,
            SERVERS_READ_INTERVAL,
            enabled.clone(),
            |read| Input::Servers(read.sent_at, read.changes),
        );
        let hosts = Partition { topic: store_layout.hosts.into(), number: 0 };
        self.follow(hosts.clone(), HOSTS_MAX_WAIT, HOSTS_READ_INTERVAL, enabled, |read| {
            Input::Hosts(read.changes)
        });
        spawn_local(registration::run(Registration {
            lane: self.store.lane(),
            relays: Partition { topic: store_layout.relays.into(), number: 0 },
            hosts: hosts.clone(),
            host: self.me.host.clone(),
            entry: HostEntry { relay: true, ..self.entry() },
            processor: self.settings.processor,
            first_start: self.settings.first_start,
            direct: self.direct.clone(),
            tx: self.tx.clone(),
        }));
        spawn_local(restore::watch(self.store.lane(), self.tx.clone()));
        let (enrolments, entries) = mpsc::unbounded_channel();
        self.enrolments = enrolments;
        let (lane, clock) = (self.store.lane(), self.clock.clone());
        spawn_local(Enroller { lane, to: hosts.clone(), entries, clock }.run());
        let recorder = Recorder {
            lane: self.store.lane(),
            to: hosts,
            key: format!("{EVIDENCE_PREFIX}{}", self.me.host),
            evidence: self.evidence.subscribe(),
        };
        spawn_local(recorder.run());
        let client = UpdateClient {
            clock: self.clock.clone(),
            push_end: self.push_end.subscribe(),
            tx: self.tx.clone(),
        };
        spawn_local(cross_domain::run(CrossDomain {
            client: client.clone(),
            neighbours: self.neighbours.subscribe(),
            direct: self.direct.clone(),
        }));
        spawn_local(feed::run(Feed {
            client,
            neighbours: self.neighbours.subscribe(),
            seeds: self.settings.seeds.clone(),
            direct: self.direct.clone(),
            contact: self.contact.clone(),
        }));
    }

    /// This host's entry in the list of hosts.
    pub(super) fn entry(&self) -> HostEntry {
        HostEntry {
            relay: self.replica.is_relay(&self.me.host),
            addr: self.settings.peers,
            domain: self.settings.domain.clone(),
            processor: self.settings.processor,
        }
    }

    /// A recorder of the usage that this process charges to teams.
    pub(super) fn recorder(&self, counted: usage::Counted) -> usage::Recorder {
        usage::Recorder {
            lane: self.store.lane(),
            to: Partition { topic: self.wire.store_layout.usage.into(), number: 0 },
            key: format!("{}:{}", self.me.host, self.me.incarnation),
            counted,
            recorded: usage::Usage::default(),
            era: Era::default(),
        }
    }

    pub(super) fn follow(
        &self,
        partition: Partition,
        wait: Duration,
        interval: Duration,
        enabled: watch::Receiver<bool>,
        input: impl Fn(Read) -> Input + 'static,
    ) {
        let options = FollowOptions { partition, wait, interval, enabled };
        let (store, reach) = (self.store.clone(), self.reach.clone());
        let (clock, tx) = (self.clock.clone(), self.tx.clone());
        spawn_local(follow::follow(store, reach, options, clock, tx, input));
    }

    /// Handles one input.
    pub(super) fn handle(&mut self, input: Input) {
        match input {
            Input::Operator(as_of, changes) => self.on_operator(as_of, &changes),
            Input::Servers(sent_at, changes) => self.on_servers(sent_at, changes),
            Input::Hosts(changes) => self.on_hosts(&changes),
            Input::Relays(relays) => self.on_relays(&relays),
            Input::Maps { partition, sent_at, changes } => {
                self.on_maps(partition, sent_at, changes)
            }
            Input::PeerUpdate { of, scope, answered, update } => {
                self.on_update(of, scope, answered, *update)
            }
            Input::BuildRequest { of, scope, reply } => {
                // The requesting task may have been cancelled.
                let _ = reply.send(self.build_request(of, scope));
            }
            Input::PeerRequest { request, reply } => {
                // As above.
                let _ = reply.send(self.answer_request(&request));
            }
            Input::Crash(fact) => self.on_crash(fact),
            Input::Duties(duties) => self.on_duties(duties),
            Input::MapWritten { service, map, sent_at, at, result } => {
                self.on_map_written(&service, map, sent_at, at, result);
            }
            Input::Granted { service, event } => {
                self.counters.on_grant(&event);
                let is_release = matches!(event, Event::Released { .. });
                self.step(&service, event);
                if is_release {
                    self.released.insert(service);
                }
            }
            Input::Datagram(from, message) => self.on_datagram(from, message),
            Input::RateLimit(query) => self.on_rate_limit_query(query),
            Input::Credit(message) => self.on_credit_message(message),
            Input::Restored => self.on_restored(),
            Input::Tick => {
                self.publish_freshness();
                self.expire_cold_servers();
                self.update_standby();
                self.update_partitioned();
                self.step_all(&Event::Tick);
                self.publish_gates();
                self.exchange_loads();
                self.expire_permits();
            }
            Input::Dump(reply) => {
                // The operator's connection may have closed.
                let _ = reply.send(format!("{self:#?}"));
            }
            Input::Stop => {
                self.stopping = Some(self.clock.now());
                self.step_all(&Event::ShutdownStarted);
                self.duty_request.leave.set(true);
            }
        }
    }

    /// Lists servers as warm that have become so, at most once in [`COLD_EXPIRY_INTERVAL`].
    fn expire_cold_servers(&mut self) {
        let now = self.clock.now();
        if self.cold_expired.is_some_and(|at| now < at + COLD_EXPIRY_INTERVAL) {
            return;
        }
        if self.replica.expire_cold_servers(now) {
            self.cold_expired = Some(now);
            self.on_changed(Changed { servers: true, ..Changed::default() });
        }
    }

    /// Does once per batch of inputs what need not be done per input: ticks the grantors of services with released keys, and publishes crash
    /// facts and the load of services.
    pub(super) fn finish_batch(&mut self) {
        for service in std::mem::take(&mut self.released) {
            self.step(&service, Event::Tick);
        }
        self.publish_crashes();
        self.publish_loads();
    }

    /// Records in the metrics how long an input waited for this thread.
    pub(super) fn record_wait(&self, input: &Input, since: Instant) {
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
