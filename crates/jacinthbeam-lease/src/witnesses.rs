//! When the set of a cell's witnesses should change, and the record that changes it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_state::{Record, State, Witness, WitnessSet, witness::MAX_WITNESSES};
use jacinthbeam_types::prelude::*;

use crate::membership::{Heard, Members};

/// How long a change must have been wanted before it is made, so that a short pause of a host
/// changes nothing.
pub const SETTLE: Duration = Duration::from_secs(2);

/// A change of the set that is worth making.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the set that is replaced.
    pub base: Option<Epoch>,
    /// The new set.
    pub members: Vec<Witness>,
    /// Live members of the old set. All are asked to retire under `base`, this host included if it
    /// is one of them.
    pub ask: Vec<Witness>,
    /// Members of the old set that have retired already, as a host does that stops.
    pub already: BTreeSet<Incarnation>,
    /// Promises that are still needed beyond those, and those of hosts declared lost.
    pub needed: usize,
}

impl Plan {
    /// The record that makes the change, if enough old members have retired.
    pub fn record(&self, retired: &BTreeSet<Incarnation>) -> Option<Record> {
        let asked = self.ask.iter().filter(|member| retired.contains(&member.incarnation));
        (asked.count() >= self.needed).then(|| Record::Witnesses {
            cell: self.cell.clone(),
            base: self.base,
            members: self.members.clone(),
            retired: retired.union(&self.already).copied().collect(),
        })
    }
}

/// Decides when to change the set of this host's cell.
#[derive(Debug, Clone)]
pub struct Planner {
    cell: CellId,
    wanted: Option<Wanted>,
}

#[derive(Debug, Clone)]
struct Wanted {
    base: Option<Epoch>,
    members: Vec<Witness>,
    since: Instant,
}

impl Planner {
    /// A planner that has not looked yet.
    pub fn new(cell: CellId) -> Self {
        Self { cell, wanted: None }
    }

    /// The change to make now, if this host is the one to make it. To be called at each heartbeat.
    ///
    /// `log_is_fresh` must say whether the log answers: members that retire can't renew leases without the
    /// log any more, so nobody is asked to retire while the record could not be appended.
    pub fn plan(
        &mut self,
        now: Instant,
        state: &State,
        members: &Members,
        log_is_fresh: bool,
    ) -> Option<Plan> {
        let set = state.cells.get(&self.cell).map(AsRef::as_ref);
        let base = set.map(|set| set.epoch);
        let ranked = members.ranked(now, self.cell.as_str());
        let in_charge = ranked.first().is_some_and(|heard| heard.host == members.own().host);
        let next = choose(set, &ranked);
        if !in_charge || !log_is_fresh || next.is_empty() || !is_better(set, &next) {
            self.wanted = None;
            return None;
        }
        let same = |wanted: &&Wanted| wanted.base == base && wanted.members == next;
        let since = self.wanted.as_ref().filter(same).map_or(now, |wanted| wanted.since);
        self.wanted = Some(Wanted { base, members: next.clone(), since });
        if now.saturating_duration_since(since) < SETTLE {
            return None;
        }
        self.with_promises(now, state, set, next, members)
    }

    /// `None` if the live members of the old set are too few to replace it: then an operator has to declare
    /// lost hosts.
    fn with_promises(
        &self,
        now: Instant,
        state: &State,
        set: Option<&WitnessSet>,
        next: Vec<Witness>,
        members: &Members,
    ) -> Option<Plan> {
        let mut plan = Plan {
            cell: self.cell.clone(),
            base: set.map(|set| set.epoch),
            members: next,
            ask: Vec::new(),
            already: BTreeSet::new(),
            needed: 0,
        };
        let Some(set) = set else { return Some(plan) };
        plan.already = members.retired(set.epoch).filter(|member| set.contains(*member)).collect();
        let live = live_lives(now, members);
        let lost = &state.config().lost.hosts;
        let able = |member: &&Witness| {
            let member = &member.incarnation;
            live.contains(member) && !lost.contains(member) && !plan.already.contains(member)
        };
        plan.ask = set.members.iter().filter(able).cloned().collect();
        let already: Vec<Incarnation> = plan.already.iter().copied().collect();
        let counted = state.promises(&self.cell, set, &already);
        plan.needed = set.eviction_quorum().saturating_sub(counted);
        (plan.ask.len() >= plan.needed).then_some(plan)
    }
}

fn live_lives(now: Instant, members: &Members) -> BTreeSet<Incarnation> {
    members.live(now).map(|heard| heard.incarnation).collect()
}

/// Members that stay, then others by rank, up to the size of a set. In the order of their names.
fn choose(set: Option<&WitnessSet>, ranked: &[&Heard]) -> Vec<Witness> {
    let is_member = |heard: &&&Heard| set.is_some_and(|set| set.contains(heard.incarnation));
    let stay = ranked.iter().filter(is_member);
    let join = ranked.iter().filter(|heard| !is_member(heard));
    let mut members: Vec<Witness> =
        stay.chain(join).take(MAX_WITNESSES).map(|heard| as_witness(heard)).collect();
    members.sort_by(|a, b| a.host.cmp(&b.host));
    members
}

fn as_witness(heard: &Heard) -> Witness {
    Witness {
        host: heard.host.clone(),
        incarnation: heard.incarnation,
        peer_address: heard.peer_address,
    }
}

/// Whether a set of live hosts has more live members than the present one has.
///
/// A set is not shrunk because hosts are away: they may only be cut off, and a smaller set needs fewer words.
fn is_better(set: Option<&WitnessSet>, next: &[Witness]) -> bool {
    let Some(set) = set else { return true };
    let staying = next.iter().filter(|member| set.contains(member.incarnation)).count();
    next.len() > staying
}
