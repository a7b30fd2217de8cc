//! Contents of the next record.

use std::time::Instant;

use jacinthbeam_route::Servers;
use jacinthbeam_types::prelude::*;

use super::Leading;
use crate::{
    balance::{self, Candidate, Move},
    grantor::{
        Action, View, candidates,
        owner_state::OwnerState,
        pending_move::{PendingMove, Stage},
        timing::MERGE_ABOVE_RANGES_PER_OWNER,
    },
    key::KeyRange,
    map::{Assignment, Map, Owner},
};

impl Leading {
    /// The next record, if there is something to record.
    pub(super) fn record(&mut self, view: View<'_>, service: &ServiceName) -> Option<Action> {
        if !self.may_grant(view.now) || !self.may_have_changes(view) {
            return None;
        }
        let mut map = self.map.clone();
        let changed = self.assign_freed(&mut map);
        let changed = self.assign_to_successors(&mut map, view.servers) || changed;
        let changed = self.reassign_lapsed(&mut map, view, service) || changed;
        let changed = self.raise_refused_tokens(&mut map) || changed;
        let changed = self.clear_rivals(&mut map, view.now) || changed;
        let changed = std::mem::take(&mut map.unsettled) || changed;
        // One more record resolves those in doubt, and until then nothing can be done about their
        // keys.
        let changed = changed || !self.in_doubt.is_empty();
        if !changed {
            return None;
        }
        self.merge_neighbours(&mut map);
        map.version += 1;
        self.pending_record = Some(map.clone());
        Some(Action::Record(map))
    }

    /// Whether the next record may differ from the last one.
    ///
    /// Most passes change nothing. Copying a map of 1,100 ranges in each of them took a tenth of
    /// the time spent on granting, measured over ten seconds.
    fn may_have_changes(&self, view: View<'_>) -> bool {
        let is_free = |moving: &PendingMove| matches!(moving.stage, Stage::Free(_));
        let gets_no_grants = |state: &OwnerState| state.given_up || state.ended;
        let has_unowned =
            || self.map.assignments().iter().any(|assignment| assignment.owner.is_none());
        let has_successor = |id: &ServerId| view.servers.successor_of(id).is_some();
        !self.refused.is_empty()
            || !self.in_doubt.is_empty()
            || !self.map.rivals.is_empty()
            || self.map.unsettled
            || self.moves.iter().any(is_free)
            || self.owners.values().any(gets_no_grants)
            || self.owners.keys().any(has_successor)
            || has_unowned()
    }

    /// Records once that none of this leader's predecessors can renew any more, so that a successor
    /// has only this leader to wait for.
    fn clear_rivals(&self, map: &mut Map, now: Instant) -> bool {
        let is_stale = !map.rivals.is_empty() && now >= self.predecessors_until;
        if is_stale {
            map.rivals.clear();
        }
        is_stale
    }

    /// Assigns ranges that their old owners have given up to the targets of their moves.
    pub(super) fn assign_freed(&self, map: &mut Map) -> bool {
        let mut changed = false;
        for moving in &self.moves {
            if let Stage::Free(handover) = &moving.stage {
                map.assign(moving.range, Some(moving.to.clone()), moving.token, handover.clone());
                changed = true;
            }
        }
        changed
    }

    /// Assigns the keys of a server that restarted under its name to the present incarnation, under
    /// a new token.
    ///
    /// This doesn't wait for the end of a hold: grants to either incarnation go to whichever
    /// process answers under the name, so only the present one, which gets the keys, can have
    /// accepted any.
    pub(super) fn assign_to_successors(&mut self, map: &mut Map, servers: &Servers) -> bool {
        let ids: Vec<ServerId> = self.owners.keys().cloned().collect();
        let mut changed = false;
        for id in ids {
            let present = servers.successor_of(&id).filter(|present| !present.draining);
            let Some(present) = present else { continue };
            let owner = Owner { server: present.id.clone(), addr: present.addr };
            let ranges: Vec<KeyRange> =
                self.map.owned_by(&id).map(|assignment| assignment.range).collect();
            let free: Vec<KeyRange> = ranges.into_iter().filter(|r| !self.is_moving(*r)).collect();
            for range in free {
                map.assign(range, Some(owner.clone()), self.next_token(), None);
                changed = true;
            }
        }
        changed
    }

