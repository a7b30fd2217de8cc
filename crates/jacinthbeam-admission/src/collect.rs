//! Collects the reports of the hosts of one failure domain.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::{
    plan::{DomainLoad, RankLoad, ServerLoad},
    report::{self, HostReport, VALID_INTERVALS},
    sequence::{Accepted, Newest},
};

/// Number of hosts of a failure domain that collect the reports for one service. Each of them gets all reports, so that the loss of one
/// interrupts nothing.
pub const COLLECTORS: usize = 2;

/// Time constant with which rates decay.
const RATE_DECAY: Duration = Duration::from_secs(1);

/// Time constant of the mean time to an answer. A rank of 45 requests/s has 180 answers in it, whose mean varies by a sixteenth.
const SERVICE_TIME_DECAY: Duration = Duration::from_secs(4);

/// Time constant of the slowness of a server, which gets about six requests per second.
const SLOWNESS_DECAY: Duration = Duration::from_secs(8);

/// Number of answers of average latency that a server is credited with. Without them, a single slow answer would count as a slow server.
const ASSUMED_ANSWERS: f32 = 2.0;

/// Number of recent answers below which a server is forgotten.
const MIN_ANSWERS: f32 = 0.05;

/// The hosts out of `hosts` that collect the reports for a service, the preferred one first. Selected by rendezvous hashing, so that a change
/// of the list moves a service's collection only if it concerns one of them.
pub fn select<'a>(
    service: &ServiceName,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Vec<&'a HostId> {
    let mut weighted: Vec<(KeyHash, &HostId)> =
        hosts.map(|host| (weight(service, host), host)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().take(COLLECTORS).map(|(_, host)| host).collect()
}

/// Weight of a host as a collector for a service; the highest is preferred.
pub(crate) fn weight(service: &ServiceName, host: &HostId) -> KeyHash {
    KeyHash::of(format!("{service} {host}").as_bytes())
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was merged.
    Merged,
    /// It is late or a duplicate, and was ignored.
    Stale,
}

/// The load of the hosts of one failure domain on one service.
#[derive(Debug, Clone)]
pub struct Collector {
    started: Instant,
    /// Interval between the reports of a host.
    interval: Duration,
    hosts: BTreeMap<HostId, Host>,
    /// Seconds to the answer, by rank.
    service_times: BTreeMap<u32, RecentMean>,
    /// Latency relative to the fleet's mean, by server.
    slowness: BTreeMap<ServerId, RecentMean>,
}

/// What is known of one host.
#[derive(Debug, Clone, Default)]
struct Host {
    newest: Newest,
    /// Sequence and part of the last merged report.
    merged: (u32, u32),
    reported: Option<Instant>,
    ranks: BTreeMap<u32, HostRank>,
    /// Requests in flight by server.
    servers: BTreeMap<ServerId, u32>,
}

/// The requests of one rank at one host.
#[derive(Debug, Clone, Copy, Default)]
struct HostRank {
    arrival_rate: f32,
    answer_rate: f32,
    waiting: u32,
    in_flight: u32,
}

/// Shortest time that the counts of a report are taken to cover, so that two reports that arrive together don't divide by zero.
const MIN_SPAN: Duration = Duration::from_millis(1);

/// Rate below which a rank of a host is forgotten.
const MIN_RATE: f32 = 0.01;

impl Host {
    fn add_servers(&mut self, report: &HostReport) {
        self.merged = (report.sequence, report.part);
        let in_flight = report.servers.iter().filter(|(_, counts)| counts.in_flight > 0);
        self.servers.extend(in_flight.map(|(id, counts)| (id.clone(), counts.in_flight)));
    }

