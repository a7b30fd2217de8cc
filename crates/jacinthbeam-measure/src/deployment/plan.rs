//! What a deployment is made of.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam::{config::Division, types::prelude::*};

/// Slots that one backend server owns on average.
const SLOTS_A_SERVER: u32 = 100;

/// What a deployment is made of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Number of entry hosts of each failure domain.
    pub entry_hosts: BTreeMap<FailureDomain, usize>,
    /// Most backend servers of one service; a keyed service has one for each hundred slots.
    pub most_servers: usize,
    /// Backend servers of an undivided service.
    pub undivided_servers: usize,
    /// Time that a backend server takes for a request.
    pub service_time: Duration,
    /// Traffic threads of each entry host.
    pub traffic_threads: usize,
    /// Whether the parts reach each other through a [`Network`](super::Network) that can fail.
    pub network: bool,
}

impl Plan {
    /// Three failure domains of these names with 4, 4 and 3 entry hosts.
    pub fn new(domains: [&str; 3]) -> Self {
        let counts = [4, 4, 3];
        let domain = |name: &str| name.parse().expect("callers give proper names");
        let entry_hosts =
            domains.into_iter().zip(counts).map(|(name, count)| (domain(name), count)).collect();
        Self {
            entry_hosts,
            most_servers: 64,
            undivided_servers: 3,
            service_time: Duration::from_millis(5),
            traffic_threads: 1,
            network: false,
        }
    }

    /// Number of backend servers of a service.
    pub fn servers_of(&self, division: &Division) -> usize {
        match division {
            Division::Keyed { slots } => {
                (slots.div_ceil(SLOTS_A_SERVER) as usize).clamp(1, self.most_servers)
            }
            Division::Undivided => self.undivided_servers,
        }
    }
}