    /// Assigns ranges that no server can hold any more to other servers.
    pub(super) fn reassign_lapsed(
        &mut self,
        map: &mut Map,
        view: View<'_>,
        service: &ServiceName,
    ) -> bool {
        let mut lapsed = self.lapsed(view.now);
        // The others were assigned to the present incarnation of their server.
        lapsed.retain(|range| self.map.lookup(range.first).owner == map.lookup(range.first).owner);
        if lapsed.is_empty() {
            return false;
        }
        let candidates: Vec<Candidate> = candidates(self, view, service);
        let expected = self.expected();
        let moves = balance::place(&expected, &self.demand.rates(&self.map), &candidates, &lapsed);
        if moves.is_empty() {
            // No server can take the keys, so grants to their owners are resumed, unless a record in
            // doubt may have given the keys to another server.
            if !self.in_doubt.is_empty() {
                return false;
            }
            self.owners.values_mut().filter(|state| !state.ended).for_each(OwnerState::resume);
            return false;
        }
        let token = self.next_token();
        for Move { range, to } in moves {
            map.assign(range, Some(to), token, None);
        }
        true
    }

    /// Assigns refused ranges to the same owners under a token above the refused one.
    pub(super) fn raise_refused_tokens(&mut self, map: &mut Map) -> bool {
        let refused = std::mem::take(&mut self.refused);
        let open: Vec<KeyRange> =
            refused.into_iter().filter(|range| !self.is_moving(*range)).collect();
        if open.is_empty() {
            return false;
        }
        let token = self.next_token();
        for range in open {
            let Assignment { owner, .. } = map.lookup(range.first).clone();
            if map.lookup(range.first).range.covers(range) {
                map.assign(range, owner, token, None);
            }
        }
        true
    }

    /// Merges neighbouring ranges of one owner under a new token, once there are many ranges.
    pub(super) fn merge_neighbours(&mut self, map: &mut Map) {
        map.merge_adjacent();
        if map.assignments().len() <= MERGE_ABOVE_RANGES_PER_OWNER * self.owners.len() {
            return;
        }
        for range in map.mergeable() {
            let owner = map.lookup(range.first).owner.clone();
            let all_confirmed =
                map.assignments().iter().filter(|assignment| range.covers(assignment.range)).all(
                    |assignment| {
                        let id = assignment.owner.as_ref().map(|owner| &owner.server);
                        let state = id.and_then(|id| self.owners.get(id));
                        state.is_some_and(|state| {
                            state.has_confirmed(assignment.range, assignment.token)
                        })
                    },
                );
            if !all_confirmed || self.is_moving(range) {
                continue;
            }
            let token = self.next_token();
            map.assign(range, owner, token, None);
        }
    }

    /// Whether every grant to a server has expired, also those that were sent to another incarnation of its name
    /// and may have reached this one.
    fn has_lapsed(&self, server: &ServerId, now: Instant) -> bool {
        self.incarnations_of(server).all(|state| state.has_lapsed(now, self.predecessors_until))
    }

    /// Ranges without an owner, and those of lost servers whose holds have expired.
    pub(super) fn lapsed(&self, now: Instant) -> Vec<KeyRange> {
        let free = |assignment: &&Assignment| {
            let Some(owner) = &assignment.owner else { return true };
            let gets_no_grants = |state: &OwnerState| state.given_up || state.ended;
            self.owners.get(&owner.server).is_some_and(gets_no_grants)
                && self.has_lapsed(&owner.server, now)
        };
        let ranges = self.map.assignments().iter().filter(free).map(|assignment| assignment.range);
        ranges.filter(|range| !self.is_moving(*range)).collect()
    }
}