    /// Replaces the present numbers by those of a report, and adds the counts of `span` to the rates, of which the share `kept` remains.
    fn update(&mut self, report: &HostReport, span: Duration, kept: f32, now: Instant) {
        self.reported = Some(now);
        self.servers.clear();
        self.add_servers(report);
        for rank in report.ranks.keys() {
            self.ranks.entry(*rank).or_default();
        }
        let gain = (1.0 - kept) / span.as_secs_f32().max(MIN_SPAN.as_secs_f32());
        for (rank, known) in &mut self.ranks {
            let counts = report.ranks.get(rank).copied().unwrap_or_default();
            known.arrival_rate = known.arrival_rate * kept + counts.arrivals as f32 * gain;
            known.answer_rate = known.answer_rate * kept + counts.answers as f32 * gain;
            known.waiting = counts.waiting;
            known.in_flight = counts.in_flight;
        }
        self.ranks.retain(|_, rank| {
            rank.waiting + rank.in_flight > 0 || rank.arrival_rate.max(rank.answer_rate) > MIN_RATE
        });
    }
}

impl Collector {
    /// A collector without any report.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            interval: report::interval(0),
            hosts: BTreeMap::new(),
            service_times: BTreeMap::new(),
            slowness: BTreeMap::new(),
        }
    }

    /// Sets the number of hosts of the domain, on which the interval of their reports depends.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.interval = report::interval(hosts);
    }

    /// Whether every host has had the time to report since the first one did. Before that, the load is incomplete and must not be used.
    pub fn is_complete(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.interval * 2
    }

    /// Merges a report.
    pub fn merge(&mut self, from: &HostId, report: HostReport, now: Instant) -> Outcome {
        let valid = self.interval * VALID_INTERVALS;
        let host = self.hosts.entry(from.clone()).or_default();
        if report.part > 0 {
            // Without the parts before it, it says nothing about the present.
            if host.merged != (report.sequence, report.part - 1) {
                return Outcome::Stale;
            }
            host.add_servers(&report);
            self.add_slowness(&report, now);
            return Outcome::Merged;
        }
        let (span, kept) = match host.newest.accept(report.sequence, now, valid) {
            None => return Outcome::Stale,
            // The rates start at those of this report, so that a new collector doesn't state a lower demand for a second.
            Some(Accepted::First) => (self.interval, 0.0),
            // The counts of a lost report are unknown. Assumes that they were like those of this one.
            Some(Accepted::Next { steps, elapsed }) => {
                let elapsed = elapsed.max(MIN_SPAN);
                (elapsed / steps, decay(elapsed, RATE_DECAY))
            }
        };
        for (rank, counts) in report.ranks.iter().filter(|(_, counts)| counts.answers > 0) {
            let mean = self.service_times.entry(*rank).or_insert_with(|| RecentMean::new(now));
            mean.add(counts.answers, counts.busy.as_secs_f32(), now, SERVICE_TIME_DECAY);
        }
        host.update(&report, span, kept, now);
        self.add_slowness(&report, now);
        Outcome::Merged
    }

    fn add_slowness(&mut self, report: &HostReport, now: Instant) {
        for (server, counts) in report.servers.iter().filter(|(_, counts)| counts.answers > 0) {
            let mean = self.slowness.entry(server.clone()).or_insert_with(|| RecentMean::new(now));
            mean.add(counts.answers, counts.slowness, now, SLOWNESS_DECAY);
        }
    }

    /// Drops hosts that have not reported for four intervals, and servers that have not answered for long. If no host is left, the load is
    /// incomplete again: this collector was suspended or cut off.
    pub fn expire(&mut self, now: Instant) {
        let valid = self.interval * VALID_INTERVALS;
        self.hosts.retain(|_, host| host.is_valid(now, valid));
        if self.hosts.is_empty() {
            self.started = now;
        }
        self.slowness.retain(|_, mean| mean.weight_at(now, SLOWNESS_DECAY) > MIN_ANSWERS);
        self.service_times.retain(|_, mean| mean.weight_at(now, SERVICE_TIME_DECAY) > MIN_ANSWERS);
    }

    /// The load of the domain, given the servers of the domain that accept work and are warm, with their slots.
    pub fn load<'a>(
        &self,
        servers: impl Iterator<Item = (&'a ServerId, u32)>,
        now: Instant,
    ) -> DomainLoad {
        let mut ranks: BTreeMap<u32, RankLoad> = BTreeMap::new();
        for (rank, of_host) in self.valid_hosts(now).flat_map(|host| &host.ranks) {
            let load = ranks.entry(*rank).or_default();
            load.arrival_rate += of_host.arrival_rate;
            load.answer_rate += of_host.answer_rate;
            load.waiting += of_host.waiting;
            load.in_flight += of_host.in_flight;
        }
        for (rank, load) in &mut ranks {
            let mean = self.service_times.get(rank).and_then(RecentMean::mean);
            load.service_time = mean.map_or(Duration::ZERO, Duration::from_secs_f32);
        }
        let in_flight = self.in_flight(now);
        let (mut slots, mut busy_slots) = (0, 0);
        for (server, of_server) in servers {
            slots += of_server;
            busy_slots += in_flight.get(server).copied().unwrap_or_default().min(of_server);
        }
        DomainLoad { ranks, slots, busy_slots }
    }

    /// The load of each of `servers`.
    pub fn server_loads<'a>(
        &self,
        servers: impl Iterator<Item = &'a ServerId>,
        now: Instant,
    ) -> BTreeMap<ServerId, ServerLoad> {
        let in_flight = self.in_flight(now);
        let load = |server: &ServerId| {
            let in_flight = in_flight.get(server).copied().unwrap_or_default();
            let slowness = self.slowness.get(server).map_or(1.0, |mean| mean.slowness(now));
            ServerLoad {
                in_flight: u16::try_from(in_flight).unwrap_or(u16::MAX),
                slowness_percent: (slowness * 100.0).round() as u16,
            }
        };
        servers.map(|server| (server.clone(), load(server))).collect()
    }

    fn valid_hosts(&self, now: Instant) -> impl Iterator<Item = &Host> {
        let valid = self.interval * VALID_INTERVALS;
        self.hosts.values().filter(move |host| host.is_valid(now, valid))
    }

    fn in_flight(&self, now: Instant) -> BTreeMap<&ServerId, u32> {
        let mut sums = BTreeMap::new();
        for (server, in_flight) in self.valid_hosts(now).flat_map(|host| &host.servers) {
            *sums.entry(server).or_default() += in_flight;
        }
        sums
    }
}

