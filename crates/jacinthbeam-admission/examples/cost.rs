//! Prints what admission costs on this machine, or with two numbers (entries, bytes of body) what
//! duplicate memory costs:
//! `cargo run --release -p jacinthbeam-admission --example cost [100000 256]`. One memory a
//! process, since resident memory is measured.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    duplicate::{Begin, Memory, Scope, StoredAnswer},
    server::{Admission, Offer, Options, Outcome, Ticket},
};
use jacinthbeam_types::prelude::*;

/// Runs of each measurement; the median is printed.
const RUNS: usize = 7;
/// Operations of one run of admission.
const OPERATIONS: u64 = 20_000;

fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    match numbers[..] {
        [entries, body] => print_memory(entries, body as usize),
        _ => print_admission(),
    }
}

fn print_admission() {
    println!("ns for one offer, finish, expire and next, 3 places, 1 and 4 teams:");
    for waiting in [1, 10, 32, 100, 1_000] {
        let one = median(|| admission(waiting, 1));
        let four = median(|| admission(waiting, 4));
        println!("  {waiting:>5} waiting  {one:>8.0}  {four:>8.0}");
    }
}

fn print_memory(entries: u64, body: usize) {
    let cost = memory(entries, body);
    println!(
        "{entries:>8} entries, {body:>3} bytes of body: ns begin {:>5.0} answered {:>5.0} replay {:>5.0}; bytes an entry {:>4} resident, {:>4} counted",
        cost.begin, cost.answered, cost.replay, cost.resident, cost.counted
    );
}

fn median(run: impl Fn() -> f64) -> f64 {
    let mut all: Vec<f64> = (0..RUNS).map(|_| run()).collect();
    all.sort_by(f64::total_cmp);
    all[RUNS / 2]
}

fn per(operations: u64, took: Duration) -> f64 {
    took.as_nanos() as f64 / operations as f64
}

fn admission(waiting: usize, teams: u64) -> f64 {
    let names = ["roads", "salt", "crew", "tiles"];
    let teams: Vec<TeamName> = (0..teams).map(|n| name(names[n as usize])).collect();
    let start = Instant::now();
    let options = Options { queue: waiting + 1, ..Options::default() };
    let mut admission = Admission::open(start, options, 0, false);
    let mut sequence = 0;
    let mut running = std::collections::VecDeque::new();
    let mut offer = |admission: &mut Admission| {
        sequence += 1;
        let id = RequestId { incarnation: Incarnation(1), sequence };
        let team = teams[sequence as usize % teams.len()].clone();
        let deadline = start + Duration::from_secs(60) + Duration::from_micros(sequence);
        let offer = admission.offer(start, Ticket { id, team, slot: Some(SlotId(1)), deadline });
        matches!(offer, Offer::Admit).then_some(id)
    };
    for _ in 0..waiting + 3 {
        running.extend(offer(&mut admission));
    }
    let began = Instant::now();
    for _ in 0..OPERATIONS {
        running.extend(offer(&mut admission));
        let id = running.pop_front().expect("three requests run at all times");
        black_box(admission.finished(start, id, Outcome::Answered));
        black_box(admission.expire(start));
        running.extend(admission.next(start).into_iter().map(|ticket| ticket.id));
    }
    per(OPERATIONS, began.elapsed())
}

struct Cost {
    begin: f64,
    answered: f64,
    replay: f64,
    resident: u64,
    counted: u64,
}

fn memory(entries: u64, body: usize) -> Cost {
    let now = Instant::now();
    let options = jacinthbeam_admission::duplicate::Options {
        entries: entries as usize,
        bytes: Bytes(8 << 30),
        ..Default::default()
    };
    let service: ServiceName = name("brinedesk");
    let scope = |n: u64| Scope {
        key: KeyHash::of(&n.to_be_bytes()),
        idempotency_key: name(&format!("0198c7a4-5b1e-7c3d-9a2f-{n:012x}")),
        service: service.clone(),
    };
    let before = resident();
    let mut memory = Memory::new(options);
    let begin = timed(entries, scope, |scope| {
        let begin = memory.begin(now, scope, Some(SlotId(1)), 7);
        assert_eq!(begin, Begin::Run { attempt: 1 });
    });
    let answered = timed(entries, scope, |scope| {
        memory.answered(now, scope, 1, (body > 0).then(|| answer(body)));
    });
    let replay = timed(entries, scope, |scope| {
        black_box(memory.begin(now, scope, Some(SlotId(1)), 7));
    });
    let resident = resident().saturating_sub(before) / entries;
    Cost { begin, answered, replay, resident, counted: memory.bytes().0 / entries }
}

/// Time of one operation, without that of making its scope.
fn timed(entries: u64, scope: impl Fn(u64) -> Scope, mut operation: impl FnMut(&Scope)) -> f64 {
    const CHUNK: u64 = 1_000;
    let mut took = Duration::ZERO;
    for first in (0..entries).step_by(CHUNK as usize) {
        let scopes: Vec<Scope> = (first..first + CHUNK).map(&scope).collect();
        let began = Instant::now();
        scopes.iter().for_each(&mut operation);
        took += began.elapsed();
    }
    per(entries, took)
}

fn answer(body: usize) -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: vec![b'x'; body] }
}

/// Resident memory of this process in bytes; 0 where the system does not tell.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names of the example are valid")
}
