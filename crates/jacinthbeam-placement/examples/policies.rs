//! Runs each policy as pure decision steps on the same seeded, drifting Zipf load and prints imbalance, churn and the
//! time a decision takes. Measures the decision functions only: no messages, no failures, no cluster.
//!
//! `cargo run --release -p jacinthbeam-placement --example policies`

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use jacinthbeam_placement::{
    Policy, Progress, View, accept, found, policy::Kind, rebalance, sample,
    view::{Load, ServerView, SlotView, Standing},
};
use jacinthbeam_types::prelude::*;

const SECONDS: u64 = 2500;
const SETTLED: u64 = 500;
const WINDOW: usize = 10;
const SERVICE_TIME: f64 = 0.05;
const CAPACITY: f64 = 3.0;
const USE: f64 = 0.6;

/// One service and its load.
struct Setup {
    name: &'static str,
    servers: usize,
    hosts: usize,
    slots: usize,
    keys: usize,
    exponent: f64,
    /// Seconds between two changes of which key is hot.
    drift: u64,
    seeds: u64,
}

/// What the runs of one policy add up to.
#[derive(Default)]
struct Sum {
    ratios: Vec<f64>,
    moves: u32,
    declined: u32,
    decisions: u32,
    spent: Duration,
    largest: f64,
}

/// A load as measured over a window: requests arrive at random, so a small load is measured badly.
fn measured(load: f64, rng: &mut fastrand::Rng) -> Load {
    let deviation = (load * SERVICE_TIME / WINDOW as f64).sqrt();
    Load((load + deviation * 12f64.sqrt() * (rng.f64() - 0.5)).max(0.0))
}

