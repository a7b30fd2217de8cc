//! Merges the loads of the other failure domains, as sent by their collectors.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::{
    collect,
    plan::{self, DomainLoad},
    report::{self, VALID_INTERVALS},
    sequence::Newest,
};

/// By how much the interval of the exchange grows with each failure domain.
const INTERVAL_PER_DOMAIN: Duration = Duration::from_millis(30);

/// Interval at which a collector sends the load of its domain to the collectors of the others, given the number of hosts in its failure
/// domain and the number of domains.
pub fn interval(hosts: u32, domains: u32) -> Duration {
    report::interval(hosts).max(INTERVAL_PER_DOMAIN * domains)
}

/// The loads of the other failure domains on one service.
#[derive(Debug, Clone)]
pub struct FleetLoads {
    service: ServiceName,
    interval: Duration,
    received: BTreeMap<(FailureDomain, HostId), Received>,
}

/// The newest load from one collector.
#[derive(Debug, Clone)]
struct Received {
    newest: Newest,
    at: Instant,
    load: DomainLoad,
}

impl FleetLoads {
    /// No loads yet.
    pub fn new(service: ServiceName) -> Self {
        Self { service, interval: interval(0, 0), received: BTreeMap::new() }
    }

    /// Sets the interval of the exchange.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Merges the load of a domain as known to one of its collectors. Returns whether it is newer than the known one.
    pub fn merge(
        &mut self,
        domain: FailureDomain,
        from: HostId,
        sequence: u32,
        load: DomainLoad,
        now: Instant,
    ) -> bool {
        let restart_after = self.interval * VALID_INTERVALS;
        let new = || Received { newest: Newest::default(), at: now, load: DomainLoad::default() };
        let received = self.received.entry((domain, from)).or_insert_with(new);
        let is_newer = received.newest.accept(sequence, now, restart_after).is_some();
        if is_newer {
            (received.at, received.load) = (now, load);
        }
        is_newer
    }

    /// The loads of the reachable domains. If several collectors of a domain have sent one, that of the preferred one is used, also if
    /// another is newer: the numbers of two collectors differ by what one of them has missed, and must not alternate.
    pub fn loads(&self, now: Instant) -> BTreeMap<FailureDomain, DomainLoad> {
        let mut chosen: BTreeMap<&FailureDomain, (KeyHash, &DomainLoad)> = BTreeMap::new();
        for ((domain, from), received) in &self.received {
            if !self.is_valid(received, now) {
                continue;
            }
            let weight = collect::weight(&self.service, from);
            if chosen.get(domain).is_none_or(|(known, _)| *known < weight) {
                chosen.insert(domain, (weight, &received.load));
            }
        }
        chosen.into_iter().map(|(domain, (_, load))| (domain.clone(), load.clone())).collect()
    }

    /// Drops loads that are too old.
    pub fn expire(&mut self, now: Instant) {
        let valid = self.interval * VALID_INTERVALS;
        self.received.retain(|_, received| now.saturating_duration_since(received.at) < valid);
    }

    fn is_valid(&self, received: &Received, now: Instant) -> bool {
        now.saturating_duration_since(received.at) < self.interval * VALID_INTERVALS
    }
}

/// Fleet-wide mean time to an answer by rank, over the ranks where it is known.
pub fn service_times(loads: &BTreeMap<FailureDomain, DomainLoad>) -> BTreeMap<u32, Duration> {
    let times = plan::sum_ranks(loads).into_iter().map(|(rank, sum)| (rank, sum.service_time()));
    times.filter(|(_, time)| !time.is_zero()).collect()
}
