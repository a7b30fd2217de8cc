//! Chooses among the servers of a service by the load that all hosts together put on them.
//!
//! The figures are up to half a second old when they are used, and all hosts of a failure domain have the same ones. If each sent to the
//! servers that look free, they would overload them together. So the choice is drawn at random, the free slots that a server has above the
//! mean count less the older the figure is, and each host spreads its own requests, which it knows exactly.

use std::time::{Duration, Instant};

use super::{COLD_FACTOR, FAILING_PENALTY, REMOTE_DOMAIN_PENALTY};
use crate::{ServerStats, retry::STATED_LOAD_TTL};

/// Age from which a figure of the collector isn't used: four intervals of the reports.
pub const MAX_FIGURE_AGE: Duration = Duration::from_secs(1);

/// Age from which a queue that the server has stated isn't used. A server with six slots and work of 160 ms answers eleven requests
/// in this time.
pub const MAX_STATED_AGE: Duration = STATED_LOAD_TTL;

/// Shortest interval between two figures of the collector.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Mean age of the reports in a figure of the collector when it arrives: half the interval of the reports.
const REPORT_AGE: Duration = Duration::from_millis(125);

/// Free share of the own failure domain's slots below which other domains are used. The bytes between domains are charged.
const MIN_FREE_SHARE: f64 = 0.1;

/// Ratio to the free share of the own failure domain from which another domain is used.
const MIN_FREE_RATIO: f64 = 2.0;

/// Expected free slots from which a slow server is preferred for a deferrable request. One slot stays for a request that can't wait, and
/// for the error of the figure.
const SPARE_SLOTS: f64 = 2.0;

/// Share of a deferrable request's objective within which a slow server has to answer to be preferred.
const DEFERRABLE_LATENCY_SHARE: f64 = 0.5;

/// Candidates that are compared for a request. With more of them, hosts with the same figures choose the same server.
const DRAWN: usize = 3;

/// Smallest number of expected free slots that a server is weighted by. Where all are full, the expected latency decides.
const MIN_WEIGHT: f64 = 0.05;

/// By how much each request of this host at a server reduces the weight of the server.
///
/// Hosts that spread their own requests evenly also spread those of all, without a message.
const OWN_REQUEST_FACTOR: f64 = 10.0;

/// How fast the other hosts fill the free slots that a server has above the mean, relative to the rate at which requests end.
///
/// They have the same figures. Without this, all send to the fast servers while these look free: in a trial with the load of
/// `tests/by_load.rs` at 80 %, a fifth of the urgent requests arrived at a server with a queue of six or more.
const FILL_RATE: f64 = 5.0;

/// Age of this host's oldest request at a server, as a multiple of the mean latency, from which the server counts as silent. Answers of the
/// slowest servers and of the longest ordinary requests take less.
const OVERDUE_FACTOR: u32 = 4;

/// A server that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a, Id> {
    /// What this host knows of the server by itself.
    pub server: super::Candidate<'a, Id>,
    /// The load from the hosts of the failure domain; `None` if unknown.
    pub fleet: Option<FleetLoad>,
    /// The queue that the server has stated; `None` if it states nothing.
    pub stated: Option<StatedQueue>,
    /// Share of the slots of the server's failure domain that is free, from 0 to 1; `None` if unknown.
    pub domain_free: Option<f64>,
}

/// The load of a server as known to the collector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLoad {
    /// Requests in flight from other hosts.
    pub others: u32,
    /// Latency of its answers relative to the mean of the fleet; 1 if unknown.
    pub slowness: f64,
    /// Time since the figure arrived.
    pub age: Duration,
}

/// What a server has stated about its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedQueue {
    /// Requests that it processes.
    pub running: u32,
    /// Requests that it has queued.
    pub waiting: u32,
    /// Time since it stated this.
    pub age: Duration,
}

/// The request that a server is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Whether it can wait while more urgent requests are served.
    pub deferrable: bool,
    /// Time within which its answer has its full value.
    pub objective: Duration,
    /// Mean time from the send to the answer; `None` if unknown.
    pub service_time: Option<Duration>,
}

/// Requests of this host that a figure of the collector includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Included {
    arrived: Instant,
    requests: u32,
}

impl Included {
    /// The requests that are included in the figure that arrived at `arrived`, given the record of this or an earlier figure.
    ///
    /// Called before each send, so no request has started since the figure arrived when it is first seen here. Requests that started less
    /// than half the interval of the reports before it arrived are usually not included.
    pub fn update(known: Option<Self>, arrived: Instant, stats: &ServerStats) -> Self {
        let is_same = |known: &Self| known.arrived == arrived;
        known.filter(is_same).unwrap_or_else(|| {
            let reported = arrived.checked_sub(REPORT_AGE).unwrap_or(arrived);
            Self { arrived, requests: stats.in_flight_since(reported) }
        })
    }

