//! A leader that goes on after the store was restored from an older copy.
//!
//! Between its last confirmation and the restore, another host may have taken over, and its record may be lost. That
//! host may renew its grants until its own confirmation expires. Until then this leader grants only what its map assigns,
//! under the tokens that it has: a server that has released keys to the other host, or was granted them by it, refuses
//! these. It assigns no key to another server, raises no token, and uses no connection that was opened since, which
//! might lead to an incarnation of a server that has forgotten the tokens.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use super::Leading;
use crate::grantor::{
    Action,
    timing::{CONTINUITY, restore_wait},
};

/// A restore of the store during this leadership.
#[derive(Debug)]
pub(super) struct Restored {
    /// Era of the store since then.
    era: Era,
    /// No leader of a lost record has grants that hold after this.
    settled_at: Instant,
    /// The store's last confirmation before the restore.
    confirmed_at: Instant,
}

impl Leading {
    /// The store is in a new era and has no record of it. Returns whether this leader may go on.
    pub(in crate::grantor) fn resume_in(&mut self, era: Era, now: Instant) -> bool {
        if let Some(restored) = self.restored.as_ref().filter(|restored| restored.era >= era) {
            return now < restored.settled_at;
        }
        if now.saturating_duration_since(self.confirmed_at) > CONTINUITY {
            return false;
        }
        // Of two restores in a row, connections have to predate the first.
        let earlier = self.restored.take().filter(|restored| now < restored.settled_at);
        let confirmed_at = earlier.map_or(self.confirmed_at, |restored| restored.confirmed_at);
        let settled_at = now + restore_wait();
        self.restored = Some(Restored { era, settled_at, confirmed_at });
        // Reports of predecessors and majorities say nothing of leaders of lost records.
        self.predecessors_until = self.predecessors_until.max(settled_at);
        self.predecessors.clear();
        self.fence = None;
        true
    }

    /// Whether leaders of lost records may still renew.
    pub(in crate::grantor) fn is_unsettled(&self, now: Instant) -> bool {
        self.restored.as_ref().is_some_and(|restored| now < restored.settled_at)
    }

    /// The time before which a connection must have been open for grants over it.
    pub(super) fn connections_confirmed_at(&self) -> Instant {
        match &self.restored {
            // Ends with the first record after the wait.
            Some(restored) if self.map.unsettled || self.map.is_stale(restored.era) => {
                restored.confirmed_at
            }
            _ => self.confirmed_at,
        }
    }

    /// What a leader does while leaders of lost records may still renew.
    pub(super) fn act_unsettled(&mut self, now: Instant, may_record: bool) -> Vec<Action> {
        self.give_up_lost(now);
        let mut actions: Vec<Action> = self.check(now).into_iter().collect();
        if may_record {
            actions.extend(self.record_again());
        }
        actions.extend(self.grants(now));
        actions
    }

    /// Writes the map again if the store has no record of the present era.
    fn record_again(&mut self) -> Option<Action> {
        let era = self.restored.as_ref()?.era;
        if !self.map.is_stale(era) {
            return None;
        }
        let map = self.map.rewritten(era);
        self.pending_record = Some(map.clone());
        Some(Action::Record(map))
    }
}
