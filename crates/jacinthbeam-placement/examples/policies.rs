//! Runs each policy as pure decision steps on the same seeded, drifting Zipf load and prints
//! imbalance, churn and the time a decision takes. Measures the decision functions only: no
//! messages, no failures, no cluster.

use jacinthbeam_config::{Balance, Weights};
use jacinthbeam_placement::policy::Kind;
use jacinthbeam_placement::view::{Load, ServerView, SlotView, Standing};
use jacinthbeam_placement::{PlannedMove, Policy, Progress, View, accept, rebalance, sample};
use jacinthbeam_types::prelude::*;
use std::time::{Duration, Instant};

const SECONDS: u64 = 2500;
const SETTLED: usize = 500;
const WINDOW: usize = 10;
/// Mean load of a server, of a capacity of 3.
const MEAN: f64 = 1.8;

/// Name, servers, hosts, exponent, seconds between changes of hot keys, seeds, moves a minute,
/// weight of churn, least stay.
type Setup = (&'static str, usize, usize, f64, u64, u64, u32, f64, u64);
const SETUPS: [Setup; 4] = [
    ("constant", 20, 11, 0.9, u64::MAX, 10, 600, 1.0, 30),
    ("tilecast", 20, 11, 0.9, 100, 10, 600, 1.0, 30),
    ("archiv", 18, 12, 0.9, 300, 10, 300, 4.0, 300),
    ("thousand", 1000, 500, 0.5, 10, 1, 6000, 1.0, 30),
];

/// Slots, their owners and loads, and the loads of servers so far. Server `i` is attended by host
/// `i % hosts`.
#[derive(Default)]
struct World {
    ids: Vec<ServerId>,
    owned: Vec<Vec<usize>>,
    since: Vec<Option<Instant>>,
    load: Vec<f64>,
    past: Vec<Vec<f64>>,
    progress: Vec<Progress>,
}

/// A load as measured over a window. Requests of 50 ms arrive at random, so a small load is measured badly.
fn measured(load: f64) -> Load {
    Load((load + (load * 0.6 / WINDOW as f64).sqrt() * (fastrand::f64() - 0.5)).max(0.0))
}

fn index(id: &ServerId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

impl World {
    /// A server's own load is the mean of the last window; that of others is seen two seconds late.
    fn view(&mut self, host: usize, policy: &Policy, now: Instant) -> View {
        let mut view = View { capacity: Load(3.0), active: self.ids.len(), ..View::default() };
        let own = self.ids.iter().skip(host).step_by(self.progress.len());
        let sample = sample::pick(&self.ids, sample::MAX_SAMPLE, &mut fastrand::Rng::new());
        for id in sample.iter().chain(own) {
            let attended = index(id) % self.progress.len() == host;
            let late = if attended { 0 } else { 2.min(self.past.len() - 1) };
            let past = self.past.iter().rev().skip(late).take(WINDOW);
            let mean = past.clone().map(|l| l[index(id)]).sum::<f64>() / past.len() as f64;
            let slots = self.owned[index(id)].iter().filter(|_| attended).map(|slot| {
                let load = measured(self.load[*slot]);
                (SlotId(*slot as u32), SlotView { load, since: self.since[*slot] })
            });
            let (slots, cell, load) = (slots.collect(), "d".parse().unwrap(), measured(mean));
            let (standing, pending) = (Standing::Active, Load(0.0));
            let measured = Some(now - Duration::from_secs(late as u64));
            let server = ServerView { cell, standing, load, measured, pending, attended, slots };
            view.servers.insert(id.clone(), server);
        }
        self.progress[host].add_pending(&mut view, policy, now);
        view
    }

    fn step(&mut self, policy: &Policy, now: Instant) -> (usize, f64) {
        let (hosts, rng) = (self.progress.len(), &mut fastrand::Rng::new());
        let views: Vec<_> = (0..hosts).map(|host| self.view(host, policy, now)).collect();
        let asks: Vec<_> = views.iter().flat_map(|v| rebalance::ask(v, policy, now, rng)).collect();
        let (mut spent, mut done) = (0.0, Vec::new());
        for (host, view) in views.iter().enumerate() {
            let began = Instant::now();
            let planned = rebalance(view, &asks, policy, &self.progress[host], now, rng);
            spent += began.elapsed().as_secs_f64() * 1e6;
            for planned in planned {
                let there = index(&planned.to) % hosts;
                let progress = &mut self.progress;
                let answer = accept::accept(&planned, &views[there], policy, &progress[there], now);
                if answer == accept::Answer::Accepted {
                    progress[host].begin(&planned, &policy.pace, now);
                    progress[there].accept(&planned);
                    done.push((host, there, planned));
                }
            }
        }
        let end = now + Duration::from_secs(1);
        for (host, there, PlannedMove { slot, from, to, .. }) in &done {
            self.owned[index(from)].retain(|own| *own != slot.0 as usize);
            self.owned[index(to)].push(slot.0 as usize);
            self.since[slot.0 as usize] = Some(end);
            [host, there].iter().for_each(|host| self.progress[**host].end(*slot, true, end));
        }
        (done.len(), spent)
    }
}

/// For each second the maximum over the mean load, moves, and microseconds spent in decisions.
fn run(setup: &Setup, policy: &Policy, seed: u64) -> Vec<(f64, usize, f64)> {
    let (_, servers, hosts, exponent, every, ..) = *setup;
    // The load draws from its own generator, so that every policy meets the same one.
    let mut drift = fastrand::Rng::with_seed(seed);
    fastrand::seed(seed);
    let (start, slots, keys) = (Instant::now(), servers * 100, servers * 5000);
    let weight: Vec<f64> = (1..=keys).map(|rank| (rank as f64).powf(-exponent)).collect();
    let unit = MEAN * servers as f64 / weight.iter().sum::<f64>();
    let (mut key_at, mut seconds) = ((0..keys).collect::<Vec<_>>(), Vec::new());
    drift.shuffle(&mut key_at);
    let mut world = World { progress: vec![Progress::default(); hosts], ..World::default() };
    world.ids = (0..servers).map(|i| format!("s{i:04}").parse().unwrap()).collect();
    world.owned = (0..servers).map(|i| (i * 100..(i + 1) * 100).collect()).collect();
    (world.since, world.load) = (vec![Some(start); slots], vec![0.0; slots]);
    for second in 0..SECONDS {
        if second % every == 0 {
            key_at.swap(drift.usize(..20), drift.usize(..keys));
            world.load.fill(0.0);
            (0..keys).for_each(|rank| world.load[key_at[rank] % slots] += unit * weight[rank]);
        }
        let sum = |slots: &Vec<usize>| slots.iter().map(|slot| world.load[*slot]).sum();
        world.past.push(world.owned.iter().map(sum).collect());
        let ratio = world.past[second as usize].iter().copied().fold(0.0, f64::max) / MEAN;
        let step = world.step(policy, start + Duration::from_secs(second));
        seconds.push((ratio, step.0, step.1));
    }
    seconds.split_off(SETTLED)
}

fn main() {
    println!("a minute churn stay service   policy           p50   p95   max  moves/1000 s   us");
    for setup @ &(name, _, hosts, _, _, seeds, moves_per_minute, churn, stay) in &SETUPS {
        let (weights, min_stay) = (Weights { unavailable: 1.0, churn }, Duration::from_secs(stay));
        let balance = Balance { weights, moves_per_minute, min_stay, ..Balance::default() };
        for kind in [Kind::Static, Kind::Threshold, Kind::TwoChoices, Kind::IdleInitiated] {
            let policy = Policy { kind, ..Policy::configured(&balance, 1.0 / hosts as f64) };
            let mut all: Vec<_> = (1..=seeds).flat_map(|seed| run(setup, &policy, seed)).collect();
            all.sort_by(|a, b| a.0.total_cmp(&b.0));
            let [p50, p95, max] = [50, 95, 100].map(|part| all[(all.len() - 1) * part / 100].0);
            let moves = all.iter().map(|s| s.1).sum::<usize>() as f64 * 1e3 / all.len() as f64;
            let us = all.iter().map(|s| s.2).sum::<f64>() / (all.len() * hosts) as f64;
            print!("{moves_per_minute:8} {churn:5.1} {stay:4} {name:9} {:14}", format!("{kind:?}"));
            println!(" {p50:5.3} {p95:5.3} {max:5.3} {moves:13.0} {us:4.1}");
        }
    }
}
