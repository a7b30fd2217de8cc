//! Admits the requests of one service at a host: whether one may start now, has to wait, or is refused.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::Bytes;

use crate::{
    Plan, WaitMemory, WaitQueue,
    classes::Class,
    plan,
    queue::{Entry, Ticket, latest_start},
    throttle::{Limit, Throttle},
};

/// Weight of the newest service time in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Interval in which the first waiting request of a rank is decided again. A new plan or the loss of the plan takes effect within it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest pause before a waiting request is decided again.
const MIN_RECHECK: Duration = Duration::from_millis(10);

/// Longest retry hint. Load patterns change within that time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// What a host knows of the capacity for a service.
#[derive(Debug, Clone, Copy)]
pub struct Capacity<'a> {
    /// The plan and its age; `None` if there is no valid one.
    pub plan: Option<(Duration, &'a Plan)>,
    /// Maximum number of deferrable requests in flight without a plan; see [`crate::throttle::own_bound`].
    pub own_bound: u32,
}

/// A request of a deferrable rank that arrives.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Its rank.
    pub rank: u32,
    /// The class of the rank.
    pub class: Class,
    /// Objective of its route.
    pub objective: Duration,
    /// When its head was received, with which the objective begins.
    pub received: Instant,
    /// When its response is due.
    pub deadline: Instant,
    /// Size of its head and body.
    pub bytes: Bytes,
    /// Address of its caller.
    pub caller: IpAddr,
}

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It starts now, and [`ServiceAdmission::on_end`] has to be called when it has ended.
    Start,
    /// It waits. It has to be decided again at this time, or when it has become the first of its rank.
    Wait(Ticket, Instant),
    /// It is refused, and would have capacity after this time.
    Refuse(Duration, Forecast),
}

/// What a refusal was decided by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Age of the plan; `None` without a plan.
    pub plan_age: Option<Duration>,
    /// Share of the rank in the plan.
    pub share: Option<f64>,
    /// Predicted time until the request could have started; [`Duration::MAX`] if unknown.
    pub wait: Duration,
    /// Waiting requests ahead of it.
    pub ahead: u32,
}

/// The deferrable requests of a service at a host.
#[derive(Debug, Default)]
pub struct ServiceAdmission {
    ranks: BTreeMap<u32, Rank>,
    queue: WaitQueue,
}

#[derive(Debug)]
struct Rank {
    throttle: Throttle,
    /// Mean time from the start to the end of this host's requests; zero before the first.
    service_time: Duration,
    objective: Duration,
}

impl Rank {
    /// Mean service time by the plan, otherwise by this host's requests, otherwise by the objective.
    fn service_time(&self, planned: Duration) -> Duration {
        let measured = if planned.is_zero() { self.service_time } else { planned };
        plan::service_time(measured, self.objective)
    }
}

impl ServiceAdmission {
    /// Decides about a request that arrives.
    pub fn arrive(
        &mut self,
        arrival: &Arrival,
        capacity: Capacity<'_>,
        memory: &mut WaitMemory,
        now: Instant,
    ) -> Decision {
        let Arrival { rank, objective, received, deadline, bytes, caller, .. } = *arrival;
        let new = || Rank {
            throttle: Throttle::new(now),
            service_time: Duration::ZERO,
            objective: arrival.class.objective,
        };
        let state = self.ranks.entry(rank).or_insert_with(new);
        let (limit, service_time) = limit(state, rank, capacity);
        let waiting = self.queue.waiting(rank);
        state.throttle.advance(limit, waiting, now);
        state.throttle.on_arrival();
        if waiting == 0 && state.throttle.try_start(limit) {
            return Decision::Start;
        }
        let ahead = self.queue.ahead_of(rank, deadline);
        let wait = state.throttle.predict(limit, waiting, ahead);
        let latest_start = latest_start(received, objective, service_time, deadline);
        let left = latest_start.saturating_duration_since(now);
        let forecast = forecast(rank, capacity, wait, ahead);
        if wait > left {
            let delay = if wait == Duration::MAX { wait } else { wait - left };
            return Decision::Refuse(retry_delay(delay, service_time), forecast);
        }
        let entry = Entry { rank, deadline, latest_start, bytes, caller };
        match self.queue.add(entry, memory) {
            Some(ticket) => Decision::Wait(ticket, self.next_decision(ticket, limit, now)),
            // The memory is free again when the requests have started that wait now.
            None => Decision::Refuse(retry_delay(wait, service_time), forecast),
        }
    }

