//! Simulates one failure domain with high load on a service whose requests are of two kinds: urgent ones with an objective of 600 ms, and
//! deferrable ones with an objective of 5 s.
//!
//! Twenty hosts send to twelve servers of three speeds with six slots each. The machine of each server is three times as slow for moments
//! of 400 ms, a fifth of the time. Hosts report their requests in flight every 250 ms, and get the sums every 250 ms.

use std::time::{Duration, Instant};

use jacinthbeam_dispatch::{
    ServerStats,
    choose::{
        self,
        by_load::{self, Candidate, FleetLoad, Included, Request},
    },
    subset::{Position, is_in_subset},
};

const HOSTS: usize = 20;
const SERVERS: usize = 12;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
const STEP_S: f64 = 0.005;
const INTERVAL_S: f64 = 0.25;

/// Share of the machine's usual work that is done on average, with its slow moments.
const MEAN_RATE: f64 = 0.8 + 0.2 / 3.0;

struct Kind {
    work_s: f64,
    objective_s: f64,
    /// Share of the requests.
    share: f64,
    /// By how much an answer is worth less if it is late.
    late_loss: f64,
}

const URGENT: Kind = Kind { work_s: 0.16, objective_s: 0.6, share: 0.68, late_loss: 2.3 - 0.69 };
const DEFERRABLE: Kind =
    Kind { work_s: 0.93, objective_s: 5.0, share: 0.32, late_loss: 0.38 - 0.17 };

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// Each host's own observations.
    Own,
    /// With the load from all hosts.
    ByLoad,
    /// The same with figures that are more than two seconds old.
    Stale,
    /// The present load and speed of each server: a bound for any strategy.
    Exact,
}

struct InFlight {
    host: usize,
    urgent: bool,
    sent_s: f64,
    begun: Instant,
    work_left_s: f64,
}

#[derive(Default)]
struct Server {
    /// The first [`SLOTS`] run, the others wait.
    requests: Vec<InFlight>,
    slow_until_s: f64,
    next_slow_s: f64,
    /// Factor on its speed, apart from slow moments.
    speed: f64,
    /// Decayed sum of relative latencies, and number of answers.
    slowness: (f64, f64),
    /// Requests that were sent to it in each interval, urgent ones and all.
    sent: Vec<(u32, u32)>,
}

struct Simulation {
    strategy: Strategy,
    rng: fastrand::Rng,
    epoch: Instant,
    now_s: f64,
    servers: Vec<Server>,
    stats: Vec<Vec<ServerStats>>,
    included: Vec<Vec<Option<Included>>>,
    /// Last report of each host, requests in flight by server.
    reports: Vec<Vec<u32>>,
    /// Last figures by server, and when they arrived.
    figures: Option<(f64, Vec<(u32, f64)>)>,
    /// A server that gets no requests.
    absent: Option<usize>,
    /// Mean latency of urgent and deferrable requests.
    mean_s: [f64; 2],
    /// Answers to urgent and deferrable requests, late ones and all.
    answers: [(u32, u32); 2],
}

impl Simulation {
    fn new(strategy: Strategy, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let server = |n: usize| Server {
            speed: SPEEDS[n % SPEEDS.len()],
            next_slow_s: 2.0 * rng.f64(),
            ..Server::default()
        };
        Self {
            strategy,
            servers: (0..SERVERS).map(server).collect(),
            rng,
            epoch: Instant::now(),
            now_s: 0.0,
            stats: vec![vec![ServerStats::default(); SERVERS]; HOSTS],
            included: vec![vec![None; SERVERS]; HOSTS],
            reports: vec![vec![0; SERVERS]; HOSTS],
            figures: None,
            absent: None,
            mean_s: [URGENT.work_s, DEFERRABLE.work_s],
            answers: [(0, 0); 2],
        }
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_secs_f64(self.now_s)
    }

