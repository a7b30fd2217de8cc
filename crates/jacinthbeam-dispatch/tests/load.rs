//! The load of heavy days on services without keys, without network: what a host's own observation costs against knowing more.
//!
//! The pattern: orders at 85 % of what twelve servers can do (the usual 62 a second, 1.7 times), 0.29 s of work each with a spread
//! of a half, two thirds of the servers slower than the others, three slots and twelve places of a queue each, through twelve hosts
//! that each see a twelfth of it; and one failure domain of a large deployment at 76 %, through 59 hosts that each see a sixtieth.
//! Four ways to choose a server are compared by the same rule of expected time:
//!
//! - each host goes by what it has seen itself of all servers alike;
//! - the same, but each host asks a few of the servers first, evenly shared among the hosts, as the product does;
//! - hosts tell each other four times a second how many requests they have at each server;
//! - one broker knows at every moment how many requests are where, at no cost. Nothing that is built can do better than that.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::{
    ServerStats,
    choose::{Candidate, best},
    subset::{Position, is_in_subset},
};

/// A service, and the hosts that share it.
#[derive(Clone, Copy)]
struct Sheet {
    hosts: usize,
    servers: usize,
    work_s: f64,
    objective_s: f64,
}

const SMALL: Sheet = Sheet { hosts: 12, servers: 12, work_s: 0.29, objective_s: 0.8 };

/// One failure domain of the large deployment: each host sees a sixtieth of what its servers do.
const LARGE: Sheet = Sheet { hosts: 59, servers: 53, work_s: 0.35, objective_s: 1.0 };

const SLOTS: usize = 3;
const PLACES: usize = 15;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
const MOST_SENDS: usize = 3;
const EXCHANGE_S: f64 = 0.25;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Own,
    Few,
    Shared,
    Broker,
}

impl Way {
    /// Whether a server is one that the host asks first. Where it asks all alike, each of them is.
    fn asks_first(self, sheet: Sheet, host: usize, n: usize) -> bool {
        let place = Position { index: host as u32, hosts: sheet.hosts as u32 };
        self != Self::Few || is_in_subset(n, sheet.servers, place)
    }
}

/// A request at a server.
#[derive(Clone, Copy)]
struct At {
    host: usize,
    came: f64,
    sent: f64,
}

#[derive(Default)]
struct Server {
    /// Ends of those in slots.
    running: Vec<(f64, At)>,
    waiting: Vec<At>,
}

impl Server {
    fn present(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}

struct World {
    sheet: Sheet,
    way: Way,
    rng: fastrand::Rng,
    epoch: Instant,
    now: f64,
    servers: Vec<Server>,
    seen: Vec<Vec<ServerStats>>,
    /// Requests at each server as last exchanged, and each host's own among them.
    told: Vec<(usize, Vec<usize>)>,
    exchanged: f64,
    in_time: u32,
    all: u32,
}

impl World {
    fn new(sheet: Sheet, way: Way, seed: u64) -> Self {
        let count = sheet.servers;
        Self {
            sheet,
            way,
            rng: fastrand::Rng::with_seed(seed),
            epoch: Instant::now(),
            now: 0.0,
            servers: (0..count).map(|_| Server::default()).collect(),
            seen: (0..sheet.hosts)
                .map(|_| (0..count).map(|_| ServerStats::default()).collect())
                .collect(),
            told: (0..count).map(|_| (0, vec![0; sheet.hosts])).collect(),
            exchanged: 0.0,
            in_time: 0,
            all: 0,
        }
    }

    fn at(&self, time: f64) -> Instant {
        self.epoch + Duration::from_secs_f64(time)
    }

    /// Lets work end until `until`.
    fn pass(&mut self, until: f64) {
        loop {
            let ends = self.servers.iter().enumerate().flat_map(|(n, server)| {
                server.running.iter().enumerate().map(move |(at, (end, _))| (*end, n, at))
            });
            let next = ends.min_by(|a, b| a.0.total_cmp(&b.0)).filter(|(end, ..)| *end <= until);
            let Some((end, n, at)) = next else { break };
            self.now = end;
            let (_, done) = self.servers[n].running.swap_remove(at);
            let begun = self.at(done.sent);
            let seen = &mut self.seen[done.host][n];
            seen.end(begun);
            seen.on_answer(Duration::from_secs_f64(end - done.sent));
            self.all += 1;
            self.in_time += u32::from(end - done.came <= self.sheet.objective_s);
            if !self.servers[n].waiting.is_empty() {
                let next = self.servers[n].waiting.remove(0);
                self.start(n, next);
            }
        }
        self.now = until;
    }

    fn start(&mut self, n: usize, request: At) {
        // Mean 1, spread a half.
        let spread = 0.25 + 1.5 * self.rng.f64();
        let end = self.now + self.sheet.work_s * spread / SPEEDS[n % SPEEDS.len()];
        self.servers[n].running.push((end, request));
    }

