//! Counts of the requests of this host to services whose load is exchanged between hosts.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Classes, HostReport,
    report::{RankCounts, ServerCounts},
};
use jacinthbeam_types::prelude::*;

/// Counts by service, written by the traffic thread, which also reports them. The control thread reads them for `/status`.
#[derive(Debug, Clone, Default)]
pub struct LoadCounts(Arc<Mutex<Services>>);

#[derive(Debug, Default)]
struct Services {
    counts: BTreeMap<ServiceName, Counts>,
    /// Number of the counts that were begun last.
    last_number: u64,
}

/// The counts of one service. Those of the next report are reset by it; the numbers in flight and waiting remain.
#[derive(Debug, Default)]
struct Counts {
    /// Differs between the counts of a service before and after they were dropped.
    number: u64,
    next: HostReport,
    /// When the last report was taken.
    taken: Option<Instant>,
    /// Arrivals per second by rank, as of the last report.
    arrival_rates: BTreeMap<u32, f32>,
}

/// The requests of one rank at this host.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RankNow {
    /// Requests that wait for capacity.
    pub waiting: u32,
    /// Requests in flight at servers.
    pub in_flight: u32,
    /// Requests from callers per second, between the last two reports.
    pub arrival_rate: f32,
}

impl LoadCounts {
    /// Counts a request of a caller, also one that is then refused.
    pub fn on_arrival(&self, service: &ServiceName, rank: u32) {
        self.with(service, |counts| counts.next.ranks.entry(rank).or_default().arrivals += 1);
    }

    /// Counts a request as in flight at a server until the result is dropped.
    pub fn on_send<'a>(
        &'a self,
        service: &'a ServiceName,
        rank: u32,
        server: &'a ServerId,
    ) -> InFlight<'a> {
        let number = self.with(service, |counts| {
            counts.next.ranks.entry(rank).or_default().in_flight += 1;
            counts.server(server).in_flight += 1;
            counts.number
        });
        InFlight { counts: self, number, service, rank, server }
    }

    /// Counts an answer that took `took` from the send, at a rank whose fleet-wide mean is `mean`.
    pub fn on_answer(
        &self,
        service: &ServiceName,
        rank: u32,
        server: &ServerId,
        took: Duration,
        mean: Option<Duration>,
    ) {
        let mean = mean.filter(|mean| !mean.is_zero());
        let slowness = mean.map_or(1.0, |mean| took.as_secs_f32() / mean.as_secs_f32());
        self.with(service, |counts| {
            let by_rank = counts.next.ranks.entry(rank).or_default();
            by_rank.answers += 1;
            by_rank.busy += took;
            let by_server = counts.server(server);
            by_server.answers += 1;
            by_server.slowness += slowness;
        });
    }

    /// Counts a request that a server refused because it was full.
    pub fn on_rejected(&self, service: &ServiceName, server: &ServerId) {
        self.with(service, |counts| counts.server(server).refused += 1);
    }

    /// Sets the number of requests of a rank that wait at this host.
    pub fn set_waiting(&self, service: &ServiceName, rank: u32, waiting: u32) {
        self.with(service, |counts| counts.next.ranks.entry(rank).or_default().waiting = waiting);
    }

    /// Takes the report of a service: the counts since the last call, and the present numbers.
    pub fn take_report(&self, service: &ServiceName, now: Instant) -> HostReport {
        self.with(service, |counts| counts.take(now))
    }

    /// The present numbers by rank.
    pub fn ranks(&self, service: &ServiceName) -> BTreeMap<u32, RankNow> {
        let services = self.lock();
        let Some(counts) = services.counts.get(service) else { return BTreeMap::new() };
        let rate = |rank: &u32| counts.arrival_rates.get(rank).copied().unwrap_or_default();
        let now = |(rank, known): (&u32, &RankCounts)| {
            let &RankCounts { waiting, in_flight, .. } = known;
            (*rank, RankNow { waiting, in_flight, arrival_rate: rate(rank) })
        };
        let mut ranks: BTreeMap<u32, RankNow> = counts.next.ranks.iter().map(now).collect();
        for (rank, arrival_rate) in &counts.arrival_rates {
            ranks.entry(*rank).or_default().arrival_rate = *arrival_rate;
        }
        ranks
    }

    /// Drops the counts of services whose load is not exchanged any more.
    pub fn retain(&self, shared: &BTreeMap<ServiceName, Classes>) {
        self.lock().counts.retain(|service, _| shared.contains_key(service));
    }

    fn end(&self, ended: &InFlight<'_>) {
        let mut services = self.lock();
        let counts = services.counts.get_mut(ended.service);
        // The counts may have been dropped since the send, and others begun that don't include it.
        let Some(counts) = counts.filter(|counts| counts.number == ended.number) else { return };
        if let Some(known) = counts.next.ranks.get_mut(&ended.rank) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
        if let Some(known) = counts.next.servers.get_mut(ended.server) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    fn with<R>(&self, service: &ServiceName, f: impl FnOnce(&mut Counts) -> R) -> R {
        let Services { counts, last_number } = &mut *self.lock();
        // Most calls find the service, and need no copy of its name.
        if let Some(counts) = counts.get_mut(service) {
            return f(counts);
        }
        *last_number += 1;
        let new = Counts { number: *last_number, ..Counts::default() };
        f(counts.entry(service.clone()).or_insert(new))
    }

    fn lock(&self) -> MutexGuard<'_, Services> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Counts {
    fn server(&mut self, server: &ServerId) -> &mut ServerCounts {
        if !self.next.servers.contains_key(server) {
            self.next.servers.insert(server.clone(), ServerCounts::default());
        }
        self.next.servers.get_mut(server).expect("it was inserted if it was missing")
    }

    fn take(&mut self, now: Instant) -> HostReport {
        self.next.sequence = self.next.sequence.wrapping_add(1);
        let span = self.taken.replace(now).map(|at| now.saturating_duration_since(at));
        let rate = |counts: &RankCounts| {
            span.map_or(0.0, |span| counts.arrivals as f32 / span.as_secs_f32().max(0.001))
        };
        let rates = self.next.ranks.iter().map(|(rank, counts)| (*rank, rate(counts)));
        self.arrival_rates = rates.collect();
        let report = self.next.clone();
        self.next.ranks.retain(|_, counts| {
            let RankCounts { waiting, in_flight, .. } = *counts;
            *counts = RankCounts { waiting, in_flight, ..RankCounts::default() };
            waiting + in_flight > 0
        });
        self.next.servers.retain(|_, counts| {
            let in_flight = counts.in_flight;
            *counts = ServerCounts { in_flight, ..ServerCounts::default() };
            in_flight > 0
        });
        let HostReport { sequence, part, mut ranks, mut servers } = report;
        ranks.retain(|_, counts| *counts != RankCounts::default());
        servers.retain(|_, counts| *counts != ServerCounts::default());
        HostReport { sequence, part, ranks, servers }
    }
}

/// A request in flight at a server, until dropped.
#[derive(Debug)]
pub struct InFlight<'a> {
    counts: &'a LoadCounts,
    /// Number of the counts that it is part of.
    number: u64,
    service: &'a ServiceName,
    rank: u32,
    server: &'a ServerId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.counts.end(self);
    }
}
