//! The control thread: all control state of the process, and the loop that feeds it events.
//!
//! The decisions are made by the pure crates; the modules here carry them out. Every handler takes one event, never waits, and
//! spawns a task for what takes time; the task comes back with another event.

mod abandoned;
mod answer;
mod append;
mod attend;
pub mod book;
mod cell;
pub mod cells;
mod dump;
mod event;
pub mod fanout;
mod follow;
mod found;
mod heartbeat;
mod measure;
mod memory;
mod placement;
mod publish;
pub mod relay;
pub mod snapshot;
pub mod tail;
mod totals;
mod usage;
mod witnesses;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use jacinthbeam_lease::{
    Members, Observed, Proofs, Timing, Witness, membership::Heard, witnesses::Planner,
};
use jacinthbeam_native::{format::hosts::HostList, hosts, log};
use jacinthbeam_peer::{Client, message::Details};
use jacinthbeam_state::State;
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc;

use super::{Identity, Traffic};

pub use event::{Event, Source};

/// Time between two looks at everything that depends on time.
const TICK: Duration = Duration::from_millis(50);
/// How long a host that stops goes on after its last heartbeats were sent: the way there and back, many times over.
const FAREWELL: Duration = Duration::from_millis(200);
/// Events that wait to be handled. A full queue makes peers wait, which is what should happen to them.
const QUEUE: usize = 4096;

/// What the control thread needs to start.
#[derive(Debug)]
pub struct Start {
    /// Who this process is.
    pub me: Identity,
    /// What it shares with traffic.
    pub traffic: Arc<Traffic>,
    /// Durations of the protocol.
    pub timing: Timing,
    /// The platform's log.
    pub log: SocketAddr,
    /// The platform's list of hosts.
    pub hosts: SocketAddr,
    /// Bound of one call to the platform.
    pub platform_timeout: Duration,
}

/// Sender and receiver of events.
pub fn channel() -> (mpsc::Sender<Event>, mpsc::Receiver<Event>) {
    mpsc::channel(QUEUE)
}

/// All control state of the process.
pub struct Control {
    me: Identity,
    traffic: Arc<Traffic>,
    timing: Timing,
    clock: Arc<dyn Clock>,
    tx: mpsc::Sender<Event>,
    log: Arc<log::Client>,
    appends: Arc<log::Client>,
    host_list: Arc<hosts::Client>,
    peers: Client,
    records: AtomicU64,

    state: State,
    follow: follow::Follow,
    relay: relay::Relay,
    ways: fanout::Ways,
    observed: Observed,
    members: Members,
    proofs: Proofs,
    witness: Witness,
    planner: Planner,
    witness_change: witnesses::Progress,
    list: HostList,
    book: book::Book,
    tended: BTreeMap<ServerId, attend::Tended>,
    found: found::Founding,
    placement: placement::Placement,
    abandoned: abandoned::Abandoned,
    snapshots: snapshot::Pace,
    /// Where the hosts of other cells listen.
    cells: cells::CellBook,
    usage: usage::Flush,
    counts: measure::Counts,
    totals: totals::Totals,
    next_heartbeat: Instant,
    next_list: Instant,
    /// Whether traffic has to be given a new version.
    changed: bool,
    stopping: Option<tokio::sync::oneshot::Sender<()>>,
    handed_over: BTreeSet<ServerId>,
    /// Until when a host that has handed everything over still says so.
    farewell: Option<Instant>,
    /// Whether the other hosts have to be told at once what this host attends.
    announce: bool,
    /// Who owned slots of this cell's servers before.
    origins: memory::Origins,
}

impl Control {
    /// Control state at the start of the process. Has to be called in the control thread's runtime.
    pub fn new(start: Start, tx: mpsc::Sender<Event>) -> Self {
        let Start { me, traffic, timing, log, hosts, platform_timeout } = start;
        let clock = traffic.clock.clone();
        let now = clock.now();
        let details = Details {
            host: me.host.clone(),
            cell: me.cell.clone(),
            peer_address: me.peer_address,
            stopping: false,
            attends: Vec::new(),
            retired: None,
            unreachable: Vec::new(),
        };
        let own = Heard {
            host: me.host.clone(),
            incarnation: me.incarnation,
            peer_address: me.peer_address,
            stopping: false,
            retired: None,
            unreachable: BTreeSet::new(),
            attends: BTreeSet::new(),
        };
        Self {
            log: Arc::new(log::Client::open(log, platform_timeout).bound_to(me.source)),
            appends: Arc::new(log::Client::open(log, platform_timeout).bound_to(me.source)),
            host_list: Arc::new(hosts::Client::open(hosts, platform_timeout).bound_to(me.source)),
            peers: Client::open(jacinthbeam_peer::client::Options {
                source: me.source,
                ..Default::default()
            }),
            records: AtomicU64::new(0),
            state: State::new(),
            follow: follow::Follow::new(),
            relay: relay::Relay::default(),
            ways: fanout::Ways::default(),
            observed: Observed::new(now),
            members: Members::new(now, own, &timing),
            proofs: Proofs::new(),
            witness: Witness::new(me.incarnation, me.cell.clone()),
            planner: Planner::new(me.cell.clone()),
            witness_change: Default::default(),
            list: HostList::default(),
            book: book::Book::new(me.incarnation, details),
            tended: BTreeMap::new(),
            found: found::Founding::new(now),
            placement: placement::Placement::new(now),
            abandoned: abandoned::Abandoned::new(now),
            snapshots: snapshot::Pace::new(now, fastrand::f64()),
            cells: cells::CellBook::default(),
            usage: usage::Flush::new(now),
            counts: Default::default(),
            totals: totals::Totals::new(now),
            next_heartbeat: now,
            next_list: now,
            changed: true,
            stopping: None,
            handed_over: BTreeSet::new(),
            farewell: None,
            announce: false,
            origins: Default::default(),
            me,
            traffic,
            timing,
            clock,
            tx,
        }
    }