    /// Runs until `until_s` with this share of the slots in use.
    fn run(&mut self, until_s: f64, used: f64) {
        let mean_work_s = URGENT.share * URGENT.work_s + DEFERRABLE.share * DEFERRABLE.work_s;
        let rate = used * (SERVERS * SLOTS) as f64 * MEAN_RATE / mean_work_s;
        let mut next_s = self.now_s;
        while self.now_s < until_s {
            while next_s <= self.now_s {
                self.arrive();
                next_s -= (1.0 - self.rng.f64()).ln() / rate;
            }
            self.exchange();
            self.now_s += STEP_S;
            (0..SERVERS).for_each(|n| self.work(n));
        }
    }

    /// Each host reports at a time of its own; the figures are sent at the start of each interval.
    fn exchange(&mut self) {
        let phase = (self.now_s / STEP_S).round() as usize % (INTERVAL_S / STEP_S).round() as usize;
        for host in (0..HOSTS).filter(|host| host * 2 + 5 == phase) {
            self.reports[host] = self.stats[host].iter().map(ServerStats::in_flight).collect();
        }
        if phase == 0 {
            let sum = |n: usize| self.reports.iter().map(|report| report[n]).sum();
            let slowness = |server: &Server| match server.slowness {
                (sum, count) if count > 0.5 => sum / count,
                _ => 1.0,
            };
            let figures = self.servers.iter().enumerate().map(|(n, s)| (sum(n), slowness(s)));
            self.figures = Some((self.now_s, figures.collect()));
            self.servers.iter_mut().for_each(|server| server.sent.push((0, 0)));
        }
    }

    fn sent_urgent(&self) -> Vec<u32> {
        let sent = |server: &Server| server.sent.iter().map(|(urgent, _)| urgent).sum();
        self.servers.iter().map(sent).collect()
    }

    fn rate(&self, n: usize) -> f64 {
        let is_slow = self.now_s < self.servers[n].slow_until_s;
        self.servers[n].speed * if is_slow { 1.0 / 3.0 } else { 1.0 }
    }

    fn work(&mut self, n: usize) {
        if self.now_s >= self.servers[n].next_slow_s {
            self.servers[n].slow_until_s = self.now_s + 0.4;
            self.servers[n].next_slow_s = self.now_s + 0.4 + 3.2 * self.rng.f64();
        }
        let done_s = self.rate(n) * STEP_S;
        let server = &mut self.servers[n];
        let decay = (-STEP_S / 8.0).exp();
        server.slowness = (server.slowness.0 * decay, server.slowness.1 * decay);
        server.requests.iter_mut().take(SLOTS).for_each(|request| request.work_left_s -= done_s);
        let ended = server.requests.extract_if(.., |request| request.work_left_s <= 0.0);
        for request in ended.collect::<Vec<_>>() {
            let took_s = self.now_s - request.sent_s;
            let stats = &mut self.stats[request.host][n];
            stats.end(request.begun);
            stats.on_answer(Duration::from_secs_f64(took_s));
            let (at, kind) = if request.urgent { (0, URGENT) } else { (1, DEFERRABLE) };
            let slowness = &mut self.servers[n].slowness;
            *slowness = (slowness.0 + took_s / self.mean_s[at], slowness.1 + 1.0);
            self.mean_s[at] += 0.01 * (took_s - self.mean_s[at]);
            self.answers[at].0 += u32::from(took_s > kind.objective_s);
            self.answers[at].1 += 1;
        }
    }

    fn arrive(&mut self) {
        let host = self.rng.usize(..HOSTS);
        let urgent = self.rng.f64() < URGENT.share;
        let kind = if urgent { URGENT } else { DEFERRABLE };
        let n = match self.strategy {
            Strategy::Exact => self.choose_exactly(&kind, urgent),
            _ => self.choose(host, &kind, urgent),
        };
        // Log-normal with mean 1 and a spread of 0.8.
        let normal = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        let spread = (0.7 * normal - 0.245).exp();
        let begun = self.now();
        let full = self.servers[n].requests.len() >= SLOTS + QUEUE;
        if full {
            self.stats[host][n].on_full(begun);
            self.answers[usize::from(!urgent)].0 += 1;
            self.answers[usize::from(!urgent)].1 += 1;
            return;
        }
        self.stats[host][n].begin(begun);
        let work_left_s = kind.work_s * spread;
        let sent_s = self.now_s;
        self.servers[n].requests.push(InFlight { host, urgent, sent_s, begun, work_left_s });
        if let Some(sent) = self.servers[n].sent.last_mut() {
            *sent = (sent.0 + u32::from(urgent), sent.1 + 1);
        }
    }

