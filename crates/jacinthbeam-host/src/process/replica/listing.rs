//! The list of servers for requests and grants, derived from the servers' entries, the configuration and the evacuations.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use super::{Entry, StoreReplica};
use crate::version::Leaving;

impl StoreReplica {
    /// Rebuilds the list of servers. Servers of an evacuated domain are draining; servers are cold until they have warmed up, and again after the
    /// end of an evacuation if their service has slow start.
    pub(super) fn list_servers(&mut self, now: Instant) {
        self.outdated = self.servers.keys().cloned().collect();
        self.update_list(now);
    }

    /// Replaces the outdated entries of the list.
    pub(super) fn update_list(&mut self, now: Instant) {
        let list = Arc::make_mut(&mut self.list);
        for name in std::mem::take(&mut self.outdated) {
            let Some(entry) = self.servers.get_mut(&name) else { continue };
            if let Some(listed) = entry.listed.take() {
                list.remove(&listed);
                self.cold.remove(&listed);
            }
            let Some(server) = &entry.server else { continue };
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
            let server = Server {
                draining: server.draining || self.evacuations.since(&server.domain).is_some(),
                cold_rate: slow_start.map(|slow_start| slow_start.rate),
                warmup_left: warm_at.map_or(Duration::ZERO, |at| at - now),
                ..server.clone()
            };
            self.cold.extend(warm_at.map(|at| (server.id.clone(), at)));
            entry.listed = Some(server.id.clone());
            list.insert(server);
        }
        let leaving = |entry: &Entry| Some((entry.incarnation.clone(), entry.leaving?));
        self.leaving = Arc::new(self.servers.values().filter_map(leaving).collect());
    }

    /// Updates the list if a cold server has become warm. Returns whether one has.
    pub fn expire_cold_servers(&mut self, now: Instant) -> bool {
        let warm = self.cold.iter().filter(|(_, until)| **until <= now);
        let warm: Vec<ServerName> = warm.map(|(id, _)| id.name().clone()).collect();
        let is_over = !warm.is_empty();
        if is_over {
            self.outdated.extend(warm);
            self.update_list(now);
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

    /// Whether an evacuation record that came with data up to `end` was replaced by one that this replica, which has later data, knows already.
    pub fn is_evacuation_superseded(&self, offset: Offset, end: Offset) -> bool {
        self.evacuations.is_superseded(offset, end)
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

    /// Notes that all of the operator's records before `end` have been applied.
    pub fn mark_evacuations_current(&mut self, end: Offset) {
        self.evacuations.mark_current(end);
    }

    /// Rebuilds the list of servers after a change of evacuations or of the configuration.
    pub fn on_operator_changed(&mut self, now: Instant) {
        if self.servers_changed.is_some() {
            self.list_servers(now);
        }
    }
}