    /// Handles events until the process has stopped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Event>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.read_on(Duration::ZERO);
        loop {
            tokio::select! {
                biased;
                _ = tick.tick() => self.tick(),
                event = rx.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            }
            if self.changed {
                self.changed = false;
                self.publish();
            }
            if self.announce {
                self.announce = false;
                self.next_heartbeat = self.clock.now();
                self.beat(self.next_heartbeat);
            }
            if self.has_handed_over() {
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        self.counts.events += 1;
        match event {
            Event::Read { source, started, outcome } => self.read(source, started, outcome),
            Event::Fetched { next, snapshot } => self.fetched(next, &snapshot),
            Event::Listed(list) => self.listed(list),
            Event::Asked { question, reply } => self.asked(question, reply),
            Event::Heard { started, heartbeat } => self.heard_answer(started, &heartbeat),
            Event::Tried { probe, reached, reply } => self.tried(probe, reached, reply),
            Event::Attendant { server, event } => self.attendant_event(&server, event),
            Event::Copied { server } => self.copied(&server),
            Event::Retired { incarnation, epoch } => self.retired(incarnation, epoch),
            Event::Loads { by, loads } => self.heard_loads(by, loads),
            Event::Offered { service, planned, agreed } => {
                self.offered(&service, &planned, agreed);
            }
            Event::Sign { cell, watcher, asked, ago } => {
                self.heard_sign(&cell, watcher, asked, ago);
            }
            Event::WitnessesAppended => self.witness_change = Default::default(),
            Event::FoundAppended { service } => self.found.appended(&service),
            Event::UsageRead { outcome } => self.usage_read(outcome),
            Event::UsageAppended { id, written } => self.usage_appended(id, written),
            Event::Dump { reply } => {
                // Whoever asked may have gone away.
                let _ = reply.send(self.dump());
            }
            Event::Stop { done } => self.stop(done),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.look_up_hosts(now);
        self.beat(now);
        self.relay.refuse_late(now);
        self.catch_up_with_peers(now);
        self.elect(now);
        self.tick_attendants();
        self.keep_memory(now);
        self.change_witnesses(now);
        self.found_services(now);
        self.place(now);
        self.watch_cells(now);
        self.evict_abandoned(now);
        self.append_snapshot(now);
        self.flush_usage(now);
        self.sample(now);
        self.keep_totals(now);
    }

    /// Runs a task that ends with an event.
    fn spawn_event(&self, task: impl Future<Output = Option<Event>> + Send + 'static) {
        let tx = self.tx.clone();
        tokio::spawn(async move {
            if let Some(event) = task.await {
                // The control loop has ended; so has the process, almost.
                let _ = tx.send(event).await;
            }
        });
    }

    fn stop(&mut self, done: tokio::sync::oneshot::Sender<()>) {
        ::log::info!("control: stopping, {} backend servers to hand over", self.tended.len());
        self.stopping = Some(done);
        // Said before anything is handed over, so that the successors are picked and wait by the time that nothing runs here.
        self.members.stop();
        self.announce = true;
        for server in self.tended.keys().cloned().collect::<Vec<_>>() {
            self.attendant_event(&server, jacinthbeam_lease::Event::Stop);
        }
        self.changed = true;
    }

    /// Whether a stopping host attends nothing any more. The members are told by a last round of heartbeats, so that
    /// they take over without waiting for its silence. The loop goes on for that round: the heartbeats end with it.
    fn has_handed_over(&mut self) -> bool {
        if self.stopping.is_none() || self.handed_over.len() < self.tended.len() {
            return false;
        }
        let now = self.clock.now();
        let Some(until) = self.farewell else {
            self.retire_for_good();
            self.next_heartbeat = now;
            self.beat(now);
            self.farewell = Some(now + FAREWELL);
            return false;
        };
        // The log may be away for as long as the last counts are tried; the members have been told before that.
        if !self.usage_is_flushed() || now < until {
            return false;
        }
        let done = self.stopping.take().expect("checked above");
        // The process is gone already if nobody waits.
        let _ = done.send(());
        true
    }
}
