//! What a majority of the owners proves about hosts that lead, or led.
//!
//! Backend servers refuse tokens below the highest one that they have seen. They therefore can serve as the acceptors of a
//! lease: a leader goes on renewing only for [`MAJORITY_VALID_FOR`] after more than half of the owners took its grants (or the store
//! confirmed it), and a successor whose grants were taken by more than half of the same owners knows that the predecessor has no
//! majority from then on. Any two majorities share a server, and that one refuses the predecessor.
//!
//! Without it a successor that hears nothing of its predecessor has to wait for [`CONFIRMATION_VALID_FOR`] before it may count on the end of
//! any hold, and the keys of a server that died at about the same time stay unserved for that long.

use std::{collections::BTreeSet, time::Instant};

use jacinthbeam_types::prelude::*;

use super::Leading;
use crate::{
    grantor::timing::{CONFIRMATION_VALID_FOR, MAJORITY_VALID_FOR, MARGIN, MAX_CALL_TIME},
    map::{Assignment, Map},
};

/// How a leader learns that nobody before it can renew any more.
#[derive(Debug)]
pub(super) struct Fence {
    /// For each that may, the owners that its majorities are taken from.
    rivals: Vec<BTreeSet<ServerId>>,
    /// Servers that take no grant of theirs any more.
    done: BTreeSet<ServerId>,
}

impl Fence {
    /// Looks for a majority against each rival that the first map of this leader names.
    pub(super) fn of(map: &Map) -> Self {
        Self { rivals: map.rivals.clone(), done: BTreeSet::new() }
    }

    fn is_complete(&self) -> bool {
        let has_most = |owners: &BTreeSet<ServerId>| {
            owners.intersection(&self.done).count() * 2 > owners.len()
        };
        self.rivals.iter().all(has_most)
    }
}

impl Leading {
    /// Until when grants may be sent.
    pub(super) fn may_grant_until(&self) -> Instant {
        let seen =
            self.majority_accepted_at().map_or(self.confirmed_at, |at| at.max(self.confirmed_at));
        (seen + MAJORITY_VALID_FOR).min(self.confirmed_at + CONFIRMATION_VALID_FOR)
    }

    /// The latest time after which more than half of the owners took a grant that was sent then or later.
    ///
    /// Of the records that may be the newest one the worst counts, since a successor takes its majority from the one that was
    /// kept.
    fn majority_accepted_at(&self) -> Option<Instant> {
        let maps = std::iter::once(&self.map).chain(&self.pending_record).chain(&self.in_doubt);
        let times = maps.map(|map| self.majority_accepted_in(map));
        times.min().flatten()
    }

    fn majority_accepted_in(&self, map: &Map) -> Option<Instant> {
        let servers = map.assignments().iter().filter_map(|held| held.owner.as_ref());
        let owners: BTreeSet<&ServerId> = servers.map(|owner| &owner.server).collect();
        let taken = |id: &&ServerId| self.owners.get(*id).and_then(|state| state.accepted_at());
        let mut times: Vec<Instant> = owners.iter().filter_map(taken).collect();
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
        let refuse = servers.into_iter().filter(|id| self.refuses_predecessors(id));
        let refuse: Vec<ServerId> = refuse.cloned().collect();
        fence.done.extend(refuse);
        if !fence.is_complete() {
            self.fence = Some(fence);
            return;
        }
        // The last majority of each rival is older than this moment, and its last call was sent within that majority's time.
        let ends = now + MAJORITY_VALID_FOR + MAX_CALL_TIME + MARGIN;
        self.predecessors_until = self.predecessors_until.min(ends);
    }

    /// Whether a server has confirmed all that it holds by the map, under this leader's tokens.
    ///
    /// A predecessor renews all that its own map gives to the server. The server refuses each part of it that the present map
    /// still has, since it has taken a higher token for it. A part that has moved away meanwhile is refused as well if the
    /// server answered the release, which bore a higher token; without an answer the part stays in the map, and has to be
    /// confirmed, until `others_until` has passed, when this is no longer asked (`free_lapsed`). So moves under way need no
    /// rule of their own here.
    ///
    /// A server that has started again under its name counts by what its present life has confirmed: the predecessor reaches that life
    /// only if it was there before this leader's first grants ([`OwnerState::is_connection_confirmed`](crate::grantor::owner_state::OwnerState::is_connection_confirmed)).
    fn refuses_predecessors(&self, id: &ServerId) -> bool {
        self.incarnations_of(id).any(|state| {
            let mut held = self.map.owned_by(&state.owner.server).peekable();
            let confirmed = |held: &Assignment| state.has_confirmed(held.range, held.token);
            state.ended || held.peek().is_some() && held.all(confirmed)
        })
    }
}

/// Records whose fate is not known until a later one is kept.
///
/// They follow the same record and so bear the same version. Kept by version, the last one of them would hide the others, and the
/// owners that only the first one names would not be asked for their word.
#[derive(Debug, Default)]
pub(super) struct InDoubtRecords(Vec<Map>);

impl InDoubtRecords {
    pub(super) fn add(&mut self, map: Map) {
        // The same record is tried again several times a second for as long as the store takes none.
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
