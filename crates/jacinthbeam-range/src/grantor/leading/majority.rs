//! What a majority of the owners proves about present and former leaders.
//!
//! Backend servers refuse tokens below the highest one that they have seen, so they can act as the
//! acceptors of a lease. A leader goes on renewing only for [`MAJORITY_VALID_FOR`] after more than
//! half of the owners accepted its grants, or after the store confirmed it. A successor whose
//! grants were accepted by more than half of the same owners knows that the predecessor has no
//! majority from then on: any two majorities share a server, and that one refuses the predecessor.
//!
//! Without this rule a successor that receives nothing from its predecessor would have to wait for
//! [`CONFIRMATION_VALID_FOR`] before it may rely on the end of any hold, and the keys of a server
//! that died at about the same time would be unserved for that long.

use std::{collections::BTreeSet, time::Instant};

use jacinthbeam_types::prelude::*;

use super::Leading;
use crate::{
    grantor::timing::{CONFIRMATION_VALID_FOR, MAJORITY_VALID_FOR, MARGIN, MAX_CALL_TIME},
    map::{Assignment, Map},
};

/// Tracks whether a majority has fenced off every earlier leader, so that none of them can renew
/// any more.
#[derive(Debug)]
pub(super) struct Fence {
    /// For each earlier leader that may still renew, the owners that its majorities consist of.
    rivals: Vec<BTreeSet<ServerId>>,
    /// Servers that refuse the grants of all earlier leaders.
    refusing: BTreeSet<ServerId>,
}

impl Fence {
    /// A fence against each rival named by the first map of this leader.
    pub(super) fn of(map: &Map) -> Self {
        Self { rivals: map.rivals.clone(), refusing: BTreeSet::new() }
    }

    fn is_complete(&self) -> bool {
        let has_most = |owners: &BTreeSet<ServerId>| {
            owners.intersection(&self.refusing).count() * 2 > owners.len()
        };
        self.rivals.iter().all(has_most)
    }
}

impl Leading {
    /// Until when grants may be sent.
    pub(super) fn may_grant_until(&self) -> Instant {
        let confirmed_or_accepted =
            self.majority_accepted_at().map_or(self.confirmed_at, |at| at.max(self.confirmed_at));
        (confirmed_or_accepted + MAJORITY_VALID_FOR).min(self.confirmed_at + CONFIRMATION_VALID_FOR)
    }

    /// The latest time such that more than half of the owners accepted a grant sent at or after it.
    ///
    /// Of all records that may be the newest one, the least favourable counts, since a successor
    /// takes its majority from the one that was committed.
    fn majority_accepted_at(&self) -> Option<Instant> {
        let maps = std::iter::once(&self.map).chain(&self.pending_record).chain(&self.in_doubt);
        let times = maps.map(|map| self.majority_accepted_in(map));
        times.min().flatten()
    }

    fn majority_accepted_in(&self, map: &Map) -> Option<Instant> {
        let servers = map.assignments().iter().filter_map(|assignment| assignment.owner.as_ref());
        let owners: BTreeSet<&ServerId> = servers.map(|owner| &owner.server).collect();
        let accepted = |id: &&ServerId| self.owners.get(*id).and_then(|state| state.accepted_at());
        let mut times: Vec<Instant> = owners.iter().filter_map(accepted).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(owners.len() / 2).copied()
    }

    /// Shortens the wait for predecessors once most owners refuse them.
    pub(super) fn update_fence(&mut self, now: Instant) {
        let Some(mut fence) = self.fence.take() else { return };
        if now >= self.predecessors_until {
            return;
        }
        let servers: BTreeSet<&ServerId> = fence.rivals.iter().flatten().collect();
        let newly_refusing = servers.into_iter().filter(|id| self.refuses_predecessors(id));
        let newly_refusing: Vec<ServerId> = newly_refusing.cloned().collect();
        fence.refusing.extend(newly_refusing);
        if !fence.is_complete() {
            self.fence = Some(fence);
            return;
        }
        // The last majority of each rival lies before this moment, and the last call that it
        // permits was sent within `MAJORITY_VALID_FOR` of it.
        let ends = now + MAJORITY_VALID_FOR + MAX_CALL_TIME + MARGIN;
        self.predecessors_until = self.predecessors_until.min(ends);
    }

    /// Whether a server has confirmed all that it holds by the map, under this leader's tokens.
    ///
    /// A predecessor renews all that its own map assigns to the server. The server refuses each
    /// part of it that the present map still assigns to it, since it has accepted a higher token
    /// for that part. A part that has moved away meanwhile is refused as well if the server
    /// answered the release, which carried a higher token. Without an answer the part stays in the
    /// map and must be confirmed until `predecessors_until` has passed, when this check is no
    /// longer needed (`free_lapsed`). Moves in progress therefore need no rule of their own here.
    ///
    /// A server that has restarted under its name counts by what its present incarnation has
    /// confirmed: the predecessor reaches that incarnation only if it was there before this
    /// leader's first grants
    /// ([`OwnerState::is_connection_confirmed`](crate::grantor::owner_state::OwnerState::is_connection_confirmed)).
    fn refuses_predecessors(&self, id: &ServerId) -> bool {
        self.incarnations_of(id).any(|state| {
            let mut assignments = self.map.owned_by(&state.owner.server).peekable();
            let confirmed =
                |assignment: &Assignment| state.has_confirmed(assignment.range, assignment.token);
            state.ended || assignments.peek().is_some() && assignments.all(confirmed)
        })
    }
}

/// Records that may or may not have been committed. A later record that is committed resolves them.
///
/// They all follow the same record and therefore have the same version. If they were stored by
/// version, the last one would replace the others, and owners named only by the first one would be
/// left out of the majorities.
#[derive(Debug, Default)]
pub(super) struct InDoubtRecords(Vec<Map>);

impl InDoubtRecords {
    pub(super) fn add(&mut self, map: Map) {
        // While the store accepts none, the same record is retried several times a second.
        if !self.0.contains(&map) {
            self.0.push(map);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl<'a> IntoIterator for &'a InDoubtRecords {
    type Item = &'a Map;
    type IntoIter = std::slice::Iter<'a, Map>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.iter()
    }
}
