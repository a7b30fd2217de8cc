//! Watching the cells of other failure domains, and evicting the backend servers of those that are abandoned.
//!
//! What counts as silent is decided by [`watch`], which servers may be evicted by [`evictions`]. Hosts act by turns; two that
//! act at once do no harm, since the second record is void.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_lease::{
    abandoned::{Eviction, evictions},
    watch::{self, Watch},
};
use jacinthbeam_peer::message::{Answer, Question};
use jacinthbeam_placement::view::Load;
use jacinthbeam_state::record::SlotTarget;
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use super::{Control, Event};

/// Time between two looks at which cells are watched here; sooner when the list of hosts changes.
const LOOK_EVERY: Duration = Duration::from_secs(10);
/// Time between two questions to a watched cell.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Hosts of a cell asked at a time while it gives signs of life.
const ASKED: usize = 2;
/// A cell without a sign for this long has all its hosts asked, and its other watchers.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Time that each further host waits for the ones before it.
const TURN: Duration = Duration::from_millis(500);
/// Time between two rounds of evictions.
const ROUND: Duration = Duration::from_millis(200);
/// Evictions in a round. The records wait for each other on one connection to the log.
const A_ROUND: usize = 16;
/// An eviction that the fold does not show by then is written anew.
const REPEAT_AFTER: Duration = Duration::from_secs(3);
/// How long measurements may miss the load of slots that were given away.
const UNMEASURED_FOR: Duration = Duration::from_secs(10);

/// What this host knows of cells that are not its own.
#[derive(Debug)]
pub struct Abandoned {
    watched: BTreeMap<CellId, Watched>,
    /// Failure domains declared lost, and when this host learnt it.
    lost: BTreeMap<FailureDomain, Instant>,
    begun: BTreeMap<ServerId, Begun>,
    given: Given,
    next_look: Instant,
    next_ask: Instant,
    next_round: Instant,
    rng: fastrand::Rng,
}

#[derive(Debug)]
struct Watched {
    watch: Watch,
    /// Watchers that come before this host.
    turn: u32,
    others: Vec<(FailureDomain, SocketAddr)>,
    silent_since: Option<Instant>,
}

/// An eviction that was written, or is being written.
#[derive(Debug)]
struct Begun {
    epoch: Epoch,
    at: Instant,
}

/// Load of the slots that were given to each server and that may not show in measurements yet.
#[derive(Debug)]
struct Given {
    loads: BTreeMap<ServerId, Load>,
    at: Instant,
}

impl Abandoned {
    /// Watches nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            watched: BTreeMap::new(),
            lost: BTreeMap::new(),
            begun: BTreeMap::new(),
            given: Given { loads: BTreeMap::new(), at: now },
            next_look: now,
            next_ask: now,
            next_round: now,
            rng: fastrand::Rng::new(),
        }
    }

    /// The list of hosts is another one: who watches what may be too.
    pub(super) fn list_changed(&mut self, now: Instant) {
        self.next_look = now;
    }

    /// The silent cells that it is this host's turn to act for.
    fn due(&self, now: Instant) -> BTreeSet<CellId> {
        let is_due = |watched: &Watched| {
            watched.silent_since.is_some_and(|since| now >= since + TURN * watched.turn)
        };
        let due = self.watched.iter().filter(|(_, watched)| is_due(watched));
        due.map(|(cell, _)| cell.clone()).collect()
    }
}

impl Control {
    /// Asks the cells watched here for signs of life.
    pub(super) fn watch_cells(&mut self, now: Instant) {
        if now >= self.abandoned.next_look {
            self.abandoned.next_look = now + LOOK_EVERY;
            self.look_what_to_watch(now);
        }
        let fresh = self.reads_the_log(now);
        for watched in self.abandoned.watched.values_mut() {
            if !fresh {
                watched.watch.interrupted(now);
            }
            match watched.watch.is_silent(now) {
                true => drop(watched.silent_since.get_or_insert(now)),
                false => watched.silent_since = None,
            }
        }
        if fresh && now >= self.abandoned.next_ask {
            self.abandoned.next_ask = now + ASK_EVERY;
            for cell in self.abandoned.watched.keys().cloned().collect::<Vec<_>>() {
                self.ask_for_sign(now, &cell);
            }
        }
    }