impl Host {
    fn is_valid(&self, now: Instant, valid: Duration) -> bool {
        self.reported.is_some_and(|at| now.saturating_duration_since(at) < valid)
    }
}

/// Mean of recent values, with weights that decay over time.
#[derive(Debug, Clone, Copy)]
struct RecentMean {
    at: Instant,
    weight: f32,
    total: f32,
}

impl RecentMean {
    fn new(now: Instant) -> Self {
        Self { at: now, weight: 0.0, total: 0.0 }
    }

    fn add(&mut self, count: u32, total: f32, now: Instant, time_constant: Duration) {
        let kept = decay(now.saturating_duration_since(self.at), time_constant);
        self.at = now;
        self.weight = self.weight * kept + count as f32;
        self.total = self.total * kept + total;
    }

    fn weight_at(&self, now: Instant, time_constant: Duration) -> f32 {
        self.weight * decay(now.saturating_duration_since(self.at), time_constant)
    }

    /// `None` without values, or if the sum is not a time that can be represented.
    fn mean(&self) -> Option<f32> {
        let mean = self.total / self.weight;
        (mean.is_finite() && (0.0..1e6).contains(&mean)).then_some(mean)
    }

    /// The mean, drawn to 1 if there are few values.
    fn slowness(&self, now: Instant) -> f32 {
        let weight = self.weight_at(now, SLOWNESS_DECAY);
        let mean = self.mean().unwrap_or(1.0);
        (weight * mean + ASSUMED_ANSWERS) / (weight + ASSUMED_ANSWERS)
    }
}

fn decay(elapsed: Duration, time_constant: Duration) -> f32 {
    (-elapsed.as_secs_f32() / time_constant.as_secs_f32()).exp()
}
