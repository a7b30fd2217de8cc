//! Fairness between teams and services on one entry host.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;

/// Hint given to a request that found no room.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Who a request belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share {
    /// Team that is charged.
    pub team: TeamName,
    /// Service that is asked.
    pub service: ServiceName,
}

#[derive(Debug, Clone, Copy, Default)]
struct Use {
    guaranteed: u32,
    used: u32,
}

/// Bounds the requests in progress on an entry host and keeps room for every service that is configured.
///
/// Half of the capacity is divided: among the teams by weight, within a team evenly among its
/// services. The other half goes to whoever comes. Without the divided half a service in overload
/// takes all of the host's memory and connections, and the callers of all other services are
/// refused.
///
/// Invariant: the sum of `max(used, guaranteed)` over all shares never exceeds the capacity, so a
/// share below its guarantee is never refused. A change of configuration may break it for as long
/// as requests from before it run.
#[derive(Debug)]
pub struct Teams {
    capacity: u32,
    shares: BTreeMap<Share, Use>,
}

impl Teams {
    /// Divides `capacity` requests in progress among the services.
    pub fn new(
        capacity: u32,
        services: &BTreeMap<ServiceName, TeamName>,
        weights: &BTreeMap<TeamName, u32>,
    ) -> Self {
        let mut teams = Self { capacity, shares: BTreeMap::new() };
        teams.reconfigure(services, weights);
        teams
    }

    /// Takes a new configuration; requests in progress stay counted.
    pub fn reconfigure(
        &mut self,
        services: &BTreeMap<ServiceName, TeamName>,
        weights: &BTreeMap<TeamName, u32>,
    ) {
        for share in self.shares.values_mut() {
            share.guaranteed = 0;
        }
        let mut sizes: BTreeMap<&TeamName, u64> = BTreeMap::new();
        for team in services.values() {
            *sizes.entry(team).or_default() += 1;
        }
        let weight = |team: &TeamName| u64::from(weights.get(team).copied().unwrap_or(1).max(1));
        let total: u64 = sizes.keys().map(|team| weight(team)).sum();
        for (service, team) in services {
            let divided = u64::from(self.capacity / 2);
            let guaranteed = divided * weight(team) / total / sizes[team];
            let share = Share { team: team.clone(), service: service.clone() };
            self.shares.entry(share).or_default().guaranteed = guaranteed as u32;
        }
        self.shares.retain(|_, share| share.guaranteed > 0 || share.used > 0);
    }

    /// Counts a request in, or refuses it. Each success is to be followed by one [`Teams::leave`].
    pub fn enter(&mut self, share: &Share) -> Result<(), Refusal> {
        let present = self.shares.get(share).copied().unwrap_or_default();
        let below = present.used < present.guaranteed;
        if !below && self.committed() >= self.capacity {
            return Err(Refusal::not_run(Reason::Overloaded).retry_after(RETRY_AFTER));
        }
        match self.shares.get_mut(share) {
            Some(known) => known.used += 1,
            None => {
                self.shares.insert(share.clone(), Use { guaranteed: 0, used: 1 });
            }
        }
        Ok(())
    }

    /// Counts a request out.
    pub fn leave(&mut self, share: &Share) {
        let Some(present) = self.shares.get_mut(share) else { return };
        present.used = present.used.saturating_sub(1);
        if present.used == 0 && present.guaranteed == 0 {
            self.shares.remove(share);
        }
    }

    /// Requests in progress.
    pub fn used(&self) -> u32 {
        self.shares.values().map(|share| share.used).sum()
    }

    /// Requests in progress and room kept for shares below their guarantee.
    fn committed(&self) -> u32 {
        self.shares.values().map(|share| share.used.max(share.guaranteed)).sum()
    }
}