    fn reads_the_log(&self, now: Instant) -> bool {
        let read = self.proofs.log(&self.state);
        read.is_some_and(|read| now <= read + self.timing.alive_within)
    }

    fn look_what_to_watch(&mut self, now: Instant) {
        let own = self.me.cell.failure_domain();
        let listed = self.list.entry_hosts.iter().map(|host| &host.cell);
        let cells: BTreeSet<CellId> = listed.chain(self.state.cells.keys()).cloned().collect();
        let hosts = self.list.entry_hosts.iter().map(|host| (&host.id, &host.cell));
        let fleet = watch::Fleet::new(hosts);
        let mut watched = BTreeMap::new();
        let is_mine = |cell: &CellId| fleet.is_watched_by(cell, &own, &self.me.host);
        for cell in cells.into_iter().filter(is_mine) {
            let watchers = fleet.watchers(&cell);
            let Some(turn) = watchers.iter().position(|host| **host == self.me.host) else {
                continue;
            };
            let others: Vec<(FailureDomain, SocketAddr)> = self
                .list
                .entry_hosts
                .iter()
                .filter(|host| host.id != self.me.host && watchers.contains(&&host.id))
                .map(|host| (host.cell.failure_domain(), host.peer_address))
                .collect();
            let domains = others.iter().map(|(domain, _)| domain.clone()).collect();
            let known = self.abandoned.watched.remove(&cell);
            let (mut watch, silent_since) = match known {
                Some(known) => (known.watch, known.silent_since),
                None => (Watch::new(now, &cell, own.clone(), BTreeSet::new()), None),
            };
            watch.set_watchers(&cell, domains);
            watched.insert(cell, Watched { watch, turn: turn as u32, others, silent_since });
        }
        self.abandoned.watched = watched;
    }

    fn ask_for_sign(&mut self, now: Instant, cell: &CellId) {
        let mut hosts: Vec<SocketAddr> = self.cells.of(cell).to_vec();
        let Some(watched) = self.abandoned.watched.get(cell) else { return };
        let mut asked: Vec<(Option<FailureDomain>, SocketAddr)> = Vec::new();
        if watched.watch.silent_for(now) < SUSPECT_AFTER {
            hosts = self.abandoned.rng.choose_multiple(hosts, ASKED);
        } else {
            let others = watched.others.iter().cloned();
            asked.extend(others.map(|(domain, addr)| (Some(domain), addr)));
        }
        asked.extend(hosts.into_iter().map(|addr| (None, addr)));
        for (watcher, addr) in asked {
            let (cell, peers, clock) = (cell.clone(), self.peers.clone(), self.clock.clone());
            let timeout = self.timing.alive_within;
            self.spawn_event(async move {
                let asked = clock.now();
                let question = Question::LastRead { cell: cell.clone() };
                match peers.ask(addr, &question, timeout).await {
                    Ok(Answer::LastRead { ago }) => Some(Event::Sign { cell, watcher, asked, ago }),
                    Ok(_) | Err(_) => None,
                }
            });
        }
    }

    /// A host of a watched cell answered, or a `watcher` of it from another failure domain.
    pub(super) fn heard_sign(
        &mut self,
        cell: &CellId,
        watcher: Option<FailureDomain>,
        asked: Instant,
        ago: Duration,
    ) {
        let Some(watched) = self.abandoned.watched.get_mut(cell) else { return };
        match (watcher, asked.checked_sub(ago)) {
            (Some(domain), _) => watched.watch.told(asked, domain, ago),
            (None, Some(read)) => watched.watch.read_the_log(read),
            (None, None) => {}
        }
    }

    /// How long ago the log was read in a cell, if this host is of that cell, or watches it and can tell.
    pub(super) fn answer_last_read(&self, cell: &CellId) -> Answer {
        let now = self.clock.now();
        let own = || self.proofs.log(&self.state).map(|at| now.saturating_duration_since(at));
        let watched = || self.abandoned.watched.get(cell).filter(|_| self.reads_the_log(now));
        let ago = match *cell == self.me.cell {
            true => own(),
            false => watched().map(|watched| watched.watch.silent_for(now)),
        };
        let unknown = || Answer::Failed { why: format!("this host can't tell for {cell}") };
        ago.map_or_else(unknown, |ago| Answer::LastRead { ago })
    }