    /// Requests in flight from other hosts, given the figure.
    pub fn others(self, in_flight: u32) -> u32 {
        in_flight.saturating_sub(self.requests)
    }
}

/// Returns the server for a request; `None` if there is none, or if the request is deferrable and no server has an expected free slot.
/// `random` returns numbers from 0 to 1.
///
/// Without a figure of the collector that is young enough, this is [`super::best`].
pub fn best<'a, Id>(
    candidates: impl Iterator<Item = Candidate<'a, Id>> + Clone,
    request: &Request,
    now: Instant,
    mut random: impl FnMut() -> f64,
) -> Option<&'a Id> {
    let Some(domain) = Domain::of(candidates.clone(), request, now) else {
        return super::best(candidates.map(|candidate| candidate.server), now, random);
    };
    let estimates = candidates.clone().filter_map(|candidate| domain.estimate(&candidate, now));
    match request.deferrable {
        true => deferrable(estimates, request, &domain, &mut random),
        // Without figures, a server that was full or unreachable a moment ago is used if there is no other. So it is here.
        false => urgent(estimates, &domain, &mut random)
            .or_else(|| super::best(candidates.map(|candidate| candidate.server), now, random)),
    }
}

/// Returns the server with the fewest expected requests for each slot, for a request that can't wait for a free one.
pub fn least_loaded<'a, Id>(
    candidates: impl Iterator<Item = Candidate<'a, Id>> + Clone,
    request: &Request,
    now: Instant,
    mut random: impl FnMut() -> f64,
) -> Option<&'a Id> {
    let Some(domain) = Domain::of(candidates.clone(), request, now) else {
        return super::best(candidates.map(|candidate| candidate.server), now, random);
    };
    let estimates = candidates.clone().filter_map(|candidate| domain.estimate(&candidate, now));
    let near = estimates.filter(|estimate| estimate.near);
    let mut drawn = draw(near, |estimate| estimate.slots / (1.0 + estimate.used), &mut random);
    drawn
        .take(|estimate| estimate.used / estimate.slots, |_| 0.0, 0.0, &mut random)
        .or_else(|| super::best(candidates.map(|candidate| candidate.server), now, random))
}

fn urgent<'a, Id>(
    estimates: impl Iterator<Item = Estimate<'a, Id>> + Clone,
    domain: &Domain,
    random: &mut impl FnMut() -> f64,
) -> Option<&'a Id> {
    let usable = estimates.filter(|estimate| estimate.near || domain.may_leave_for(estimate));
    let weight = |estimate: &Estimate<'a, Id>| {
        (estimate.slots - estimate.used).max(MIN_WEIGHT) / estimate.slowness
    };
    let starts = domain.starts_in_interval(domain.turnover);
    let latency = |estimate: &Estimate<'a, Id>| estimate.latency.as_secs_f64();
    let room = |estimate: &Estimate<'a, Id>| {
        estimate.free + estimate.slots * per_interval(domain.service_time) / estimate.slowness
    };
    let mut drawn = draw(usable, weight, random);
    drawn.take(latency, room, starts, random).or(drawn.first)
}

fn deferrable<'a, Id>(
    estimates: impl Iterator<Item = Estimate<'a, Id>> + Clone,
    request: &Request,
    domain: &Domain,
    random: &mut impl FnMut() -> f64,
) -> Option<&'a Id> {
    let near = estimates.clone().filter(|estimate| estimate.near && estimate.free >= 1.0);
    let limit = request.objective.mul_f64(DEFERRABLE_LATENCY_SHARE);
    let is_spare = |estimate: &Estimate<'a, Id>| {
        estimate.is_healthy && estimate.free >= SPARE_SLOTS && estimate.latency <= limit
    };
    let free = |estimate: &Estimate<'a, Id>| estimate.free;
    let latency = |estimate: &Estimate<'a, Id>| estimate.latency.as_secs_f64();
    let starts = domain.starts_in_interval(domain.service_time);
    draw(near.clone().filter(is_spare), |_| 1.0, random)
        .take(|estimate| -estimate.slowness, free, starts, random)
        .or_else(|| draw(near, free, random).take(latency, free, starts, random))
        .or_else(|| {
            let far = estimates.filter(|estimate| {
                domain.may_leave_for(estimate) && estimate.domain_free >= domain.freest
            });
            draw(far, free, random).take(latency, free, 0.0, random)
        })
}

