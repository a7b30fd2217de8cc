//! Hosts, servers and callers of one service.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Classes, Plan, ServiceAdmission, WaitMemory,
    plan::{DomainLoad, RankLoad, compute},
    queue::Ticket,
    service::{Arrival, Capacity, Decision},
    throttle::own_bound,
};
use jacinthbeam_types::prelude::Bytes;

pub const URGENT: u32 = 1;
pub const DEFERRABLE: u32 = 2;

const HOSTS: usize = 20;
const SERVERS: usize = 26;
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Step of the clock.
const STEP: Duration = Duration::from_millis(2);
/// Interval of the plans, and their age when they arrive.
const PLAN_EVERY: u32 = 125;
const PLAN_DELAY: Duration = Duration::from_millis(500);

const BURST_AT: f64 = 5.0;
const END: f64 = 22.0;

/// A load pattern.
#[derive(Debug, Clone, Copy)]
pub struct Pattern {
    /// Factor of the deferrable arrivals during the burst.
    pub burst: f64,
    /// Seconds of the burst.
    pub lasts: f64,
    /// Whether half of the requests arrive at a tenth of the hosts.
    pub uneven: bool,
    /// Whether the hosts receive plans.
    pub planned: bool,
    /// Factor of the urgent arrivals.
    pub pressure: f64,
}

/// What became of the requests of one rank.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub arrived: u32,
    /// Answered within the objective.
    pub in_time: u32,
    pub late: u32,
    /// Not answered: the queue of the server was full, or the deadline passed there.
    pub lost: u32,
    pub refused: u32,
    /// Of the refused ones, those that had been predicted to start in time and waited for more than an eighth of the objective.
    pub refused_late: u32,
    /// Deadline passed in the queue of a server while a deferrable request was processed there.
    pub lost_behind_deferrable: u32,
}

impl Outcome {
    /// Share of the full value that was earned; a late answer has `late` of it.
    pub fn value(&self, late: f64) -> f64 {
        (f64::from(self.in_time) + late * f64::from(self.late)) / f64::from(self.arrived)
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    rank: u32,
    host: usize,
    arrived: Instant,
    started: Instant,
    work: f64,
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<(Request, f64)>,
    queue: VecDeque<Request>,
    slow_until: Option<Instant>,
}

#[derive(Default)]
struct Host {
    admission: ServiceAdmission,
    waiting: BTreeMap<Ticket, (Request, Instant)>,
}

pub struct Model {
    rng: fastrand::Rng,
    pattern: Pattern,
    classes: Classes,
    now: Instant,
    hosts: Vec<Host>,
    memory: WaitMemory,
    servers: Vec<Server>,
    /// Plans on their way, with the time of their arrival.
    plans: VecDeque<(Instant, Plan)>,
    plan: Option<Plan>,
    /// Decaying counts of arrivals, answers and service time by rank.
    counts: BTreeMap<u32, [f64; 3]>,
    pub outcomes: BTreeMap<u32, Outcome>,
}

fn objective(rank: u32) -> Duration {
    Duration::from_millis(if rank == URGENT { 600 } else { 5000 })
}

fn timeout(rank: u32) -> Duration {
    Duration::from_millis(if rank == URGENT { 2000 } else { 5000 })
}

impl Model {
    pub fn run(pattern: Pattern, seed: u64) -> BTreeMap<u32, Outcome> {
        let start = Instant::now();
        let mut model = Self {
            rng: fastrand::Rng::with_seed(seed),
            pattern,
            classes: Classes::of(
                [URGENT, DEFERRABLE].map(|rank| (rank, objective(rank))).into_iter(),
            ),
            now: start,
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            memory: WaitMemory::new(Bytes(1 << 32)),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            plans: VecDeque::new(),
            plan: None,
            counts: [(URGENT, [0.0; 3]), (DEFERRABLE, [0.0; 3])].into(),
            outcomes: BTreeMap::new(),
        };
        for step in 0.. {
            model.now = start + STEP * step;
            let seconds = (model.now - start).as_secs_f64();
            if seconds < END {
                model.arrivals(seconds);
            } else if model.is_idle() {
                break;
            }
            model.serve();
            model.decide_waiting();
            if step % PLAN_EVERY == 0 && pattern.planned {
                model.exchange();
            }
        }
        model.outcomes
    }

