//! Decides which hosts are standbys for the duty to grant, by their share of a processor. No I/O.
//!
//! The group assigns duties evenly, without regard to the hosts. A host that grants the keys of some hundred servers makes a thousand calls a
//! second. A host with a tenth of a core could make some 900 calls and do nothing else (1,800 were measured with a fifth of a core): its right
//! to grant expires in the middle of a round, and it falls behind on updates from the store. Hosts with less processor therefore join only when
//! no heartbeat arrives from a granting host.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// Smallest number of hosts that take duties, if the fleet has that many: some may be unreachable, and a duty needs another host then.
const MIN_HOSTS: usize = 6;

/// Smallest number of failure domains of these hosts, if the fleet has that many, so that the loss of one leaves a host with duties.
const MIN_DOMAINS: usize = 2;

/// Time without a heartbeat from any granting host after which every host takes duties. A handover of duties takes some 3 s, and a failure
/// domain that is partitioned from a granting host for less than this takes no duty from it.
const TAKEOVER_AFTER: Duration = Duration::from_secs(8);

/// Time that a process which knows few hosts stays a standby after its start, until all hosts that start with it have registered.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Standby state of one incarnation of a process.
#[derive(Debug, Clone, Copy)]
pub struct Standby {
    started: Instant,
    /// Whether a list of hosts is known, and with it those with more processor.
    hosts_known: bool,
    /// The latest heartbeat of another granting host.
    heartbeat: Option<Instant>,
}

impl Standby {
    /// A process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { started: now, hosts_known: false, heartbeat: None }
    }

    /// A list of hosts has become known.
    pub fn on_hosts_known(&mut self) {
        self.hosts_known = true;
    }

    /// A heartbeat arrived from another granting host.
    pub fn on_grantor_heartbeat(&mut self, now: Instant) {
        self.heartbeat = Some(now);
    }

    /// Whether a host with the processor share `own` is a standby. `fleet` lists all hosts.
    pub fn stands_by<'a>(
        &self,
        now: Instant,
        own: Millicores,
        fleet: impl Iterator<Item = (&'a FailureDomain, Millicores)>,
    ) -> bool {
        let fleet: Vec<_> = fleet.collect();
        if !self.hosts_known || fleet.len() < MIN_HOSTS && now < self.started + DISCOVERY_TIME {
            return true;
        }
        let silent_since = self.heartbeat.map_or(self.started, |at| at.max(self.started));
        own < min_processor(fleet) && now < silent_since + TAKEOVER_AFTER
    }
}

/// The smallest processor share of a host that takes duties.
fn min_processor(mut fleet: Vec<(&FailureDomain, Millicores)>) -> Millicores {
    fleet.sort_by_key(|(_, processor)| std::cmp::Reverse(*processor));
    let mut domains = BTreeSet::new();
    for (n, (domain, processor)) in fleet.iter().enumerate() {
        domains.insert(*domain);
        if n + 1 >= MIN_HOSTS && domains.len() >= MIN_DOMAINS {
            return *processor;
        }
    }
    fleet.last().map_or(Millicores::default(), |(_, processor)| *processor)
}