/// The load of the failure domain of this host, and what a request costs there.
#[derive(Debug)]
struct Domain {
    /// Mean requests in flight for each slot of the servers whose load is known.
    used: f64,
    /// Requests in flight at these servers.
    in_flight: f64,
    /// Share of the slots that is free.
    free: f64,
    /// Largest free share of another domain.
    freest: f64,
    /// Mean latency of the request.
    service_time: Duration,
    /// Mean latency of all requests, after which a figure of the collector says little.
    turnover: Duration,
}

impl Domain {
    /// `None` if there is no figure that is young enough.
    fn of<'a, Id: 'a>(
        candidates: impl Iterator<Item = Candidate<'a, Id>>,
        request: &Request,
        now: Instant,
    ) -> Option<Self> {
        let (mut slots, mut used, mut free) = (0.0, 0.0, 0.0);
        let (mut near, mut measured, mut latency) = (0, 0, Duration::ZERO);
        let (mut planned, mut freest) = (None, None::<f64>);
        for Candidate { server, fleet, domain_free, .. } in candidates {
            if server.stats.has_answered() {
                measured += 1;
                latency += server.stats.mean();
            }
            if !server.near {
                freest = domain_free.map(|free| free.max(freest.unwrap_or_default())).or(freest);
                continue;
            }
            near += 1;
            planned = planned.or(domain_free);
            if let Some(fleet) = fleet.filter(FleetLoad::is_fresh) {
                let available = f64::from(server.slots.max(1));
                let in_flight = f64::from(fleet.others) + f64::from(server.stats.in_flight());
                slots += available;
                used += in_flight;
                if !is_unavailable(server.stats, now) {
                    free += (available - in_flight).max(0.0);
                }
            }
        }
        if slots == 0.0 && (near > 0 || freest.is_none()) {
            return None;
        }
        let turnover = match measured {
            0 => ServerStats::default().mean(),
            measured => latency / measured,
        };
        let slots = f64::max(slots, 1.0);
        Some(Self {
            used: used / slots,
            in_flight: used,
            free: if near == 0 { 0.0 } else { planned.unwrap_or(free / slots) },
            freest: freest.unwrap_or_default(),
            service_time: request.service_time.unwrap_or(turnover),
            turnover,
        })
    }

    /// Whether servers of another domain are used besides those of the own one.
    fn may_leave_for<Id>(&self, estimate: &Estimate<'_, Id>) -> bool {
        !estimate.near
            && self.free < MIN_FREE_SHARE
            && estimate.domain_free >= MIN_FREE_RATIO * self.free
            && estimate.free >= 1.0
    }

    /// What to expect of a server; `None` if it was full or unreachable lately.
    fn estimate<'a, Id>(
        &self,
        candidate: &Candidate<'a, Id>,
        now: Instant,
    ) -> Option<Estimate<'a, Id>> {
        let Candidate { server, fleet, stated, domain_free } = candidate;
        let stats = server.stats;
        if is_unavailable(stats, now) {
            return None;
        }
        let slots = f64::from(server.slots.max(1));
        let domain_free = domain_free.unwrap_or_default();
        let usual = slots * if server.near { self.used } else { 1.0 - domain_free };
        let fleet = fleet.filter(FleetLoad::is_fresh);
        let own = f64::from(stats.in_flight());
        let mut in_flight = fleet.map_or(usual.max(own), |fleet| f64::from(fleet.others) + own);
        let stated = stated.filter(|stated| stated.waiting > 0 && stated.age < MAX_STATED_AGE);
        if let Some(stated) = stated {
            in_flight = in_flight.max(f64::from(stated.running) + f64::from(stated.waiting));
        }
        let used = match fleet {
            Some(fleet) if in_flight < usual => {
                usual - (usual - in_flight) * self.still_free(&fleet)
            }
            _ => in_flight,
        };
        let mut slowness = fleet.map_or(1.0, |fleet| fleet.slowness.max(0.1));
        if server.cold {
            slowness *= COLD_FACTOR;
        }
        let wait = self.turnover.mul_f64(queue(used, slots) / slots);
        let mut latency = (self.service_time + wait).mul_f64(slowness);
        let overdue = OVERDUE_FACTOR * self.service_time.max(stats.mean());
        let silent_for = stats.oldest(now).filter(|oldest| *oldest > overdue);
        let is_healthy = !server.cold && !stats.is_failing() && silent_for.is_none();
        if let Some(oldest) = silent_for {
            latency = latency.max(oldest);
        }
        if stats.is_failing() {
            latency += FAILING_PENALTY;
        }
        if !server.near {
            latency += REMOTE_DOMAIN_PENALTY;
        }
        let free = (slots - in_flight).max(0.0);
        let is_usual = in_flight >= usual;
        let (id, near) = (server.id, server.near);
        Some(Estimate {
            id,
            near,
            slots,
            free,
            is_usual,
            used,
            own,
            slowness,
            is_healthy,
            latency,
            domain_free,
        })
    }

    /// Number of requests that all hosts of the domain start in an interval, if all in flight have this mean latency.
    fn starts_in_interval(&self, latency: Duration) -> f64 {
        self.in_flight * per_interval(latency)
    }

    /// Share of the free slots in a figure of the collector that the other hosts have not filled yet.
    fn still_free(&self, fleet: &FleetLoad) -> f64 {
        let age = (fleet.age + REPORT_AGE).as_secs_f64();
        (-FILL_RATE * age / self.turnover.as_secs_f64().max(0.01)).exp()
    }
}

