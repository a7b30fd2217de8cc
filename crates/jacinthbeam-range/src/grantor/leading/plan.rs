//! Which ranges change their owner, and the progress of these moves.

use std::time::Instant;

use jacinthbeam_route::Servers;
use jacinthbeam_types::prelude::*;

use super::Leading;
use crate::{
    balance::{self, Move},
    grantor::{
        Action, View, candidates,
        owner_state::longest_hold,
        pending_move::{PendingMove, Stage},
        timing::{BALANCE_EVERY, moves_at_once, releases_at_once},
    },
    key::KeyRange,
    map::{Assignment, Map},
};

impl Leading {
    /// Starts moves off servers that leave and off overloaded owners.
    pub(super) fn plan(&mut self, view: View<'_>, service: &ServiceName) {
        let leaving: Vec<KeyRange> = self
            .map
            .assignments()
            .iter()
            .filter(|assignment| {
                self.is_leaving(assignment, view.servers) && !self.is_moving(assignment.range)
            })
            .map(|assignment| assignment.range)
            .collect();
        let balances = self.last_balanced.is_none_or(|at| view.now >= at + BALANCE_EVERY)
            && self.store_accepts_records();
        if leaving.is_empty() && !balances {
            return;
        }
        let candidates = candidates(self, view, service);
        let room = releases_at_once(candidates.len()).saturating_sub(self.moves.len());
        if !leaving.is_empty() {
            let moves = balance::place(
                &self.expected(),
                &self.demand.rates(&self.map),
                &candidates,
                &leaving,
            );
            self.start(moves.into_iter().take(room));
            return;
        }
        self.last_balanced = Some(view.now);
        let fixed: Vec<KeyRange> = self
            .moves
            .iter()
            .map(|m| m.range)
            .chain(self.cooling_down.iter().map(|(_, range)| *range))
            .collect();
        let most = moves_at_once(candidates.len()).min(room);
        let moves = balance::rebalance(
            &self.expected(),
            &self.demand.rates(&self.map),
            &candidates,
            &fixed,
            most,
        );
        self.start(moves.into_iter());
    }

    /// Whether the store accepts records of this host, as far as is known.
    ///
    /// While it accepts none, a move cannot be completed: the keys would have no owner, and all
    /// requests for them would be refused, whereas an overloaded owner still answers some.
    fn store_accepts_records(&self) -> bool {
        self.pending_record.is_none()
            && self.record_failed_at.is_none_or(|at| self.confirmed_at >= at)
    }

    /// The map after all moves in progress.
    pub(super) fn expected(&self) -> Map {
        let mut map = self.map.clone();
        for moving in &self.moves {
            map.assign(moving.range, Some(moving.to.clone()), moving.token, None);
        }
        map
    }

    /// Whether new keys may be granted to a server: it is listed, and neither its entry nor its answers say that it is draining.
    pub(in crate::grantor) fn takes_work(&self, server: &ServerId, servers: &Servers) -> bool {
        servers.takes_work(server) && !self.demand.is_draining(server)
    }

    /// Whether the owner should give the range up and can still be asked to.
    pub(super) fn is_leaving(&self, assignment: &Assignment, servers: &Servers) -> bool {
        let Some(owner) = &assignment.owner else { return false };
        let id = &owner.server;
        if self.takes_work(id, servers) || !self.is_usable(id) {
            return false;
        }
        // Keys of a server that restarted under its name go to its present incarnation.
        servers.successor_of(id).is_none_or(|incarnation| incarnation.draining)
    }

    pub(super) fn is_moving(&self, range: KeyRange) -> bool {
        self.moves.iter().any(|moving| moving.range.overlaps(range))
    }

    pub(super) fn start(&mut self, moves: impl Iterator<Item = Move>) {
        for Move { range, to } in moves {
            let assignment = self.map.lookup(range.first);
            let Some(from) = assignment.owner.clone().filter(|from| *from != to) else { continue };
            let token = self.next_token();
            self.moves.push(PendingMove { range, from, to, token, stage: Stage::Waiting });
        }
    }

    /// Orders the release of ranges whose owner has no renewal in flight. A range that is being
    /// moved is no longer renewed, so its last grant arrived before this.
    pub(super) fn releases(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for moving in &mut self.moves {
            let state = self.owners.get(&moving.from.server);
            if moving.stage != Stage::Waiting || state.is_some_and(|state| state.round_in_flight) {
                continue;
            }
            moving.stage = Stage::Releasing(now);
            let (from, range, token) = (moving.from.clone(), moving.range, moving.token);
            actions.push(Action::Release { from, range, token });
        }
        actions
    }

    /// Frees ranges whose release was not answered, once the old owner's grants have expired.
    pub(super) fn free_lapsed(&mut self, now: Instant) {
        for moving in &mut self.moves {
            let Stage::Releasing(ordered) = moving.stage else { continue };
            let ended = self.owners.get(&moving.from.server).is_some_and(|state| state.ended);
            if ended || now >= ordered.max(self.predecessors_until) + longest_hold() {
                moving.stage = Stage::Free(None);
            }
        }
    }
}