    fn is_idle(&self) -> bool {
        self.hosts.iter().all(|host| host.waiting.is_empty())
            && self.servers.iter().all(|server| server.running.is_empty())
    }

    fn arrivals(&mut self, seconds: f64) {
        let in_burst = (BURST_AT..BURST_AT + self.pattern.lasts).contains(&seconds);
        let burst = if in_burst { self.pattern.burst } else { 1.0 };
        for (rank, rate, work) in
            [(URGENT, 126.0 * self.pattern.pressure, 0.16), (DEFERRABLE, 60.0 * burst, 0.93)]
        {
            // Poisson arrivals, of which there are fewer than one in a step.
            let mut due = rate * STEP.as_secs_f64();
            while self.rng.f64() < due {
                due -= 1.0;
                let few = self.pattern.uneven && self.rng.bool();
                let host = self.rng.usize(..if few { HOSTS / 10 } else { HOSTS });
                // Mean 1, spread about 0.8.
                let spread = (0.5 * (self.rng.f64() + self.rng.f64() + self.rng.f64() - 1.5) * 2.8)
                    .exp()
                    / 1.13;
                let request = Request {
                    rank,
                    host,
                    arrived: self.now,
                    started: self.now,
                    work: work * spread,
                };
                self.outcome(rank).arrived += 1;
                self.counts.get_mut(&rank).unwrap()[0] += 1.0;
                self.admit(request);
            }
        }
    }

    fn outcome(&mut self, rank: u32) -> &mut Outcome {
        self.outcomes.entry(rank).or_default()
    }

    fn admit(&mut self, request: Request) {
        let Some(class) = self.classes.get(request.rank).filter(|class| class.deferrable) else {
            return self.send(request);
        };
        let arrival = Arrival {
            rank: request.rank,
            class,
            objective: class.objective,
            received: self.now,
            deadline: self.now + timeout(request.rank),
            bytes: Bytes(500),
            caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        };
        let host = &mut self.hosts[request.host];
        let capacity = capacity(self.plan.as_ref());
        match host.admission.arrive(&arrival, capacity, &mut self.memory, self.now) {
            Decision::Start => self.send(request),
            Decision::Wait(ticket, next) => drop(host.waiting.insert(ticket, (request, next))),
            Decision::Refuse(..) => self.outcome(request.rank).refused += 1,
        }
    }

    fn decide_waiting(&mut self) {
        for host in 0..HOSTS {
            let heads: Vec<Ticket> = self.hosts[host].admission.heads().collect();
            let due = self.hosts[host].waiting.iter();
            let due = due.filter(|(ticket, (_, next))| *next <= self.now || heads.contains(ticket));
            let due: Vec<_> = due.map(|(ticket, (request, _))| (*ticket, *request)).collect();
            for (ticket, request) in due {
                let state = &mut self.hosts[host];
                let capacity = capacity(self.plan.as_ref());
                let decision = state.admission.decide(ticket, capacity, &mut self.memory, self.now);
                match decision.unwrap() {
                    Decision::Wait(_, next) => state.waiting.get_mut(&ticket).unwrap().1 = next,
                    Decision::Start => {
                        state.waiting.remove(&ticket);
                        self.send(request);
                    }
                    Decision::Refuse(..) => {
                        state.waiting.remove(&ticket);
                        let waited = self.now - request.arrived;
                        let outcome = self.outcome(request.rank);
                        outcome.refused += 1;
                        outcome.refused_late += u32::from(waited > objective(request.rank) / 8);
                    }
                }
            }
        }
    }

    /// Sends to the least loaded of three servers.
    fn send(&mut self, request: Request) {
        let drawn = [(); 3].map(|()| self.rng.usize(..SERVERS));
        let load = |server: &usize| {
            self.servers[*server].running.len() + self.servers[*server].queue.len()
        };
        let server = drawn.into_iter().min_by_key(load).unwrap();
        if self.servers[server].queue.len() < QUEUE {
            self.servers[server].queue.push_back(Request { started: self.now, ..request });
        } else {
            self.end(request, false);
        }
    }