    fn choose(&mut self, host: usize, kind: &Kind, urgent: bool) -> usize {
        let now = self.now();
        let is_stale = self.strategy == Strategy::Stale;
        let figures = self.figures.as_ref();
        let position = Position { index: host as u32, hosts: HOSTS as u32 };
        let ids: Vec<usize> = (0..SERVERS).filter(|n| Some(*n) != self.absent).collect();
        let (stats, included) = (&self.stats[host], &mut self.included[host]);
        let fleet: Vec<Option<FleetLoad>> = (0..SERVERS)
            .map(|n| {
                let (at_s, figures) = figures?;
                let arrived = self.epoch + Duration::from_secs_f64(*at_s);
                let known = Included::update(included[n], arrived, &stats[n]);
                included[n] = Some(known);
                let others = known.others(figures[n].0);
                let late = Duration::from_secs(if is_stale { 2 } else { 0 });
                Some(FleetLoad { others, slowness: figures[n].1, age: now - arrived + late })
            })
            .collect();
        let candidates = ids.iter().map(|n| Candidate {
            server: choose::Candidate {
                id: n,
                stats: &stats[*n],
                slots: SLOTS as u32,
                near: true,
                in_subset: is_in_subset(*n, SERVERS, position),
                cold: false,
            },
            fleet: fleet[*n],
            stated: None,
            domain_free: None,
        });
        let request = Request {
            deferrable: !urgent,
            objective: Duration::from_secs_f64(kind.objective_s),
            service_time: Some(Duration::from_secs_f64(kind.work_s)),
        };
        let rng = &mut self.rng;
        let chosen = match self.strategy {
            Strategy::Own => choose::best(candidates.map(|c| c.server), now, || rng.f64()),
            _ => by_load::best(candidates.clone(), &request, now, || rng.f64())
                .or_else(|| by_load::least_loaded(candidates, &request, now, || rng.f64())),
        };
        *chosen.unwrap()
    }

    /// The same rules as [`by_load`], for exact figures.
    fn choose_exactly(&self, kind: &Kind, urgent: bool) -> usize {
        let free = |n: usize| SLOTS.saturating_sub(self.servers[n].requests.len());
        let latency = |n: &usize| {
            let queue = (self.servers[*n].requests.len() + 1).saturating_sub(SLOTS) as f64;
            kind.work_s / self.rate(*n) * (1.0 + queue / SLOTS as f64)
        };
        let spare = |n: &usize| !urgent && free(*n) >= 2 && latency(n) < kind.objective_s / 2.0;
        let slowest = (0..SERVERS).filter(spare).max_by(|a, b| latency(a).total_cmp(&latency(b)));
        slowest.or((0..SERVERS).min_by(|a, b| latency(a).total_cmp(&latency(b)))).unwrap()
    }
}

/// Share of late urgent and late deferrable answers within a minute.
fn late(strategy: Strategy, used: f64) -> [f64; 2] {
    let mut sum = [(0, 0); 2];
    for seed in 1..=4 {
        let mut simulation = Simulation::new(strategy, seed);
        simulation.run(5.0, used);
        simulation.answers = [(0, 0); 2];
        simulation.run(65.0, used);
        for (sum, answers) in sum.iter_mut().zip(simulation.answers) {
            *sum = (sum.0 + answers.0, sum.1 + answers.1);
        }
    }
    sum.map(|(late, all)| f64::from(late) / f64::from(all))
}