    /// Whether servers of this cell should be given no slots.
    pub(super) fn is_abandoned(&self, cell: &CellId) -> bool {
        let watched = self.abandoned.watched.get(cell);
        self.state.config().lost.failure_domains.contains(&cell.failure_domain())
            || watched.is_some_and(|watched| watched.silent_since.is_some())
    }

    /// Evicts servers of silent cells and of failure domains that are declared lost, some at a time.
    pub(super) fn evict_abandoned(&mut self, now: Instant) {
        if now < self.abandoned.next_round || self.stopping.is_some() || !self.reads_the_log(now) {
            return;
        }
        self.abandoned.next_round = now + ROUND;
        self.note_lost(now);
        let silent = self.abandoned.due(now);
        let lost = self.lost_due(now);
        if silent.is_empty() && lost.is_empty() {
            return;
        }
        self.forget_begun(now);
        for Eviction { record, why } in self.plan_evictions(now, &silent, &lost) {
            tokio::spawn(self.append(record, why));
        }
    }

    fn note_lost(&mut self, now: Instant) {
        let declared = &self.state.config().lost.failure_domains;
        self.abandoned.lost.retain(|domain, _| declared.contains(domain));
        for domain in declared {
            self.abandoned.lost.entry(domain.clone()).or_insert(now);
        }
    }

    /// The lost failure domains that it is this host's turn to act for. A host of one of them may be mistaken for a live one.
    fn lost_due(&self, now: Instant) -> BTreeSet<FailureDomain> {
        let lost = &self.abandoned.lost;
        if lost.contains_key(&self.me.cell.failure_domain()) {
            return BTreeSet::new();
        }
        let turn = |domain: &FailureDomain| {
            let weight = |host: &HostId| rendezvous_weight(domain.as_str(), host.as_str());
            let own = weight(&self.me.host);
            let listed = self.list.entry_hosts.iter();
            let others = listed.filter(|host| !lost.contains_key(&host.cell.failure_domain()));
            others.filter(|host| weight(&host.id) > own).count() as u32
        };
        let due = lost.iter().filter(|(domain, since)| now >= **since + TURN * turn(domain));
        due.map(|(domain, _)| domain.clone()).collect()
    }

    fn forget_begun(&mut self, now: Instant) {
        let servers = &self.state.servers;
        self.abandoned.begun.retain(|server, begun| {
            let epoch = servers.get(server).map(|known| known.epoch);
            epoch == Some(begun.epoch) && now < begun.at + REPEAT_AFTER
        });
        if now > self.abandoned.given.at + UNMEASURED_FOR {
            self.abandoned.given.loads.clear();
        }
    }

    fn plan_evictions(
        &mut self,
        now: Instant,
        silent: &BTreeSet<CellId>,
        lost: &BTreeSet<FailureDomain>,
    ) -> Vec<Eviction> {
        let given = RefCell::new(std::mem::take(&mut self.abandoned.given.loads));
        let begun = RefCell::new(BTreeMap::new());
        let targets = |server: &ServerId| {
            let (mut given, mut begun) = (given.borrow_mut(), begun.borrow_mut());
            let Some(known) = self.state.servers.get(server) else { return Vec::new() };
            let is_due =
                silent.contains(&known.cell) || lost.contains(&known.cell.failure_domain());
            let waits = self.abandoned.begun.contains_key(server);
            if !is_due || waits || begun.len() >= A_ROUND {
                return Vec::new();
            }
            let to = self.evict_targets_after(server, &given);
            self.give(&known.service, &to, &mut given);
            if !to.is_empty() {
                begun.insert(server.clone(), Begun { epoch: known.epoch, at: now });
            }
            to
        };
        let planned = evictions(&self.state, silent, targets);
        self.abandoned.given.loads = given.into_inner();
        if !planned.is_empty() {
            log::info!("owner: evicts {} servers of abandoned cells", planned.len());
            self.abandoned.given.at = now;
            self.abandoned.begun.append(&mut begun.into_inner());
        }
        planned
    }

    /// Counts the load of a server's slots, taken for a full one's, at their next owners.
    fn give(&self, service: &ServiceName, to: &[SlotTarget], given: &mut BTreeMap<ServerId, Load>) {
        let capacity = self.state.service(service).map_or(0, |service| service.concurrency);
        let each = Load(f64::from(capacity) / to.len().max(1) as f64);
        for target in to {
            *given.entry(target.to.clone()).or_default() += each;
        }
    }
}
