//! Which slots should leave the backend servers that this host attends, and which hot keys get a slot of their own.
//!
//! The decisions are those of `jacinthbeam-placement`; this module measures, asks a few other hosts for their loads, and
//! hands planned moves to the attendants. The cost is bounded by the servers attended here and a fixed sample of others.

mod hot_keys;
mod lost;
mod metering;
mod moves;
mod newcomers;
mod offers;
mod others;
mod views;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_config::Division;
use jacinthbeam_placement::{
    PlannedMove, Policy, Progress, View,
    convert::Measured,
    evict, hot, joined, rebalance,
    view::{Load, Standing},
};
use jacinthbeam_types::prelude::*;

use super::Control;
use crate::version::meter::Reading;

/// Time between two decisions, and length of one window of measurement.
const WINDOW: Duration = Duration::from_secs(2);

/// What placement remembers.
#[derive(Debug)]
pub struct Placement {
    started: Instant,
    next: Instant,
    meters: BTreeMap<ServerId, VecDeque<Reading>>,
    /// Loads of other hosts' servers.
    heard: BTreeMap<ServerId, Heard>,
    progress: BTreeMap<ServiceName, Progress>,
    cooling: BTreeMap<ServerId, hot::Cooling>,
    cold: BTreeMap<ServerId, Instant>,
    /// Load of the heaviest keys of the servers attended here, as of the last window.
    heavy_keys: BTreeMap<ServerId, BTreeMap<KeyHash, Load>>,
    /// Moves that this host began or agreed to.
    begun: BTreeMap<SlotOf, Begun>,
    rng: fastrand::Rng,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SlotOf {
    server: ServerId,
    slot: SlotId,
}

#[derive(Debug)]
struct Begun {
    service: ServiceName,
    at: Instant,
}

/// The load of another host's server.
#[derive(Debug, Clone, Copy)]
struct Heard {
    measured: Measured,
    /// The host that told it, and so attends the server.
    by: SocketAddr,
}

impl Placement {
    /// Knows nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            next: now + WINDOW,
            meters: BTreeMap::new(),
            heard: BTreeMap::new(),
            progress: BTreeMap::new(),
            cooling: BTreeMap::new(),
            cold: BTreeMap::new(),
            heavy_keys: BTreeMap::new(),
            begun: BTreeMap::new(),
            rng: fastrand::Rng::new(),
        }
    }
}

impl Control {
    /// Measures and decides when a window ends.
    pub(super) fn place(&mut self, now: Instant) {
        if now < self.placement.next {
            return;
        }
        self.placement.next = now + WINDOW;
        self.measure();
        self.ask_for_loads();
        self.give_up_moves(now);
        let attended: BTreeSet<ServiceName> =
            self.open_servers().map(|(_, service)| service.clone()).collect();
        for service in attended {
            self.place_service(now, &service);
        }
    }

    fn open_servers(&self) -> impl Iterator<Item = (&ServerId, &ServiceName)> {
        let open = self.tended.iter().filter(|(_, tended)| tended.open);
        open.map(|(id, tended)| (id, &tended.service))
    }

    fn place_service(&mut self, now: Instant, service: &ServiceName) {
        let Some(cfg) = self.state.service(service) else { return };
        if matches!(cfg.division, Division::Undivided) {
            return;
        }
        let active = self.state.servers_of(service).count().max(1);
        let own = self.open_servers().filter(|(_, other)| *other == service).count();
        let policy = Policy::configured(&cfg.balance, own as f64 / active as f64);
        let newcomers = self.newcomers(now, service, &policy);
        let Some(mut view) = self.view(service) else { return };
        let mut progress = self.placement.progress.remove(service).unwrap_or_default();
        progress.add_pending(&mut view, &policy, now);
        let mut rng = self.placement.rng.clone();
        let moves = plan(&view, &newcomers, &policy, &progress, now, &mut rng);
        for planned in &moves {
            self.begin(now, service, planned, &view, &policy, &mut progress);
        }
        self.split_hot_keys(now, service, &view, &policy, &mut progress);
        self.placement.rng = rng;
        self.placement.progress.insert(service.clone(), progress);
    }
}

/// Slots of leaving servers first, then those for new ones, then those of overloaded ones.
fn plan(
    view: &View,
    newcomers: &[ServerId],
    policy: &Policy,
    progress: &Progress,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Vec<PlannedMove> {
    let mut moves = Vec::new();
    for (server, seen) in &view.servers {
        if seen.attended && seen.standing == Standing::Draining {
            let leaving = evict::leave(view, server, policy, rng);
            moves.extend(leaving.into_iter().filter(|planned| !progress.is_moving(planned.slot)));
        }
    }
    if !moves.is_empty() {
        return moves;
    }
    for server in newcomers {
        moves.extend(joined(view, server, policy, progress, now, rng));
    }
    if !moves.is_empty() {
        return moves;
    }
    rebalance(view, &[], policy, progress, now, rng)
}