fn run(setup: &Setup, policy: &Policy, seed: u64, sum: &mut Sum) {
    // The load draws from its own generator, so that every policy meets the same one.
    let mut drift = fastrand::Rng::with_seed(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let ids: Vec<ServerId> = (0..setup.servers).map(|i| format!("s{i:04}").parse().unwrap()).collect();
    let cells: Vec<CellId> = (0..setup.servers).map(|i| format!("d{}", i % 3).parse().unwrap()).collect();
    let pairs: Vec<_> = ids.iter().cloned().zip(cells.iter().cloned()).collect();
    let index: BTreeMap<_, _> = ids.iter().cloned().zip(0..).collect();
    let mut owner: Vec<usize> = found(&pairs, setup.slots as u32).iter().map(|id| index[id]).collect();
    let mut since = vec![start; setup.slots];
    let weight: Vec<f64> = (1..=setup.keys).map(|rank| (rank as f64).powf(-setup.exponent)).collect();
    let unit = USE * CAPACITY * setup.servers as f64 / weight.iter().sum::<f64>();
    let mut key_at: Vec<usize> = (0..setup.keys).collect();
    drift.shuffle(&mut key_at);
    let slot_of = |key: usize| KeyHash::of(&key.to_be_bytes()).slot(setup.slots as u32, &BTreeMap::new()).0 as usize;
    let mut slot_load = vec![0.0; setup.slots];
    (0..setup.keys).for_each(|rank| slot_load[slot_of(key_at[rank])] += unit * weight[rank]);
    let mut progress = vec![Progress::default(); setup.hosts];
    let mut history: VecDeque<Vec<f64>> = VecDeque::new();
    for second in 0..SECONDS {
        let now = start + Duration::from_secs(second);
        if second % setup.drift == setup.drift - 1 {
            let (hot, other) = (drift.usize(..20), drift.usize(..setup.keys));
            let change = unit * (weight[hot] - weight[other]);
            slot_load[slot_of(key_at[hot])] -= change;
            slot_load[slot_of(key_at[other])] += change;
            key_at.swap(hot, other);
        }
        let mut load = vec![0.0; setup.servers];
        let mut owned = vec![Vec::new(); setup.servers];
        for (slot, server) in owner.iter().enumerate() {
            load[*server] += slot_load[slot];
            owned[*server].push(slot);
        }
        if second >= SETTLED {
            sum.ratios.push(load.iter().copied().fold(0.0, f64::max) / (USE * CAPACITY));
        }
        history.push_back(load);
        if history.len() > WINDOW + 2 {
            history.pop_front();
        }
        // A server's own load is the mean of the last window; that of others is seen two seconds late.
        let mean = |i: usize, skip: usize| {
            let past: Vec<f64> = history.iter().rev().skip(skip).take(WINDOW).map(|l| l[i]).collect();
            past.iter().sum::<f64>() / past.len().max(1) as f64
        };
        let mut view_of = |host: usize, rng: &mut fastrand::Rng| {
            let mut seen = sample::pick(&ids, sample::MAX_SAMPLE, rng);
            seen.extend(ids.iter().skip(host).step_by(setup.hosts).cloned());
            let server = |id: ServerId, rng: &mut fastrand::Rng| {
                let i = index[&id];
                let attended = i % setup.hosts == host;
                let age = if attended { 0 } else { 2.min(second) };
                let slot = |slot: &usize| {
                    let view = SlotView { load: measured(slot_load[*slot], rng), since: Some(since[*slot]) };
                    (SlotId(*slot as u32), view)
                };
                let slots = if attended { owned[i].iter().map(slot).collect() } else { BTreeMap::new() };
                let load = measured(mean(i, age as usize), rng);
                let (cell, standing, pending) = (cells[i].clone(), Standing::Active, Load(0.0));
                let measured = now - Duration::from_secs(age);
                (id, ServerView { cell, standing, load, measured, pending, attended, slots })
            };
            let servers = seen.into_iter().map(|id| server(id, rng)).collect();
            let mut view = View { servers, capacity: Load(CAPACITY), active: setup.servers };
            progress[host].add_pending(&mut view, policy, now);
            view
        };
        let views: Vec<View> = (0..setup.hosts).map(|host| view_of(host, &mut rng)).collect();
        let asks: Vec<_> = views.iter().flat_map(|view| rebalance::ask(view, policy, now, &mut rng)).collect();
        let mut done = Vec::new();
        for (host, view) in views.iter().enumerate() {
            let mine: Vec<_> = asks.iter().filter(|ask| index[&ask.from] % setup.hosts == host).cloned().collect();
            let began = Instant::now();
            let planned = rebalance(view, &mine, policy, &progress[host], now, &mut rng);
            sum.spent += began.elapsed();
            sum.decisions += 1;
            for planned in planned {
                let there = index[&planned.to] % setup.hosts;
                let answer = accept::accept(&planned, &views[there], policy, &progress[there], now);
                if answer != accept::Answer::Accepted {
                    sum.declined += u32::from(second >= SETTLED);
                    continue;
                }
                progress[host].begin(&planned, &policy.pace, now);
                progress[there].accept(&planned);
                done.push((host, there, planned));
            }
        }
        let end = now + Duration::from_secs(1);
        for (host, there, planned) in done {
            let slot = planned.slot.0 as usize;
            (owner[slot], since[slot]) = (index[&planned.to], end);
            progress[host].end(planned.slot, true, end);
            progress[there].end(planned.slot, true, end);
            sum.moves += u32::from(second >= SETTLED);
        }
    }
    sum.largest = weight[0] * unit / (USE * CAPACITY);
}

fn print(setup: &Setup, policy: &Policy, mut sum: Sum) {
    sum.ratios.sort_by(f64::total_cmp);
    let at = |part: f64| sum.ratios[((sum.ratios.len() - 1) as f64 * part) as usize];
    let a_thousand = |count: u32| f64::from(count) * 1000.0 / ((SECONDS - SETTLED) * setup.seeds) as f64;
    println!(
        "{:10} {:14} {:7.3} {:6.3} {:6.3} {:6.3} {:10.0} {:10.0} {:9.1}",
        setup.name, format!("{:?}", policy.kind), sum.largest, at(0.5), at(0.95), at(1.0),
        a_thousand(sum.moves), a_thousand(sum.declined),
        sum.spent.as_secs_f64() * 1e6 / f64::from(sum.decisions),
    );
}

fn setup(name: &'static str, servers: usize, hosts: usize, exponent: f64, drift: u64, seeds: u64) -> Setup {
    Setup { name, servers, hosts, slots: servers * 100, keys: servers * 5000, exponent, drift, seeds }
}

fn main() {
    println!("max/mean over {SETTLED}..{SECONDS} s; largest key / mean load of a server; moves and declined per 1000 s; us");
    println!("service    policy         largest    p50    p95    max      moves   declined  decision");
    let setups = [
        (setup("tilecast", 20, 11, 0.9, 100, 10), Policy::default()),
        (setup("archiv", 18, 12, 0.9, 300, 10), Policy::low_churn()),
        (setup("thousand", 1000, 500, 0.5, 10, 1), Policy::default()),
    ];
    for (setup, policy) in &setups {
        for kind in [Kind::Static, Kind::Threshold, Kind::TwoChoices, Kind::IdleInitiated] {
            let policy = Policy { kind, ..policy.clone() };
            let mut sum = Sum::default();
            (1..=setup.seeds).for_each(|seed| run(setup, &policy, seed, &mut sum));
            print(setup, &policy, sum);
        }
    }
}