    /// Decides again about a waiting request. Unless it goes on waiting, it has left the queue. `None` if it did not wait.
    pub fn decide(
        &mut self,
        ticket: Ticket,
        capacity: Capacity<'_>,
        memory: &mut WaitMemory,
        now: Instant,
    ) -> Option<Decision> {
        let entry = *self.queue.get(ticket)?;
        let rank = ticket.rank();
        let waiting = self.queue.waiting(rank);
        let state = self.ranks.get_mut(&rank)?;
        let (limit, service_time) = limit(state, rank, capacity);
        state.throttle.advance(limit, waiting, now);
        let is_first = self.queue.first(rank) == Some(ticket);
        if is_first && now <= entry.latest_start && state.throttle.try_start(limit) {
            self.queue.remove(ticket, memory);
            return Some(Decision::Start);
        }
        if now >= entry.latest_start {
            if state.throttle.try_start_last(limit) {
                self.queue.remove(ticket, memory);
                return Some(Decision::Start);
            }
            let ahead = self.queue.ahead(ticket);
            let wait = state.throttle.predict(limit, waiting, ahead);
            self.queue.remove(ticket, memory);
            let forecast = forecast(rank, capacity, wait, ahead);
            return Some(Decision::Refuse(retry_delay(wait, service_time), forecast));
        }
        Some(Decision::Wait(ticket, self.next_decision(ticket, limit, now)))
    }

    /// Removes a request that no longer waits, because its caller has left, the host stops, or the service is no longer throttled.
    /// Returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket, memory: &mut WaitMemory) -> bool {
        self.queue.remove(ticket, memory).is_some()
    }

    /// Records the end of a request that was started `took` ago.
    pub fn on_end(&mut self, rank: u32, took: Duration) {
        let Some(state) = self.ranks.get_mut(&rank) else { return };
        state.throttle.on_end();
        let known = state.service_time;
        state.service_time = match known.is_zero() {
            true => took,
            false => known.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT),
        };
    }

    /// The waiting requests that start next, one of each rank.
    pub fn heads(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.queue.heads()
    }

    /// Number of waiting requests by rank. A rank is listed once a request of it has waited.
    pub fn waiting(&self) -> BTreeMap<u32, u32> {
        self.queue.waiting_by_rank()
    }

    /// Number of waiting requests of a rank.
    pub fn waiting_of(&self, rank: u32) -> u32 {
        self.queue.waiting(rank)
    }

    /// Requests of a deferrable rank in flight from this host.
    pub fn in_flight(&self, rank: u32) -> u32 {
        self.ranks.get(&rank).map_or(0, |state| state.throttle.in_flight())
    }

    /// When a waiting request is decided again. Only the first of its rank can start; the others are decided at their latest start.
    fn next_decision(&self, ticket: Ticket, limit: Limit, now: Instant) -> Instant {
        let rank = ticket.rank();
        let latest_start = self.queue.get(ticket).map_or(now, |entry| entry.latest_start);
        if self.queue.first(rank) != Some(ticket) {
            return latest_start;
        }
        let state = self.ranks.get(&rank);
        let wait = state.map(|state| state.throttle.predict(limit, self.queue.waiting(rank), 0));
        let wait = wait.unwrap_or(RECHECK_INTERVAL).clamp(MIN_RECHECK, RECHECK_INTERVAL);
        latest_start.min(now + wait)
    }
}

/// The limit of a rank, and its mean service time.
fn limit(state: &Rank, rank: u32, capacity: Capacity<'_>) -> (Limit, Duration) {
    let planned = capacity.plan.and_then(|(_, plan)| plan.ranks.get(&rank));
    let service_time =
        state.service_time(planned.map(|plan| plan.service_time).unwrap_or_default());
    let limit = match planned {
        Some(plan) => Limit::Share(f64::from(plan.share)),
        None => Limit::InFlight { bound: capacity.own_bound, service_time },
    };
    (limit, service_time)
}

fn forecast(rank: u32, capacity: Capacity<'_>, wait: Duration, ahead: u32) -> Forecast {
    let planned = capacity.plan.and_then(|(age, plan)| Some((age, plan.ranks.get(&rank)?)));
    Forecast {
        plan_age: planned.map(|(age, _)| age),
        share: planned.map(|(_, plan)| f64::from(plan.share)),
        wait,
        ahead,
    }
}

/// The retry hint for a predicted time until there is capacity. If that is unknown, capacity is expected after one service time.
fn retry_delay(predicted: Duration, service_time: Duration) -> Duration {
    if predicted == Duration::MAX { service_time } else { predicted.min(MAX_RETRY_DELAY) }
}