/// Requests of this mean latency that end in a slot within an interval.
fn per_interval(latency: Duration) -> f64 {
    INTERVAL.as_secs_f64() / latency.as_secs_f64().max(0.01)
}

/// Expected number of requests that one more request waits for. The actual number in flight varies around `used` with about its square root.
fn queue(used: f64, slots: f64) -> f64 {
    let excess = used + 1.0 - slots;
    0.5 * (excess + (excess * excess + used).sqrt())
}

impl FleetLoad {
    fn is_fresh(&self) -> bool {
        self.age <= MAX_FIGURE_AGE
    }
}

fn is_unavailable(stats: &ServerStats, now: Instant) -> bool {
    stats.is_full(now) || stats.is_avoided(now)
}

/// What to expect of a server.
#[derive(Debug)]
struct Estimate<'a, Id> {
    id: &'a Id,
    near: bool,
    slots: f64,
    /// Free slots by the figures.
    free: f64,
    /// Whether it looks no freer than the mean, so that it attracts no more requests than others.
    is_usual: bool,
    /// Requests in flight by now.
    used: f64,
    /// Requests of this host in flight.
    own: f64,
    /// Latency relative to the mean of the fleet.
    slowness: f64,
    /// Whether it is warm, and neither fails nor is silent. Any other looks slow or free without having capacity to spare.
    is_healthy: bool,
    latency: Duration,
    /// Free share of its failure domain.
    domain_free: f64,
}

/// Servers that were drawn for a request.
#[derive(Debug)]
struct Drawn<'a, Id> {
    /// Each with its position in the order of the draw, and its weight.
    servers: [Option<(f64, f64, Estimate<'a, Id>)>; DRAWN],
    /// Sum of the weights of all servers.
    weights: f64,
    /// The server that was considered first.
    first: Option<&'a Id>,
}

/// Draws up to [`DRAWN`] different servers at random in proportion to their weights, which count less for servers with requests of this host.
///
/// Weighted sampling without replacement: those with the smallest of exponentially distributed numbers, whose rates are the weights.
fn draw<'a, Id>(
    estimates: impl Iterator<Item = Estimate<'a, Id>>,
    weight: impl Fn(&Estimate<'a, Id>) -> f64,
    random: &mut impl FnMut() -> f64,
) -> Drawn<'a, Id> {
    let mut drawn = Drawn { servers: Default::default(), weights: 0.0, first: None };
    for estimate in estimates {
        let weight = weight(&estimate);
        drawn.weights += weight;
        let rate = weight / (1.0 + OWN_REQUEST_FACTOR * estimate.own);
        let order = -(1.0 - random()).max(f64::MIN_POSITIVE).ln() / rate;
        let mut next = (order, weight, estimate);
        for place in &mut drawn.servers {
            match place {
                Some(other) if next.0 < other.0 => std::mem::swap(other, &mut next),
                Some(_) => {}
                None => {
                    *place = Some(next);
                    break;
                }
            }
        }
    }
    drawn
}

impl<'a, Id> Drawn<'a, Id> {
    /// Takes the drawn server with the lowest cost that has room for its part of the requests that all hosts start in an interval.
    ///
    /// The other hosts have the same figures, so a server that is chosen with a probability gets this part of all requests. If that is more
    /// than it has room for, it is chosen accordingly less often.
    fn take(
        &mut self,
        cost: impl Fn(&Estimate<'a, Id>) -> f64,
        room: impl Fn(&Estimate<'a, Id>) -> f64,
        starts: f64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<&'a Id> {
        let cost = |place: &Option<(f64, f64, Estimate<'a, Id>)>| {
            place.as_ref().map_or(f64::INFINITY, |(_, _, estimate)| cost(estimate))
        };
        loop {
            let place = self.servers.iter_mut().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
            let (_, weight, estimate) = place.take()?;
            self.first.get_or_insert(estimate.id);
            let share = (DRAWN as f64 * weight / self.weights).min(1.0);
            if estimate.is_usual || room(&estimate) >= random() * share * starts {
                return Some(estimate.id);
            }
        }
    }
}
