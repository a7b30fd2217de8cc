//! What a host has received from the collectors of its failure domain, and which of them it follows.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::{
    plan::{Plan, ServerLoad},
    report,
    sequence::Newest,
};

/// Plans and server loads for one service.
#[derive(Debug, Clone, Default)]
pub struct Received {
    /// Collectors of this host's reports, the preferred one first.
    collectors: Vec<HostId>,
    validity: Duration,
    by_collector: BTreeMap<HostId, FromCollector>,
}

/// What one collector has sent.
#[derive(Debug, Clone, Default)]
struct FromCollector {
    newest_plan: Newest,
    plan: Option<(Instant, Plan)>,
    newest_servers: Newest,
    servers: BTreeMap<ServerId, (Instant, ServerLoad)>,
    servers_at: Option<Instant>,
    service_times: BTreeMap<u32, Duration>,
}

impl Received {
    /// Sets the collectors, the preferred one first, and the number of hosts in the failure domain. Drops what others have sent.
    pub fn set_collectors(&mut self, collectors: Vec<HostId>, hosts: u32) {
        self.by_collector.retain(|host, _| collectors.contains(host));
        self.collectors = collectors;
        self.validity = report::plan_validity(hosts);
    }

    /// Applies a plan. Returns whether it is newer than the known one of the same collector. The plan of a host that is not a collector
    /// of this host's reports is ignored, since it lacks the load of this host.
    pub fn on_plan(&mut self, from: &HostId, sequence: u32, plan: Plan, now: Instant) -> bool {
        let validity = self.validity;
        let Some(known) = self.entry(from) else { return false };
        let is_newer = known.newest_plan.accept(sequence, now, validity).is_some();
        if is_newer {
            known.plan = Some((now, plan));
        }
        is_newer
    }

    /// Applies loads of servers, and the mean time to an answer by rank. Returns whether they are newer than the known ones of the same
    /// collector.
    pub fn on_servers(
        &mut self,
        from: &HostId,
        sequence: u32,
        servers: BTreeMap<ServerId, ServerLoad>,
        service_times: BTreeMap<u32, Duration>,
        now: Instant,
    ) -> bool {
        let validity = self.validity;
        let Some(known) = self.entry(from) else { return false };
        let is_newer = known.newest_servers.accept(sequence, now, validity).is_some();
        if is_newer {
            known.servers.retain(|_, (at, _)| now.saturating_duration_since(*at) < validity);
            known.servers.extend(servers.into_iter().map(|(id, load)| (id, (now, load))));
            known.servers_at = Some(now);
            known.service_times = service_times;
        }
        is_newer
    }

    /// The plan to follow, and when it arrived: that of the first collector whose plan is not too old. `None` if there is none.
    pub fn plan(&self, now: Instant) -> Option<&(Instant, Plan)> {
        let plans = self.preferred().filter_map(|known| known.plan.as_ref());
        plans.into_iter().find(|(at, _)| self.is_valid(*at, now))
    }

    /// The loads of servers to use, and when each arrived; empty if none are recent.
    pub fn servers(&self, now: Instant) -> BTreeMap<ServerId, (Instant, ServerLoad)> {
        self.servers_from(now).map(|known| known.servers.clone()).unwrap_or_default()
    }

    /// Mean time to an answer by rank, from the same collector as the loads of servers.
    pub fn service_times(&self, now: Instant) -> BTreeMap<u32, Duration> {
        self.servers_from(now).map(|known| known.service_times.clone()).unwrap_or_default()
    }

    fn servers_from(&self, now: Instant) -> Option<&FromCollector> {
        self.preferred().find(|known| known.servers_at.is_some_and(|at| self.is_valid(at, now)))
    }

    fn preferred(&self) -> impl Iterator<Item = &FromCollector> {
        self.collectors.iter().filter_map(|host| self.by_collector.get(host))
    }

    fn is_valid(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) < self.validity
    }

    fn entry(&mut self, from: &HostId) -> Option<&mut FromCollector> {
        let is_collector = self.collectors.contains(from);
        is_collector.then(|| self.by_collector.entry(from.clone()).or_default())
    }
}
