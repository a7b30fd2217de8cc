//! The list of servers for requests and grants, derived from the servers' entries, the configuration and the evacuations.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_route::{Server, Servers};
use jacinthbeam_types::prelude::*;

use super::{Entry, StoreReplica};
use crate::version::Leaving;

impl StoreReplica {
    /// Rebuilds the list of servers. Servers of an evacuated domain are draining; servers are cold until they have warmed up, and again after the
    /// end of an evacuation if their service has slow start.
    pub(super) fn list_servers(&mut self, now: Instant) {
        let mut list = Servers::default();
        self.cold.clear();
        for entry in self.servers.values_mut() {
            let Some(server) = &entry.server else { continue };
            let mut server = server.clone();
            let slow_start = self.config.as_ref().and_then(|cfg| {
                cfg.services.get(&server.service).and_then(|service| service.slow_start)
            });
            if server.is_cold() && entry.warm_at.is_none() {
                entry.warm_at = now.checked_add(server.warmup_left);
            }
            let returned = self.evacuations.returned(&server.domain);
            let warm_again =
                slow_start.and_then(|slow_start| returned?.checked_add(slow_start.lasts));
            let warm_at = entry.warm_at.max(warm_again).filter(|at| *at > now);
            server.draining |= self.evacuations.since(&server.domain).is_some();
            server.cold_rate = slow_start.map(|slow_start| slow_start.rate);
            server.warmup_left = warm_at.map_or(Duration::ZERO, |at| at - now);
            self.cold.extend(warm_at.map(|at| (server.id.clone(), at)));
            list.insert(server);
        }
        self.list = Arc::new(list);
        let leaving = |entry: &Entry| Some((entry.incarnation.clone(), entry.leaving?));
        self.leaving = Arc::new(self.servers.values().filter_map(leaving).collect());
    }

    /// Rebuilds the list if a cold server has become warm. Returns whether one has.
    pub fn expire_cold_servers(&mut self, now: Instant) -> bool {
        let is_over = self.cold.values().any(|until| *until <= now);
        if is_over {
            self.list_servers(now);
        }
        is_over
    }

    /// Cold servers whose service limits their rate of requests, with that rate and the time at which they are warm.
    pub fn cold(&self) -> impl Iterator<Item = (&Server, Rate, Instant)> {
        self.cold.iter().filter_map(|(id, until)| {
            let server = self.list.get(id)?;
            Some((server, server.cold_rate?, *until))
        })
    }

    /// Applies the operator's record of a failure domain's evacuation, or its removal. Returns whether it is newer than the known one.
    pub fn apply_evacuation(
        &mut self,
        domain: FailureDomain,
        offset: Offset,
        evacuated: bool,
        now: Instant,
    ) -> bool {
        let bound = Leaving::after(self.config_as_of);
        self.evacuations.apply(domain, offset, evacuated, bound, now)
    }

    /// Ends the evacuations that a complete list lacks. Returns whether there were any.
    pub fn retain_evacuations(
        &mut self,
        listed: &[FailureDomain],
        end: Offset,
        now: Instant,
    ) -> bool {
        self.evacuations.retain_listed(listed, end, now)
    }

    /// Rebuilds the list of servers after a change of evacuations or of the configuration.
    pub fn on_operator_changed(&mut self, now: Instant) {
        if self.servers_changed.is_some() {
            self.list_servers(now);
        }
    }
}