/// Value that is lost for each request, given the shares of late urgent and late deferrable answers.
fn lost(late: [f64; 2]) -> f64 {
    let of = |kind: Kind, late: f64| kind.share * kind.late_loss * late;
    of(URGENT, late[0]) + of(DEFERRABLE, late[1])
}

/// Guards against urgent requests that wait behind deferrable ones at slow or full servers, because each host knows only its own requests.
///
/// Of the value that the own observations lose and exact knowledge wouldn't, the load from all hosts has to save half at usual load. At high
/// load, where figures of a quarter of a second are outdated by the requests that start meanwhile, it has to save two fifths. At most a tenth
/// of the urgent answers may be late, which costs 7 % of their value, and a twentieth of the others.
#[test]
fn urgent_requests_are_in_time_beside_deferrable_ones() {
    for (used, saved) in [(0.5, 0.5), (0.8, 0.4)] {
        let [own, by_load, exact] =
            [Strategy::Own, Strategy::ByLoad, Strategy::Exact].map(|strategy| late(strategy, used));
        println!(
            "{used} in use, urgent and deferrable late: own {own:.3?}, by load {by_load:.3?}, exact {exact:.3?}"
        );
        let avoided = (lost(own) - lost(by_load)) / (lost(own) - lost(exact));
        println!("share of the avoidable loss that is saved: {avoided:.3}");
        assert!(avoided >= saved, "{avoided:.3} at {used}");
        assert!(by_load[0] <= 0.1 && by_load[1] <= 0.05, "{used}: {by_load:.3?}");
    }
}

/// Guards against a server that has become five times slower and still gets requests, since each host finds out by itself. Its urgent answers
/// would be late, so it has to get fewer urgent requests than its share of the speed of all servers, which is 2.6 %.
#[test]
fn a_server_that_becomes_five_times_slower_is_avoided_by_all_hosts() {
    for seed in 1..=4 {
        let mut simulation = Simulation::new(Strategy::ByLoad, seed);
        simulation.run(10.0, 0.5);
        simulation.servers[2].speed /= 5.0;
        simulation.run(12.0, 0.5);
        let before = simulation.sent_urgent();
        simulation.run(22.0, 0.5);
        let sent: Vec<u32> =
            simulation.sent_urgent().iter().zip(before).map(|(now, before)| now - before).collect();
        let share = f64::from(sent[2]) / f64::from(sent.iter().sum::<u32>());
        println!("share of the slow server {share:.4}");
        assert!(share < 0.02, "{sent:?}");
    }
}

/// Guards against a herd: all hosts have the same figures and send to the one server that looks free, while the others are busy.
///
/// In an interval it may get as many requests as it has free slots, as many as end there in the meantime, and as many as it has slots: each of
/// these waits for one other request, 410 ms on average, which leaves an urgent one time for its own work.
#[test]
fn a_free_server_does_not_attract_the_requests_of_all_hosts() {
    let ended = SLOTS as f64 * INTERVAL_S / 0.41;
    let bound = SLOTS as u32 + ended as u32 + SLOTS as u32;
    for seed in 1..=16 {
        let mut simulation = Simulation::new(Strategy::ByLoad, seed);
        simulation.absent = Some(1);
        simulation.run(10.0, 0.73);
        simulation.absent = None;
        simulation.run(12.0, 0.73);
        let sent = &simulation.servers[1].sent;
        let sent: Vec<u32> = sent[sent.len() - 8..].iter().map(|(_, all)| *all).collect();
        println!("requests in each interval {sent:?}");
        assert!(sent.iter().all(|sent| *sent <= bound), "{sent:?} exceeds {bound}");
    }
}

/// Guards against a host that serves worse without its collectors than one that never had any.
#[test]
fn without_fresh_figures_the_own_observations_decide() {
    let run = |strategy| {
        let mut simulation = Simulation::new(strategy, 1);
        simulation.run(20.0, 0.8);
        simulation.answers
    };
    assert_eq!(run(Strategy::Stale), run(Strategy::Own));
}
