//! One consistent set of everything that a request needs to know.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_range::Map;
use jacinthbeam_route::{Config, Servers};
use jacinthbeam_types::prelude::*;

/// Configuration, backend servers and owners, as this host knows them now. Replaced as a whole at each change.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// `None` until the first configuration was read.
    pub config: Option<Arc<Config>>,
    /// The backend servers.
    pub servers: Arc<Servers>,
    /// When this host learned that a server is leaving, or has left the list.
    pub leaving: Arc<BTreeMap<ServerId, Instant>>,
    /// Owners of the keys of each keyed service.
    pub maps: BTreeMap<ServiceName, Arc<Map>>,
    /// Hosts that share the budget of repeats; 0 until they are known.
    pub hosts: u32,
}

impl View {
    /// Whether a request may still be sent to `server`, given that it may be for `grace` after the word of its leaving.
    pub fn may_send(&self, server: &ServerId, now: Instant, grace: Duration) -> bool {
        match self.leaving.get(server) {
            Some(since) => now.saturating_duration_since(*since) < grace,
            None => self.servers.takes_work(server),
        }
    }
}
