//! Backend servers that joined of late and have yet to get their share.

use std::time::{Duration, Instant};

use jacinthbeam_placement::Policy;
use jacinthbeam_types::prelude::*;

use crate::process::control::Control;

/// A server that owns this part of an even share of slots is new no more: what is left is for the policy.
const EVEN_ENOUGH: f64 = 0.8;
/// A server is new for no longer than this, filled or not.
const NEW_FOR: Duration = Duration::from_secs(600);

impl Control {
    /// Servers of the service that are to be filled.
    ///
    /// Servers are forgotten as new in the end. Otherwise any of them that is below the mean, as always some are, would draw
    /// slots without end, whatever the policy: seen as a thousand moves a minute.
    pub(super) fn newcomers(
        &mut self,
        now: Instant,
        service: &ServiceName,
        policy: &Policy,
    ) -> Vec<ServerId> {
        let Some(division) = self.state.services.get(service) else { return Vec::new() };
        let active = self.state.servers_of(service).count();
        let even = division.len() as f64 / active.max(1) as f64;
        let mut newcomers = Vec::new();
        for (id, server) in self.state.servers_of(service) {
            let Some(since) = self.placement.cold.get(id).copied() else { continue };
            let is_short = (server.slots().len() as f64) < even * EVEN_ENOUGH;
            let age = now.saturating_duration_since(since);
            if age > NEW_FOR || (age > policy.warm_up && !is_short) {
                self.placement.cold.remove(id);
            } else if is_short {
                newcomers.push(id.clone());
            }
        }
        newcomers
    }
}