    fn serve(&mut self) {
        for server in 0..SERVERS {
            let state = &mut self.servers[server];
            // Three times as slow for periods of 400 ms, a fifth of the time.
            if state.slow_until.is_none_or(|until| until < self.now) {
                let slow = self.rng.f64() < STEP.as_secs_f64() / 1.6;
                state.slow_until = slow.then(|| self.now + Duration::from_millis(400));
            }
            let speed = if state.slow_until.is_some() { 1.0 / 3.0 } else { 1.0 };
            state.running.iter_mut().for_each(|(_, left)| *left -= STEP.as_secs_f64() * speed);
            let ended: Vec<Request> = state
                .running
                .extract_if(.., |(_, left)| *left <= 0.0)
                .map(|(request, _)| request)
                .collect();
            let mut expired = Vec::new();
            while state.running.len() < SLOTS
                && let Some(request) = state.queue.pop_front()
            {
                if self.now < request.arrived + timeout(request.rank) {
                    state.running.push((request, request.work));
                } else {
                    expired.push(request);
                }
            }
            let behind = state.running.iter().any(|(request, _)| request.rank == DEFERRABLE);
            ended.into_iter().for_each(|request| self.end(request, true));
            for request in expired {
                self.outcome(request.rank).lost_behind_deferrable += u32::from(behind);
                self.end(request, false);
            }
        }
    }

    fn end(&mut self, request: Request, answered: bool) {
        let (took, busy) = (self.now - request.arrived, self.now - request.started);
        if self.classes.is_deferrable(request.rank) {
            self.hosts[request.host].admission.on_end(request.rank, busy);
        }
        let outcome = self.outcomes.entry(request.rank).or_default();
        match answered {
            true if took <= objective(request.rank) => outcome.in_time += 1,
            true => outcome.late += 1,
            false => outcome.lost += 1,
        }
        if answered {
            let counts = self.counts.get_mut(&request.rank).unwrap();
            counts[1] += 1.0;
            counts[2] += busy.as_secs_f64();
        }
    }

    /// Publishes the plan for the current load, and lets the plan take effect that has arrived.
    fn exchange(&mut self) {
        let in_flight = |rank: u32| {
            let requests = self.servers.iter().flat_map(|server| {
                server.running.iter().map(|(request, _)| request).chain(&server.queue)
            });
            requests.filter(|request| request.rank == rank).count() as u32
        };
        let load = |(rank, counts): (&u32, &[f64; 3])| {
            let [arrivals, answers, busy] = *counts;
            let waiting = self.hosts.iter().map(|host| host.admission.waiting_of(*rank)).sum();
            let service_time = Duration::from_secs_f64(busy / f64::max(answers, 1.0));
            let load = RankLoad {
                arrival_rate: arrivals as f32,
                waiting,
                in_flight: in_flight(*rank),
                answer_rate: answers as f32,
                service_time,
            };
            (*rank, load)
        };
        let ranks = self.counts.iter().map(load).collect();
        let slots = (SERVERS * SLOTS) as u32;
        let load = DomainLoad { ranks, slots, busy_slots: 0 };
        let plan = compute(&BTreeMap::from([("a".parse().unwrap(), load)]), &self.classes);
        self.plans.push_back((self.now + PLAN_DELAY, plan));
        while self.plans.front().is_some_and(|(at, _)| *at <= self.now) {
            self.plan = self.plans.pop_front().map(|(_, plan)| plan);
        }
        // Rates decay with a time constant of one second.
        let decay = (-f64::from(PLAN_EVERY) * STEP.as_secs_f64()).exp();
        self.counts.values_mut().flatten().for_each(|count| *count *= decay);
    }
}

fn capacity(plan: Option<&Plan>) -> Capacity<'_> {
    let own_bound = own_bound((SERVERS * SLOTS) as u32, HOSTS as u32);
    Capacity { plan: plan.map(|plan| (Duration::ZERO, plan)), own_bound }
}
