//! Limits the rate at which a host starts the requests of one deferrable rank.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time constant of the measurement of arrivals, in seconds.
const ARRIVAL_WINDOW: f64 = 1.0;

/// Tokens that the bucket can always hold. A host of many has a rate of a few requests per second, whose arrivals are irregular.
const MIN_DEPTH: f64 = 2.0;

/// The bucket holds the tokens of this many seconds if that is more.
const DEPTH_SECONDS: f64 = 0.25;

/// Age of the load that a plan was computed from, when the plan takes effect: half an interval of the reports, half an interval of the plans,
/// and what the messages and threads need.
const LOAD_AGE: Duration = Duration::from_millis(600);

/// Shortest interval in which the demand is noted.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the slots per host that deferrable requests use without a plan.
const OWN_SHARE: f64 = 0.6;

/// Maximum number of deferrable requests in flight at a host without a plan, given the slots of the servers and the number of hosts of its
/// failure domain.
pub fn own_bound(slots: u32, hosts: u32) -> u32 {
    (OWN_SHARE * f64::from(slots) / f64::from(hosts.max(1))).round().max(1.0) as u32
}

/// How fast requests of a rank may be started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// By the plan: requests to start per second, as a fraction of the host's own demand.
    Share(f64),
    /// Without a plan: at most this many requests in flight, each of which takes `service_time`.
    InFlight {
        /// Maximum number of requests in flight.
        bound: u32,
        /// Mean time from start to end.
        service_time: Duration,
    },
}

/// The throttle of one rank.
#[derive(Debug)]
pub struct Throttle {
    /// Arrivals, decaying with [`ARRIVAL_WINDOW`].
    arrivals: f64,
    /// The demand integrated over time, in requests.
    total: f64,
    /// That integral at earlier times.
    totals: VecDeque<(Instant, f64)>,
    /// Up to where the integral has been turned into tokens.
    credited: f64,
    tokens: f64,
    updated: Instant,
    in_flight: u32,
}

impl Throttle {
    /// A throttle without arrivals and with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            arrivals: 0.0,
            total: 0.0,
            totals: VecDeque::new(),
            credited: 0.0,
            tokens: MIN_DEPTH,
            updated: now,
            in_flight: 0,
        }
    }

    /// Brings tokens and arrivals up to date. `waiting` is the number of waiting requests of the rank.
    pub fn advance(&mut self, limit: Limit, waiting: u32, now: Instant) {
        let seconds = now.saturating_duration_since(self.updated).as_secs_f64();
        if seconds == 0.0 {
            return;
        }
        let kept = (-seconds / ARRIVAL_WINDOW).exp();
        self.total += self.arrivals * (1.0 - kept) + f64::from(waiting) * seconds;
        self.arrivals *= kept;
        self.updated = now;
        let planned_for = self.total_before(now);
        if let Limit::Share(share) = limit {
            let filled = self.tokens + share * (planned_for - self.credited);
            self.tokens = filled.min(depth(self.start_rate(limit, waiting)));
        }
        self.credited = planned_for;
    }

    /// Notes the present integral of the demand, and returns that of [`LOAD_AGE`] ago.
    ///
    /// The share refers to the demand that the plan was computed from. If it were applied to the present demand, a burst would start
    /// unthrottled until the first plan that knows of it.
    fn total_before(&mut self, now: Instant) -> f64 {
        let last = self.totals.back().map(|(at, _)| *at);
        if last.is_none_or(|last| now >= last + DEMAND_INTERVAL) {
            self.totals.push_back((now, self.total));
        }
        while self.totals.get(1).is_some_and(|(at, _)| *at + LOAD_AGE <= now) {
            self.totals.pop_front();
        }
        let (Some((from, before)), Some((to, after))) = (self.totals.front(), self.totals.get(1))
        else {
            return self.credited;
        };
        let span = to.saturating_duration_since(*from).as_secs_f64();
        let passed = now.saturating_duration_since(*from + LOAD_AGE).as_secs_f64();
        let total = before + (after - before) * (passed / span).min(1.0);
        total.max(self.credited)
    }

    fn demand(&self, waiting: u32) -> f64 {
        self.arrivals / ARRIVAL_WINDOW + f64::from(waiting)
    }

    /// Counts an arrival, at the time of the last [`Self::advance`].
    pub fn on_arrival(&mut self) {
        self.arrivals += 1.0;
    }

    /// Requests per second that may be started.
    pub fn start_rate(&self, limit: Limit, waiting: u32) -> f64 {
        match limit {
            Limit::Share(share) => share * self.demand(waiting),
            Limit::InFlight { bound, service_time } => {
                f64::from(bound) / service_time.as_secs_f64().max(0.001)
            }
        }
    }

    /// Starts a request if the limit allows that, at the time of the last [`Self::advance`].
    pub fn try_start(&mut self, limit: Limit) -> bool {
        let may_start = match limit {
            Limit::Share(_) => self.tokens >= 1.0,
            Limit::InFlight { bound, .. } => self.in_flight < bound,
        };
        if may_start {
            self.start();
        }
        may_start
    }

    /// Starts a request whatever the tokens, if the plan has capacity for all. The bucket is filled by the demand of some time ago, of which a host
    /// whose traffic has just begun has none.
    pub fn try_start_last(&mut self, limit: Limit) -> bool {
        let may_start = matches!(limit, Limit::Share(share) if share >= 1.0);
        if may_start {
            self.start();
        }
        may_start
    }

    fn start(&mut self) {
        self.in_flight += 1;
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Predicted time until the request behind `ahead` others may be started; [`Duration::MAX`] if that is unknown.
    pub fn predict(&self, limit: Limit, waiting: u32, ahead: u32) -> Duration {
        let ready = match limit {
            Limit::Share(_) => self.tokens,
            Limit::InFlight { bound, .. } => f64::from(bound.saturating_sub(self.in_flight)),
        };
        let missing = (f64::from(ahead) + 1.0 - ready).max(0.0);
        let rate = self.start_rate(limit, waiting);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Records that a started request has ended.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests of this rank in flight from this host.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

fn depth(rate: f64) -> f64 {
    MIN_DEPTH.max(rate * DEPTH_SECONDS)
}