    /// Requests of others at a server, as this host knows them.
    fn others(&self, host: usize, n: usize) -> usize {
        match self.way {
            Way::Own | Way::Few => 0,
            Way::Shared => self.told[n].0 - self.told[n].1[host],
            Way::Broker => {
                let server = &self.servers[n];
                let all = server.running.iter().map(|(_, at)| at).chain(&server.waiting);
                all.filter(|at| at.host != host).count()
            }
        }
    }

    fn choose(&mut self, host: usize, tried: &[usize]) -> Option<usize> {
        let now = self.at(self.now);
        let ids: Vec<usize> = (0..self.sheet.servers).filter(|n| !tried.contains(n)).collect();
        // What others have there is entered as requests that have just begun, which is all that the rule needs of them.
        let seen: BTreeMap<usize, ServerStats> = ids
            .iter()
            .map(|n| {
                let mut seen = self.seen[host][*n].clone();
                (0..self.others(host, *n)).for_each(|_| seen.begin(now));
                (*n, seen)
            })
            .collect();
        let (way, sheet) = (self.way, self.sheet);
        let candidates = seen.iter().map(|(id, seen)| Candidate {
            id,
            stats: seen,
            slots: SLOTS as u32,
            near: true,
            in_subset: way.asks_first(sheet, host, *id),
            cold: false,
        });
        best(candidates, now, || self.rng.f64()).copied()
    }

    fn arrive(&mut self) {
        let (host, came) = (self.rng.usize(0..self.sheet.hosts), self.now);
        let mut tried = Vec::new();
        while tried.len() < MOST_SENDS {
            let Some(n) = self.choose(host, &tried) else { break };
            if self.servers[n].present() >= PLACES {
                let now = self.at(self.now);
                self.seen[host][n].on_full(now);
                tried.push(n);
                continue;
            }
            let now = self.at(self.now);
            self.seen[host][n].begin(now);
            let request = At { host, came, sent: self.now };
            if self.servers[n].running.len() < SLOTS {
                self.start(n, request);
            } else {
                self.servers[n].waiting.push(request);
            }
            return;
        }
        self.all += 1;
    }

    fn exchange(&mut self) {
        self.exchanged = self.now;
        for (told, server) in self.told.iter_mut().zip(&self.servers) {
            *told = (0, vec![0; self.sheet.hosts]);
            let all = server.running.iter().map(|(_, at)| at).chain(&server.waiting);
            for at in all {
                told.0 += 1;
                told.1[at.host] += 1;
            }
        }
    }

    /// Share of the orders that are answered within the objective, in a minute.
    fn play(mut self, rate: f64) -> f64 {
        let mut next = 0.0;
        while next < 60.0 {
            self.pass(next);
            if self.now - self.exchanged >= EXCHANGE_S {
                self.exchange();
            }
            self.arrive();
            next -= (1.0 - self.rng.f64()).ln() / rate;
        }
        f64::from(self.in_time) / f64::from(self.all)
    }
}

fn share(sheet: Sheet, way: Way, rate: f64) -> f64 {
    (1..=8).map(|seed| World::new(sheet, way, seed).play(rate)).sum::<f64>() / 8.0
}

/// At the usual rate of the sheets, the most that any sharing could bring is below a hundredth.
#[test]
fn own_observation_is_enough_at_the_usual_rate() {
    let (own, broker) = (share(SMALL, Way::Own, 62.3), share(SMALL, Way::Broker, 62.3));
    println!(
        "62 a second: own {own:.3}, shared {:.3}, broker {broker:.3}",
        share(SMALL, Way::Shared, 62.3)
    );
    assert!(own > 0.97 && broker - own < 0.01, "own {own:.3}, broker {broker:.3}");
}

/// In a burst at 85 % of what the servers can do.
#[test]
fn own_observation_loses_little_in_a_burst() {
    let ways = [Way::Own, Way::Shared, Way::Broker].map(|way| share(SMALL, way, 106.0));
    println!("106 a second: own {:.3}, shared {:.3}, broker {:.3}", ways[0], ways[1], ways[2]);
    assert!(ways[0] > 0.9, "own {:.3} of {:.3}", ways[0], ways[2]);
}

/// Where sixty hosts share the servers of a domain, each sees too little of each server. Of its own observation it loses what a broker would
/// save, 0.94 of 1.00; by counts told four times a second all hosts run to the same server, 0.78; with a few servers that it asks first, 0.99.
#[test]
fn a_host_of_sixty_sees_enough_of_a_few_servers() {
    let share =
        |way| (1..=2).map(|seed| World::new(LARGE, way, seed).play(345.0)).sum::<f64>() / 2.0;
    let ways = [Way::Own, Way::Few, Way::Shared, Way::Broker].map(share);
    println!(
        "own {:.3}, few {:.3}, shared {:.3}, broker {:.3}",
        ways[0], ways[1], ways[2], ways[3]
    );
    assert!(ways[1] > ways[0] && ways[3] - ways[1] < 0.03, "{ways:?}");
}
